package sharer

import (
	"slices"
	"time"
)

// waiter is a request of this instance, or an ask of a borrower, that waits for the
// team's rate.
type waiter struct {
	// deadline is the instant at which the waiter is refused.
	deadline time.Time
	// serve tries to serve the waiter, and returns false if no unit is available.
	serve func(now time.Time) bool
	// refuse ends the wait without success.
	refuse func()
	// retire ends the wait when the limiter is retired.
	retire func(retirement retirement)
}

// retirement says whether a limiter is in use, and what becomes of its waiters if not.
type retirement int

const (
	// inUse is the retirement of a limiter that is in use.
	inUse retirement = iota
	// lifted is the retirement of a limiter whose team has no limit any more: requests are
	// admitted.
	lifted
	// removed is the retirement of a limiter whose team is not declared any more: requests
	// are refused.
	removed
)

// Lift retires the limiter of a team that has no limit any more. Requests that wait, or are
// still queued by an earlier plan, are admitted in their order; asks get nothing.
func (l *Limiter) Lift() {
	l.retire(lifted)
}

// Remove retires the limiter of a team that is not declared any more. Requests that wait, or
// are still queued by an earlier plan, are refused; asks get nothing.
func (l *Limiter) Remove() {
	l.retire(removed)
}

// Resume takes a limiter that was retired into use again.
func (l *Limiter) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retirement = inUse
}

// retire answers all waiters. Nobody polls a limiter that no plan contains, so that they would
// wait for ever.
func (l *Limiter) retire(retirement retirement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retirement = retirement
	for _, w := range l.waiters {
		w.retire(retirement)
	}
	l.waiters = nil
}

// Enqueue makes a request wait for the team's rate until the deadline. It returns false
// if there are too many waiters, or if those ahead of the request will use up all that the
// rate admits until the deadline, or if the limiter was removed. Otherwise done is called
// exactly once: with true once the request is admitted, which may be at once, or with false at
// the deadline or when the limiter is removed.
func (l *Limiter) Enqueue(now, deadline time.Time, done func(bool)) bool {
	if l.isUsedUp(now, deadline) {
		return false
	}
	return l.addWaiter(waiter{
		deadline: deadline,
		serve: func(now time.Time) bool {
			if _, ok := l.Bucket.Take(now); !ok && !l.borrowed.take(now) {
				return false
			}
			done(true)
			return true
		},
		refuse: func() { done(false) },
		retire: func(retirement retirement) { done(retirement == lifted) },
	})
}

// Waiting returns the number of waiting requests and asks.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// addWaiter adds a waiter to the queue and returns false if the queue is full or the limiter
// was removed. The wait at a lifted limiter ends at once.
func (l *Limiter) addWaiter(w waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retirement == lifted {
		w.retire(lifted)
		return true
	}
	if l.retirement == removed || len(l.waiters) >= l.maxWaiters {
		return false
	}
	l.waiters = append(l.waiters, w)
	l.pollAt.Store(pollImmediately)
	return true
}

// serveWaiters refuses the waiters whose deadline has passed. It then serves the
// others in order of arrival as far as units are available.
func (l *Limiter) serveWaiters(now time.Time) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool {
		expired := !now.Before(w.deadline)
		if expired {
			w.refuse()
			l.recordRefusal(now)
		}
		return expired
	})
	served := 0
	for served < len(l.waiters) && l.waiters[served].serve(now) {
		served++
	}
	l.waiters = slices.Delete(l.waiters, 0, served)
	l.served += uint64(served)
}

// serviceWindow is how long requests must have been refused before the rate at which waiters
// are served counts as known, and how long none must have been refused before it counts as
// unknown again. Each ask that was sent at the first refusal has been answered by then.
const serviceWindow = AnswerTimeout

// recordRefusal records that a waiter was refused, or that a request was not let wait.
func (l *Limiter) recordRefusal(now time.Time) {
	if now.Sub(l.lastRefusedAt) > serviceWindow {
		l.overloadedSince = now
	}
	l.lastRefusedAt = now
}

// isUsedUp reports whether the waiters ahead of a request will use up all that the rate admits
// until the deadline, at the rate at which this instance has served waiters lately. It returns
// false while that rate is not known.
func (l *Limiter) isUsedUp(now, deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastRefusedAt) > serviceWindow || now.Sub(l.overloadedSince) < serviceWindow {
		return false
	}
	expected := l.serviceRate.perSecond * deadline.Sub(now).Seconds()
	if float64(len(l.waiters)) <= expected {
		return false
	}
	l.recordRefusal(now)
	return true
}
