// Package memstorer is an object store in memory that can simulate the faults of a real
// platform. Tests and the fake platform use it.
package memstorer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// historyLength is how many writes are kept for watches at most. A watch after an older
// revision fails with storer.ErrCompacted.
const historyLength = 10_000

// Store is an object store in memory. It is safe for concurrent use.
type Store struct {
	mutex sync.Mutex
	// era is incremented by each Restore.
	era uint64
	// revision is incremented by each write.
	revision uint64
	objects  map[string]storer.Object[[]byte]
	// history holds the latest writes in the order of their revisions.
	history []write
	// changed is closed and replaced by each write and each change of the faults, which
	// wakes the waiting watches.
	changed   chan struct{}
	faults    Faults
	instances []storer.Instance
	calls     Calls
}

// write is a write in the history: of an object, or its deletion.
type write struct {
	revision uint64
	name     string
}

// Calls holds the numbers of calls that reached the store, by kind, including those
// that a simulated fault made fail. A Put whose value is too large is not counted.
type Calls struct {
	Reads   int
	Writes  int
	Watches int
	// WatchesOf counts the watches by prefix.
	WatchesOf map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: map[string]storer.Object[[]byte]{},
		changed: make(chan struct{}),
		calls: Calls{
			WatchesOf: map[string]int{},
		},
	}
}

// Get returns one object, or storer.ErrNotFound.
func (s *Store) Get(ctx context.Context, name string) (storer.Object[[]byte], error) {
	if err := s.beginCall(ctx, "get "+name, countRead); err != nil {
		return storer.Object[[]byte]{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[name]
	if !found {
		return object, notRunError("get "+name, storer.ErrNotFound)
	}
	return object, nil
}

// List returns all objects whose names start with prefix, and the store's revision.
func (s *Store) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	if err := s.beginCall(ctx, "list "+prefix, countRead); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.objectsBelow(prefix), nil
}

// Watch waits until an object below prefix has changed after a revision, and returns the
// changes. If ctx ends first, it returns no changes and no error.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	if err := s.beginCall(ctx, "watch "+prefix, countWatch(prefix)); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	for {
		changes, changed, err := s.changesSince(prefix, after)
		if err != nil || len(changes.Objects)+len(changes.Removed) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
		if s.currentFaults().Down {
			return storer.Changes[[]byte]{}, notRunError("watch "+prefix, storer.ErrUnavailable)
		}
	}
}

// Put writes an object if the condition holds.
func (s *Store) Put(
	ctx context.Context,
	name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	call := "put " + name
	if len(value) > storer.MaxValueBytes {
		return storer.Object[[]byte]{}, notRunError(call, storer.ErrTooLarge)
	}
	if err := s.beginCall(ctx, call, countWrite); err != nil {
		return storer.Object[[]byte]{}, err
	}
	object, err := s.put(call, name, value, condition)
	if err != nil {
		return object, err
	}
	return object, s.endWrite(call)
}

// Delete removes an object if the condition holds.
func (s *Store) Delete(ctx context.Context, name string, condition storer.Condition) error {
	call := "delete " + name
	if err := s.beginCall(ctx, call, countWrite); err != nil {
		return err
	}
	if err := s.remove(call, name, condition); err != nil {
		return err
	}
	return s.endWrite(call)
}

// Instances returns the list of instances that SetInstances set.
func (s *Store) Instances(ctx context.Context) ([]storer.Instance, error) {
	if err := s.beginCall(ctx, "instances", countRead); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.instances), nil
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(instances ...storer.Instance) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.instances = slices.Clone(instances)
}

// Calls returns how many calls have reached the store.
func (s *Store) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := s.calls
	calls.WatchesOf = maps.Clone(calls.WatchesOf)
	return calls
}

// put writes an object under the mutex if the condition holds.
func (s *Store) put(
	call, name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !condition.Holds(s.objects[name].Revision) {
		return storer.Object[[]byte]{}, notRunError(call, storer.ErrConflict)
	}
	object := storer.Object[[]byte]{
		Name:     name,
		Revision: s.revision + 1,
		Value:    slices.Clone(value),
	}
	s.objects[name] = object
	s.recordWrite(name)
	return object, nil
}

// remove deletes an object under the mutex if the condition holds.
func (s *Store) remove(call, name string, condition storer.Condition) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[name]
	if !found {
		return notRunError(call, storer.ErrNotFound)
	}
	if !condition.Holds(object.Revision) {
		return notRunError(call, storer.ErrConflict)
	}
	delete(s.objects, name)
	s.recordWrite(name)
	return nil
}

// recordWrite increments the revision, appends the write to the history and wakes the
// waiting watches. A history that is too long loses its oldest half. The caller holds
// the mutex.
func (s *Store) recordWrite(name string) {
	s.revision++
	s.history = append(s.history, write{
		revision: s.revision,
		name:     name,
	})
	if len(s.history) > historyLength {
		s.history = slices.Clone(s.history[historyLength/2:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// objectsBelow returns all objects below prefix. The caller holds the mutex.
func (s *Store) objectsBelow(prefix string) storer.Changes[[]byte] {
	changes := storer.Changes[[]byte]{
		Era:      s.era,
		Revision: s.revision,
	}
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			changes.Objects = append(changes.Objects, object)
		}
	}
	sortObjects(changes.Objects)
	return changes
}

// changesSince returns the changes below prefix after a revision, and a channel that
// the next write or change of the faults closes. Each object is returned once, in its
// present state. It fails with storer.ErrCompacted if the history does not reach back
// to the revision, or if the store has not reached the revision yet, as after a loss of
// its data: the caller then has to list the objects again.
func (s *Store) changesSince(prefix string, after uint64) (storer.Changes[[]byte], <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changes := storer.Changes[[]byte]{
		Era:      s.era,
		Revision: s.revision,
	}
	if after > s.revision || (len(s.history) > 0 && after+1 < s.history[0].revision) {
		return changes, nil, notRunError("watch "+prefix, storer.ErrCompacted)
	}
	names := map[string]bool{}
	for _, entry := range s.history {
		if entry.revision <= after || !strings.HasPrefix(entry.name, prefix) || names[entry.name] {
			continue
		}
		names[entry.name] = true
		if object, found := s.objects[entry.name]; found {
			changes.Objects = append(changes.Objects, object)
		} else {
			changes.Removed = append(changes.Removed, entry.name)
		}
	}
	sortObjects(changes.Objects)
	slices.Sort(changes.Removed)
	return changes, s.changed, nil
}

func sortObjects(objects []storer.Object[[]byte]) {
	slices.SortFunc(objects, func(a, b storer.Object[[]byte]) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// notRunError returns the error of a call that had no effect.
func notRunError(call string, err error) error {
	return &storer.Error{
		Call:    call,
		Verdict: arbiter.NotRun,
		Err:     err,
	}
}
