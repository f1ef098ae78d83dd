// Package keeper is a store in memory, with the faults of a real platform by
// switch. It serves tests and the platform's stand-in.
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

// historyLength is how many writes are remembered for watches.
const historyLength = 10_000

// Keeper is an object store in memory. Safe for many goroutines.
type Keeper struct {
	mutex sync.Mutex
	// revision grows by one with each write.
	revision uint64
	objects  map[string]storer.Object[[]byte]
	// history holds the latest writes in order of revision.
	history []write
	// changed is closed and replaced at each write.
	changed   chan struct{}
	faults    Faults
	instances []storer.Instance
	calls     Calls
}

// write is one remembered write.
type write struct {
	revision uint64
	name     string
}

// Calls counts the calls that reached the store, by kind.
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
	if err := k.enter(ctx, "get "+name, countRead); err != nil {
		return storer.Object[[]byte]{}, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	object, found := k.objects[name]
	if !found {
		return object, refuse("get "+name, storer.ErrNotFound)
	}
	return object, nil
}

// List returns all objects whose names start with prefix.
func (k *Keeper) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	if err := k.enter(ctx, "list "+prefix, countRead); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.listing(prefix), nil
}

// Watch waits until something below prefix has changed after a revision, or ctx
// ends; then it returns no changes.
func (k *Keeper) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	if err := k.enter(ctx, "watch "+prefix, countWatch(prefix)); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	for {
		changes, changed, err := k.since(prefix, after)
		if err != nil || len(changes.Objects)+len(changes.Removed) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
		if k.faulty().Down {
			return storer.Changes[[]byte]{}, refuse("watch "+prefix, storer.ErrUnavailable)
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
		return storer.Object[[]byte]{}, refuse(call, storer.ErrTooLarge)
	}
	if err := k.enter(ctx, call, countWrite); err != nil {
		return storer.Object[[]byte]{}, err
	}
	object, err := k.put(call, name, value, condition)
	if err != nil {
		return object, err
	}
	return object, k.leave(call)
}

// Delete removes an object if the condition holds.
func (k *Keeper) Delete(ctx context.Context, name string, condition storer.Condition) error {
	call := "delete " + name
	if err := k.enter(ctx, call, countWrite); err != nil {
		return err
	}
	if err := k.remove(call, name, condition); err != nil {
		return err
	}
	return k.leave(call)
}

// Instances returns the list that SetInstances gave.
func (k *Keeper) Instances(ctx context.Context) ([]storer.Instance, error) {
	if err := k.enter(ctx, "instances", countRead); err != nil {
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

// Calls returns how many calls reached the store so far.
func (k *Keeper) Calls() Calls {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	calls := k.calls
	calls.WatchesOf = maps.Clone(calls.WatchesOf)
	return calls
}

func (k *Keeper) put(
	call, name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !condition.Holds(k.objects[name].Revision) {
		return storer.Object[[]byte]{}, refuse(call, storer.ErrConflict)
	}
	object := storer.Object[[]byte]{
		Name:     name,
		Revision: k.revision + 1,
		Value:    slices.Clone(value),
	}
	k.objects[name] = object
	k.note(name)
	return object, nil
}

func (k *Keeper) remove(call, name string, condition storer.Condition) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	object, found := k.objects[name]
	if !found {
		return refuse(call, storer.ErrNotFound)
	}
	if !condition.Holds(object.Revision) {
		return refuse(call, storer.ErrConflict)
	}
	delete(k.objects, name)
	k.note(name)
	return nil
}

// note remembers a write and wakes the watches. The mutex is held.
func (k *Keeper) note(name string) {
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

// listing returns all objects below prefix. The mutex is held.
func (k *Keeper) listing(prefix string) storer.Changes[[]byte] {
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

// since returns the changes below prefix after a revision, and a channel that
// the next write closes.
func (k *Keeper) since(prefix string, after uint64) (storer.Changes[[]byte], <-chan struct{}, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	changes := storer.Changes[[]byte]{
		Revision: k.revision,
	}
	if after > k.revision || (len(k.history) > 0 && after+1 < k.history[0].revision) {
		return changes, nil, refuse("watch "+prefix, storer.ErrCompacted)
	}
	names := map[string]bool{}
	for _, past := range k.history {
		if past.revision <= after || !strings.HasPrefix(past.name, prefix) || names[past.name] {
			continue
		}
		names[past.name] = true
		if object, found := k.objects[past.name]; found {
			changes.Objects = append(changes.Objects, object)
		} else {
			changes.Removed = append(changes.Removed, past.name)
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

func refuse(call string, err error) error {
	return &storer.Error{
		Call:    call,
		Verdict: arbiter.NotRun,
		Err:     err,
	}
}
