package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// newReflectors returns the reflectors of all collections on the platform. The index of a
// reflector is that of its collection in linker.Heartbeat's Feeds, so the order is part
// of the encoding.
func (s *Steerer) newReflectors() [linker.MaxCollections]reflector {
	return [linker.MaxCollections]reflector{
		newReflector(s, s.platform.Declarations, s.applyDeclarations),
		newReflector(s, s.platform.Registrations, s.applyRegistrations),
		newReflector(s, s.platform.Moves, s.applyMoves),
		newReflector(s, s.platform.Evacuations, s.applyEvacuations),
		newReflector(s, s.platform.Members, s.applyMembers),
	}
}

// applyDeclarations applies the operators' declaration, and records that it is confirmed
// to be the newest. It runs for each new view, whether from the platform or from a peer,
// but not when the platform answers that nothing has changed.
func (s *Steerer) applyDeclarations(objects []decodedObject[declarer.Declaration], _ storer.Position) {
	for _, object := range objects {
		s.applyDeclaration(object.value)
	}
	s.freshness.Confirm(time.Now())
}

// applyRegistrations applies the registrations of upstreams.
func (s *Steerer) applyRegistrations(objects []decodedObject[registrar.Registration], position storer.Position) {
	listed := make([]registrar.Registration, 0, len(objects))
	for _, object := range objects {
		listed = append(listed, object.value.WithName(object.name))
	}
	s.setRegistrations(listed)
	s.log.Info().Int("Upstreams", len(listed)).EmbedObject(loggedPosition(position)).Msg("UpstreamsListed")
}

// applyEvacuations applies the list of evacuated failure domains.
func (s *Steerer) applyEvacuations(objects []decodedObject[Evacuation], position storer.Position) {
	places := make([]string, 0, len(objects))
	for _, object := range objects {
		places = append(places, object.name)
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.updatePlan(s.inputs.withEvacuatedPlaces(places, time.Now()))
	s.log.Info().Strs("Places", places).EmbedObject(loggedPosition(position)).Msg("EvacuationsListed")
}

// applyMembers applies the list of entry instances.
func (s *Steerer) applyMembers(objects []decodedObject[registrar.Member], position storer.Position) {
	listed := make([]registrar.Member, 0, len(objects))
	for _, object := range objects {
		listed = append(listed, object.value)
	}
	s.setRoster(registrar.NewRoster(position, listed...))
}

// storeAnswered handles an answer of the store, and ends an outage if there was one.
func (s *Steerer) storeAnswered() {
	lost := s.storeLostNanos.Swap(0)
	if lost == 0 {
		return
	}
	lostFor := time.Since(time.Unix(0, lost))
	s.log.Info().Dur("AwayMillis", lostFor).Msg("PlatformRegained")
	s.startRegistrationGrace()
	s.hub.HeartbeatPlaceNow()
}

// storeFailed handles a failed call to the store, and begins an outage. The error
// storer.ErrCompacted begins none: the platform has answered, but no longer knows the
// changes since the view, so the watcher lists the objects again.
func (s *Steerer) storeFailed(err error) {
	if s.lifecycle.Work().Err() != nil {
		return
	}
	if errors.Is(err, storer.ErrCompacted) {
		s.log.Info().Err(err).Msg("HistoryLost")
		return
	}
	if s.storeLostNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		s.log.Warn().Err(err).Msg("PlatformLost")
		s.hub.HeartbeatPlaceNow()
	}
}

// sleep waits for a duration, and returns false if ctx has ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	return retrier.Sleep(ctx, wait) == nil
}
