// Package keeper is an object store in memory that can simulate the faults of a real
// platform. Tests and the fake platform use it.
package keeper

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

// Keeper is an object store in memory. It is safe for concurrent use.
type Keeper struct {
	mutex sync.Mutex
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

// write is a write in the history; a deletion is one too.
type write struct {
	revision uint64
	name     string
}

// Calls holds the numbers of calls that reached the store, by kind, with those that
// failed because of a simulated fault.
type Calls struct {
	Reads   int
	Writes  int
	Watches int
	// WatchesOf counts the watches by prefix.
	WatchesOf map[string]int
}

// New returns an empty store.
func New() *Keeper {
	return &Keeper{
		objects: map[string]storer.Object[[]byte]{},
		changed: make(chan struct{}),
		calls: Calls{
			WatchesOf: map[string]int{},
		},
	}
}

// Get returns one object, or storer.ErrNotFound.
func (k *Keeper) Get(ctx context.Context, name string) (storer.Object[[]byte], error) {
	if err := k.beginCall(ctx, "get "+name, countRead); err != nil {
		return storer.Object[[]byte]{}, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	object, found := k.objects[name]
	if !found {
		return object, notRunError("get "+name, storer.ErrNotFound)
	}
	return object, nil
}

// List returns all objects whose names start with prefix, and the store's revision.
func (k *Keeper) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	if err := k.beginCall(ctx, "list "+prefix, countRead); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.objectsBelow(prefix), nil
}

// Watch waits until an object below prefix has changed after a revision, and returns the
// changes. If ctx ends first, it returns no changes and no error.
func (k *Keeper) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	if err := k.beginCall(ctx, "watch "+prefix, countWatch(prefix)); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	for {
		changes, changed, err := k.changesSince(prefix, after)
		if err != nil || len(changes.Objects)+len(changes.Removed) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
		if k.currentFaults().Down {
			return storer.Changes[[]byte]{}, notRunError("watch "+prefix, storer.ErrUnavailable)
		}
	}
}

// Put writes an object if the condition holds.
func (k *Keeper) Put(
	ctx context.Context,
	name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	call := "put " + name
	if len(value) > storer.MaxValueBytes {
		return storer.Object[[]byte]{}, notRunError(call, storer.ErrTooLarge)
	}
	if err := k.beginCall(ctx, call, countWrite); err != nil {
		return storer.Object[[]byte]{}, err
	}
	object, err := k.put(call, name, value, condition)
	if err != nil {
		return object, err
	}
	return object, k.endWrite(call)
}

// Delete removes an object if the condition holds.
func (k *Keeper) Delete(ctx context.Context, name string, condition storer.Condition) error {
	call := "delete " + name
	if err := k.beginCall(ctx, call, countWrite); err != nil {
		return err
	}
	if err := k.remove(call, name, condition); err != nil {
		return err
	}
	return k.endWrite(call)
}

// Instances returns the list of instances that SetInstances set.
func (k *Keeper) Instances(ctx context.Context) ([]storer.Instance, error) {
	if err := k.beginCall(ctx, "instances", countRead); err != nil {
		return nil, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return slices.Clone(k.instances), nil
}

// SetInstances replaces the list of instances.
func (k *Keeper) SetInstances(instances ...storer.Instance) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.instances = slices.Clone(instances)
}

// Calls returns how many calls have reached the store.
func (k *Keeper) Calls() Calls {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	calls := k.calls
	calls.WatchesOf = maps.Clone(calls.WatchesOf)
	return calls
}

// put writes an object under the mutex if the condition holds.
func (k *Keeper) put(
	call, name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !condition.Holds(k.objects[name].Revision) {
		return storer.Object[[]byte]{}, notRunError(call, storer.ErrConflict)
	}
	object := storer.Object[[]byte]{
		Name:     name,
		Revision: k.revision + 1,
		Value:    slices.Clone(value),
	}
	k.objects[name] = object
	k.recordWrite(name)
	return object, nil
}

// remove deletes an object under the mutex if the condition holds.
func (k *Keeper) remove(call, name string, condition storer.Condition) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	object, found := k.objects[name]
	if !found {
		return notRunError(call, storer.ErrNotFound)
	}
	if !condition.Holds(object.Revision) {
		return notRunError(call, storer.ErrConflict)
	}
	delete(k.objects, name)
	k.recordWrite(name)
	return nil
}

// recordWrite increments the revision, appends the write to the history and wakes the
// waiting watches. A history that is too long loses its oldest half. The caller holds
// the mutex.
func (k *Keeper) recordWrite(name string) {
	k.revision++
	k.history = append(k.history, write{
		revision: k.revision,
		name:     name,
	})
	if len(k.history) > historyLength {
		k.history = slices.Clone(k.history[historyLength/2:])
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// objectsBelow returns all objects below prefix. The caller holds the mutex.
func (k *Keeper) objectsBelow(prefix string) storer.Changes[[]byte] {
	changes := storer.Changes[[]byte]{
		Revision: k.revision,
	}
	for name, object := range k.objects {
		if strings.HasPrefix(name, prefix) {
			changes.Objects = append(changes.Objects, object)
		}
	}
	sortObjects(changes.Objects)
	return changes
}

// changesSince returns the changes below prefix after a revision, and a channel that the
// next write or change of the faults closes. Each object is returned once, in its present
// state. It fails with storer.ErrCompacted if the history does not reach back to the
// revision, or if the store has not reached the revision yet.
func (k *Keeper) changesSince(prefix string, after uint64) (storer.Changes[[]byte], <-chan struct{}, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	changes := storer.Changes[[]byte]{
		Revision: k.revision,
	}
	if after > k.revision || (len(k.history) > 0 && after+1 < k.history[0].revision) {
		return changes, nil, notRunError("watch "+prefix, storer.ErrCompacted)
	}
	names := map[string]bool{}
	for _, entry := range k.history {
		if entry.revision <= after || !strings.HasPrefix(entry.name, prefix) || names[entry.name] {
			continue
		}
		names[entry.name] = true
		if object, found := k.objects[entry.name]; found {
			changes.Objects = append(changes.Objects, object)
		} else {
			changes.Removed = append(changes.Removed, entry.name)
		}
	}
	sortObjects(changes.Objects)
	slices.Sort(changes.Removed)
	return changes, k.changed, nil
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
