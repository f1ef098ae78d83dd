// Package watcher keeps a local view of the objects below a prefix of the store up to
// date, and computes the differences between such views. It decides when to list and
// when to watch, and repeats failed calls. Its caller decides whether this process calls
// the store at all (shouldWatch), and passes on the views that other processes got
// (Offer).
package watcher

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// minBackoffMillis and maxBackoffMillis bound the time between two attempts while
	// the store fails, in milliseconds.
	minBackoffMillis = 50
	maxBackoffMillis = 1000
	// watchCheckInterval is the time between two calls of Watcher.shouldWatch while this
	// process does not watch.
	watchCheckInterval = 200 * time.Millisecond
	// pausePerObject is added to the pause after an answer with changes for each object of the
	// view, up to maxAddedPause: a large view costs more to apply, at all processes that get it.
	pausePerObject = 400 * time.Microsecond
	maxAddedPause  = 600 * time.Millisecond
)

// View holds all objects below a prefix at one revision of the store.
type View[T any] struct {
	// Era is the store's era to which Revision belongs.
	Era uint64
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Objects holds the objects in the order of their names.
	Objects []storer.Object[T]
	// Removed holds the names of the objects that were removed since the view before,
	// also of those that were written and removed in between, so that neither view holds them.
	Removed []string
	// Gap says that Removed may lack objects that were written and removed in between,
	// because the view was listed.
	Gap bool
}

// Position returns the point in the store's history up to which the view is complete.
func (v View[T]) Position() storer.Position {
	return storer.Position{
		Era:      v.Era,
		Revision: v.Revision,
	}
}

// Watcher keeps the view of one prefix up to date. One goroutine calls Run; any goroutine
// may call Offer, Recheck and Restart.
type Watcher[T any] struct {
	reader storer.Reader[T]
	prefix string
	// shouldWatch reports whether this process is to watch the store now. Otherwise the
	// view changes only by offers.
	shouldWatch func() bool
	// pauseMillis is the time between an answer with changes and the next watch for a small view,
	// in milliseconds; 0 for none. The pause lets one answer carry several changes in quick
	// succession.
	pauseMillis int
	// watchTimeout returns the longest time that one watch may wait; nil leaves the
	// timeout to the store.
	watchTimeout func() time.Duration
	// objects holds the objects of the view by their names. revision is the store's revision
	// from which the next watch continues, in the era of the view.
	objects  map[string]storer.Object[T]
	era      uint64
	revision uint64
	// unchangedAt is the revision up to which the store has last answered that nothing has
	// changed. That answer may be wrong, because a watch can end while the store holds
	// changes back. So the next watch still continues from revision; only if that one
	// finds nothing either does unchangedAt become the revision.
	unchangedAt uint64
	// changedAt is the position of the last list, offer, or watch with changes. Offers are
	// compared with it.
	changedAt storer.Position
	// removed and gap are View.Removed and View.Gap of the next view.
	removed []string
	gap     bool
	// complete is set while objects holds the whole view; otherwise the next call lists.
	// verifying is set if that list only verifies that nothing has changed.
	complete  bool
	verifying bool

	// mu guards offered, latestEra and cancelCall.
	mu sync.Mutex
	// latestEra is the latest era of the store that is known here. The view of an earlier
	// one is listed again, and an answer from an earlier one is not applied.
	latestEra uint64
	// offered is the newest offered view that has not been applied yet, or nil.
	offered *View[T]
	// cancelCall cancels the call in progress; nil while there is none.
	cancelCall context.CancelFunc
	// wakeups wakes awaitOffer when a view has been offered, or shouldWatch is to be called.
	wakeups chan struct{}
}

// New returns a watcher of a prefix. It watches the store while shouldWatch returns true.
func New[T any](reader storer.Reader[T], prefix string, shouldWatch func() bool) *Watcher[T] {
	return &Watcher[T]{
		reader:      reader,
		prefix:      prefix,
		shouldWatch: shouldWatch,
		objects:     map[string]storer.Object[T]{},
		wakeups:     make(chan struct{}, 1),
	}
}

// WithPause sets the time between an answer with changes and the next watch, in
// milliseconds, and returns the watcher. The pause grows with the number of objects, by 0.6 s at
// most. WithPause must be called before Run.
func (w *Watcher[T]) WithPause(millis int) *Watcher[T] {
	w.pauseMillis = millis
	return w
}

// WithWatchTimeout sets the function that returns the longest time that one watch may
// wait, and returns the watcher. Each watch calls it anew. WithWatchTimeout must be
// called before Run.
func (w *Watcher[T]) WithWatchTimeout(timeout func() time.Duration) *Watcher[T] {
	w.watchTimeout = timeout
	return w
}

// Restart cancels the call in progress and repeats it, so that the timeout of
// WithWatchTimeout is read again.
func (w *Watcher[T]) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelCall != nil {
		w.cancelCall()
	}
}

