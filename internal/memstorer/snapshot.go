package memstorer

import (
	"maps"
	"slices"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Snapshot is a copy of the data of a store. It is immutable.
type Snapshot struct {
	revision uint64
	objects  map[string]storer.Object[[]byte]
	history  []write
}

// Snapshot returns a copy of the store's data.
func (s *Store) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{
		revision: s.revision,
		objects:  maps.Clone(s.objects),
		history:  slices.Clone(s.history),
	}
}

// Restore replaces the store's data by a snapshot taken earlier, as a platform does that
// returns from an older copy, and increments the era. Later writes get revisions that were
// given out before. A waiting or later watch after a revision that the snapshot lacks fails
// with storer.ErrCompacted, and any other continues as if nothing had happened.
func (s *Store) Restore(snapshot Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision = snapshot.revision
	s.objects = maps.Clone(snapshot.objects)
	s.history = slices.Clone(snapshot.history)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns how many times the store has been restored.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}
