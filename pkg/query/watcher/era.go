package watcher

import (
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// ObserveEra tells the watcher that the store has reached an era. If that is later than any
// known here, the call in progress is canceled, and the next one lists all objects.
func (w *Watcher[T]) ObserveEra(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if era <= w.latestEra {
		return
	}
	w.latestEra = era
	if w.cancelCall != nil {
		w.cancelCall()
	}
}

// isOutdated reports whether the view is of an earlier era than the latest.
func (w *Watcher[T]) isOutdated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era < w.latestEra
}

// acceptEra records and returns the era of an answer, or returns storer.ErrEarlierEra. An answer
// that does not report the era, which is 0 then, counts as one of the latest era.
func (w *Watcher[T]) acceptEra(answered uint64) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answered == 0 {
		return w.latestEra, nil
	}
	if answered < w.latestEra {
		return 0, fmt.Errorf("era %d after %d: %w", answered, w.latestEra, storer.ErrEarlierEra)
	}
	w.latestEra = answered
	return answered, nil
}
