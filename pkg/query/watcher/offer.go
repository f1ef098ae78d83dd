package watcher

import (
	"context"
	"time"
)

// Offer passes a view that another process got from the store. If the view's position is after
// the last change known here, it replaces the watcher's view, and the watch continues
// from its revision. This holds even if the store has answered for a later revision that
// nothing has changed.
func (w *Watcher[T]) Offer(view View[T]) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.offered == nil || view.Position().IsAfter(w.offered.Position()) {
		w.offered = &view
	}
	if w.cancelCall != nil {
		w.cancelCall()
	}
	w.Recheck()
}

// Recheck makes a watcher that does not watch call shouldWatch immediately, rather than after
// watchCheckInterval.
func (w *Watcher[T]) Recheck() {
	select {
	case w.wakeups <- struct{}{}:
	default:
		// A wakeup is pending already.
	}
}

// awaitOffer waits until a view is offered, Recheck is called, watchCheckInterval has
// passed, or ctx is done.
func (w *Watcher[T]) awaitOffer(ctx context.Context) {
	timer := time.NewTimer(watchCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.wakeups:
	}
}

// applyOffer replaces the view by the offered one if that is newer than the last change
// known here, and reports whether it did.
func (w *Watcher[T]) applyOffer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	offered := w.offered
	w.offered = nil
	if offered == nil || !offered.Position().IsAfter(w.changedAt) {
		return false
	}
	w.latestEra = max(w.latestEra, offered.Era)
	w.replaceView(*offered)
	return true
}

// hasOffer reports whether a view has been offered that has not been applied yet. An offer that
// comes before the call can be canceled would otherwise wait until the call ends.
func (w *Watcher[T]) hasOffer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offered != nil
}