// Run keeps the view up to date until ctx is done, and always returns nil. It calls
// onUpdate with each new view, whether listed, watched or offered; onAnswer after each
// answer of the store, before onUpdate, but not after an offer; and onError with each error of
// the store.
// After an error it lists all objects again, because changes may have been lost. Calls
// that Restart or Offer cancels don't count as errors.
func (w *Watcher[T]) Run(ctx context.Context, onUpdate func(View[T]), onAnswer func(), onError func(error)) error {
	backoff := retrier.NewBackoff(minBackoffMillis, maxBackoffMillis)
	for ctx.Err() == nil {
		if w.applyOffer() {
			onUpdate(w.view())
		}
		if !w.shouldWatch() {
			w.awaitOffer(ctx)
			continue
		}
		changed, err := w.listOrWatch(ctx)
		if errors.Is(err, errInterrupted) {
			continue
		}
		if err != nil {
			w.complete = false
			w.verifying = false
			onError(err)
			if backoff.Wait(ctx) != nil {
				break
			}
			continue
		}
		backoff.Reset()
		onAnswer()
		if changed {
			onUpdate(w.view())
		}
		if changed && w.pause(ctx) != nil {
			break
		}
	}
	return nil
}

// pause waits for the time between an answer with changes and the next watch. It returns
// the error of ctx if ctx is done before.
func (w *Watcher[T]) pause(ctx context.Context) error {
	if w.pauseMillis == 0 {
		return nil
	}
	added := min(time.Duration(len(w.objects))*pausePerObject, maxAddedPause)
	return retrier.Sleep(ctx, time.Duration(w.pauseMillis)*time.Millisecond+added)
}

// errInterrupted is the error of a call that Restart or Offer has canceled.
var errInterrupted = errors.New("call interrupted")

// listOrWatch lists all objects if the view is not complete, and otherwise waits for
// changes. It reports whether the view has changed.
func (w *Watcher[T]) listOrWatch(ctx context.Context) (bool, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.setCancelCall(cancel)
	defer w.setCancelCall(nil)
	if w.hasOffer() {
		return false, errInterrupted
	}
	if w.isOutdated() {
		w.complete = false
		w.verifying = false
	}
	call := w.watch
	if !w.complete {
		call = w.list
	}
	changed, err := call(callCtx)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return false, errInterrupted
	}
	return changed, err
}

// watch waits for changes and applies them to the view. It reports whether there were any.
// Changes of a later era are left to the next call, which lists: they need not follow the view.
func (w *Watcher[T]) watch(ctx context.Context) (bool, error) {
	if w.watchTimeout != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.watchTimeout())
		defer cancel()
	}
	begun := time.Now()
	changes, err := w.reader.Watch(ctx, w.prefix, w.revision)
	if err != nil {
		return false, err
	}
	era, err := w.acceptEra(changes.Era)
	if err != nil || era != w.era {
		return false, err
	}
	if len(changes.Objects)+len(changes.Removed) == 0 {
		w.recordUnchanged(changes.Revision, time.Since(begun))
		return false, nil
	}
	w.revision = max(w.revision, changes.Revision)
	w.unchangedAt = w.revision
	w.changedAt = w.position()
	for _, object := range changes.Objects {
		w.objects[object.Name] = object
	}
	for _, name := range changes.Removed {
		delete(w.objects, name)
	}
	w.removed = changes.Removed
	w.gap = false
	return true, nil
}

// maxReplay is the longest time for which the next watch may continue from before the last
// answer. The store does not keep its history for much longer.
const maxReplay = 10 * time.Second

// recordUnchanged records that the store has answered, to a watch that took some time, that
// nothing has changed up to a revision. After a long watch the next call lists instead of
// continuing from before the watch.
func (w *Watcher[T]) recordUnchanged(revision uint64, took time.Duration) {
	if took > maxReplay {
		w.complete = false
		w.verifying = true
		return
	}
	w.revision = max(w.revision, w.unchangedAt)
	w.unchangedAt = revision
}

func (w *Watcher[T]) setCancelCall(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall = cancel
}

// list lists all objects, and reports whether the view is a new one. A list that verifies
// a view which has not changed gives no new one.
func (w *Watcher[T]) list(ctx context.Context) (bool, error) {
	changes, err := w.reader.List(ctx, w.prefix)
	if err != nil {
		return false, err
	}
	era, err := w.acceptEra(changes.Era)
	if err != nil {
		return false, err
	}
	changed := !w.verifying || era != w.era || !w.holds(changes.Objects)
	w.replaceView(View[T]{
		Era:      era,
		Revision: changes.Revision,
		Objects:  changes.Objects,
		Gap:      true,
	})
	return changed, nil
}

// holds reports whether the view consists of these objects at these revisions.
func (w *Watcher[T]) holds(objects []storer.Object[T]) bool {
	if len(objects) != len(w.objects) {
		return false
	}
	for _, object := range objects {
		if held, found := w.objects[object.Name]; !found || held.Revision != object.Revision {
			return false
		}
	}
	return true
}

// replaceView replaces the watcher's view by a complete one.
func (w *Watcher[T]) replaceView(view View[T]) {
	clear(w.objects)
	for _, object := range view.Objects {
		w.objects[object.Name] = object
	}
	w.era = view.Era
	w.revision = view.Revision
	w.unchangedAt = view.Revision
	w.changedAt = view.Position()
	w.removed = view.Removed
	w.gap = view.Gap
	w.complete = true
	w.verifying = false
}

// position returns the point in the store's history from which the next watch continues.
func (w *Watcher[T]) position() storer.Position {
	return storer.Position{
		Era:      w.era,
		Revision: w.revision,
	}
}

func (w *Watcher[T]) view() View[T] {
	view := View[T]{
		Era:      w.era,
		Revision: w.revision,
		Removed:  w.removed,
		Gap:      w.gap,
	}
	for _, name := range slices.Sorted(maps.Keys(w.objects)) {
		view.Objects = append(view.Objects, w.objects[name])
	}
	return view
}
