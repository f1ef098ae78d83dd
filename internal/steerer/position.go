package steerer

import (
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// loggedPosition adds a position in the store's history to a log line.
type loggedPosition storer.Position

// MarshalZerologObject adds the fields Era and Revision.
func (p loggedPosition) MarshalZerologObject(line *zerolog.Event) {
	line.Uint64("Era", p.Era).Uint64("Revision", p.Revision)
}

// observeEra records the store's era of a view. If the store has returned from an older copy
// since an earlier view, observeEra logs that and makes the collections whose views are from
// before the return be listed again. Any goroutine may call it.
func (s *Steerer) observeEra(position storer.Position) {
	before := s.storeEra.Load()
	for position.Era > before && !s.storeEra.CompareAndSwap(before, position.Era) {
		before = s.storeEra.Load()
	}
	if position.Era <= before || before == 0 {
		return
	}
	s.log.Warn().EmbedObject(loggedPosition(position)).Uint64("Before", before).Msg("StoreRestored")
	for _, reflector := range s.reflectors {
		reflector.observeEra(position.Era)
	}
	s.forgetVerdictRecords()
}
