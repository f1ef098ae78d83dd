// Package watcher follows what is stored below a prefix.
package watcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// firstWaitMillis and longestWaitMillis space the tries while the store fails.
	firstWaitMillis   = 50
	longestWaitMillis = 1000
	// dueInterval is the time between two looks at whether to watch.
	dueInterval = 200 * time.Millisecond
)

// View is all that is stored below a prefix.
type View[T any] struct {
	// Revision is the store's revision that the view is complete up to.
	Revision uint64
	// Objects are in the order of their names.
	Objects []storer.Object[T]
}

// Watcher follows one prefix. Run is used by one goroutine, Offer by any.
type Watcher[T any] struct {
	reader storer.Reader[T]
	prefix string
	// due says whether it falls to this process to watch now.
	due func() bool
	// pauseMillis is the time between an answer with changes and the next watch, in
	// milliseconds, so that changes in quick succession come in one answer.
	pauseMillis int
	// wait returns how long one watch waits at most; nil leaves it to the store.
	wait func() time.Duration
	// objects holds the objects of the view under their names.
	objects  map[string]storer.Object[T]
	revision uint64
	// changedAt is the revision of the last answer or offer that brought a change. The
	// store may have said since that nothing has changed, and been wrong.
	changedAt uint64
	// listed says that the view is complete.
	listed bool

	// renewed says that the call under way was ended to make it anew.
	renewed atomic.Bool
	// offering guards offered and interrupt.
	offering sync.Mutex
	// offered is a view from elsewhere that has not been taken in, or nil.
	offered *View[T]
	// interrupt ends the call that is under way, or is nil.
	interrupt context.CancelFunc
	// offers tells that a view has been offered.
	offers chan struct{}
}

// New returns a watcher of a prefix, which watches while due says so.
func New[T any](reader storer.Reader[T], prefix string, due func() bool) *Watcher[T] {
	return &Watcher[T]{
		reader:  reader,
		prefix:  prefix,
		due:     due,
		objects: map[string]storer.Object[T]{},
		offers:  make(chan struct{}, 1),
	}
}

// WithPause returns the watcher with a time between an answer with changes and the
// next watch, in milliseconds. It is called before Run.
func (w *Watcher[T]) WithPause(millis int) *Watcher[T] {
	w.pauseMillis = millis
	return w
}

// WithWait returns the watcher with a bound of one watch, which may change. It is
// called before Run.
func (w *Watcher[T]) WithWait(wait func() time.Duration) *Watcher[T] {
	w.wait = wait
	return w
}

// Renew ends the watch under way and makes it anew, with a bound of now.
func (w *Watcher[T]) Renew() {
	w.offering.Lock()
	defer w.offering.Unlock()
	if w.interrupt != nil {
		w.renewed.Store(true)
		w.interrupt()
	}
}

// Offer hands over a view that somebody else got from the store. If it is newer than
// the last change that is known here, it replaces the own view and the watch goes on
// from there, also where the store has said meanwhile that nothing has changed.
func (w *Watcher[T]) Offer(view View[T]) {
	w.offering.Lock()
	defer w.offering.Unlock()
	if w.offered == nil || w.offered.Revision < view.Revision {
		w.offered = &view
	}
	if w.interrupt != nil {
		w.interrupt()
	}
	select {
	case w.offers <- struct{}{}:
	default:
		// One is told of already.
	}
}

// Run calls update with each new view until ctx ends, answered after each answer
// of the store, and failed with each of its errors. It lists anew when changes
// were lost.
func (w *Watcher[T]) Run(ctx context.Context, update func(View[T]), answered func(), failed func(error)) error {
	backoff := retrier.NewBackoff(firstWaitMillis, longestWaitMillis)
	for ctx.Err() == nil {
		if w.takeOffer() {
			update(w.view())
		}
		if !w.due() {
			w.awaitOffer(ctx)
			continue
		}
		changed, err := w.step(ctx)
		if err != nil && (w.hasOffer() || w.renewed.Swap(false)) {
			continue
		}
		if err != nil {
			w.listed = false
			failed(err)
			if backoff.Wait(ctx) != nil {
				break
			}
			continue
		}
		backoff.Reset()
		if changed {
			update(w.view())
		}
		answered()
		if changed && w.rest(ctx) != nil {
			break
		}
	}
	return nil
}

// awaitOffer waits until a view is offered, it is time to look again whether to watch,
// or ctx ends.
func (w *Watcher[T]) awaitOffer(ctx context.Context) {
	timer := time.NewTimer(dueInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.offers:
	}
}

// rest waits between an answer with changes and the next watch, or until ctx ends,
// whose error it then returns.
func (w *Watcher[T]) rest(ctx context.Context) error {
	if w.pauseMillis == 0 {
		return nil
	}
	return retrier.Sleep(ctx, time.Duration(w.pauseMillis)*time.Millisecond)
}

// hasOffer says whether a view waits to be taken in.
func (w *Watcher[T]) hasOffer() bool {
	w.offering.Lock()
	defer w.offering.Unlock()
	return w.offered != nil
}

// takeOffer takes in the offered view if it is newer, and says whether it was.
func (w *Watcher[T]) takeOffer() bool {
	w.offering.Lock()
	defer w.offering.Unlock()
	offered := w.offered
	w.offered = nil
	if offered == nil || offered.Revision <= w.changedAt {
		return false
	}
	w.replace(*offered)
	return true
}

// step lists if the view is not complete, else waits for changes.
func (w *Watcher[T]) step(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.setInterrupt(cancel)
	defer w.setInterrupt(nil)
	if !w.listed {
		return true, w.list(ctx)
	}
	if w.wait != nil {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, w.wait())
		defer end()
	}
	changes, err := w.reader.Watch(ctx, w.prefix, w.revision)
	if err != nil {
		return false, err
	}
	w.revision = max(w.revision, changes.Revision)
	if len(changes.Objects)+len(changes.Removed) == 0 {
		return false, nil
	}
	w.changedAt = w.revision
	for _, object := range changes.Objects {
		w.objects[object.Name] = object
	}
	for _, name := range changes.Removed {
		delete(w.objects, name)
	}
	return true, nil
}

func (w *Watcher[T]) setInterrupt(interrupt context.CancelFunc) {
	w.offering.Lock()
	defer w.offering.Unlock()
	w.interrupt = interrupt
}

func (w *Watcher[T]) list(ctx context.Context) error {
	changes, err := w.reader.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.replace(View[T]{
		Revision: changes.Revision,
		Objects:  changes.Objects,
	})
	return nil
}

// replace puts a complete view in place of the own one.
func (w *Watcher[T]) replace(view View[T]) {
	clear(w.objects)
	for _, object := range view.Objects {
		w.objects[object.Name] = object
	}
	w.revision = view.Revision
	w.changedAt = view.Revision
	w.listed = true
}

func (w *Watcher[T]) view() View[T] {
	view := View[T]{
		Revision: w.revision,
	}
	for _, name := range slices.Sorted(maps.Keys(w.objects)) {
		view.Objects = append(view.Objects, w.objects[name])
	}
	return view
}
