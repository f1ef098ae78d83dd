package scheduler

import (
	"math"
	"time"
)

// Priorities is how many priorities are told apart. Those beyond the last one count as the
// last one.
const Priorities = 8

// PriorityIndex returns the place of a priority in Counts: from 0 to Priorities-1.
func PriorityIndex(priority int) int {
	return min(max(priority, 0), Priorities-1)
}

const (
	// retryShare is the share of the time that is left that a caller waits at most, so that a
	// later time for a retry has no use.
	retryShare = 1.0 / 3
	// defaultRetryInterval is the time between two retries where the rate of slots is unknown.
	defaultRetryInterval = 20 * time.Millisecond
	// unknownRetry is the earliest retry of a request for which no slot is expected at all.
	unknownRetry = time.Second
)

// RetryPlan gives each refused request of a service the time for its retry: not before a slot
// is expected, and after the retries of the requests that were refused before and are at least
// as urgent. So retries come in the order of the refusals, at the rate at which slots become
// free, and form no second peak. It is immutable.
type RetryPlan struct {
	// last holds the time of the last planned retry of each priority.
	last [Priorities]time.Time
}

// With returns the time for the retry of a request that is refused by a decision, and the plan
// that holds it. The request's random number keeps the retries at several instances apart. The
// time is within the part of the request's time that callers wait.
func (p RetryPlan) With(request Request, decision Decision, room Room, now time.Time) (time.Time, RetryPlan) {
	at := decision.Expected
	if at.IsZero() {
		at = now.Add(unknownRetry)
	}
	at = later(at, now)
	priority := PriorityIndex(request.Priority)
	for _, planned := range p.last[:priority+1] {
		at = later(at, planned)
	}
	// A gap of 0.5 to 1.5 intervals keeps the order and the mean rate.
	at = at.Add(time.Duration(float64(retryInterval(room)) * (0.5 + request.Random)))
	at = earlier(at, now.Add(seconds(max(request.Deadline.Sub(now).Seconds(), 0)*retryShare)))
	p.last[priority] = later(p.last[priority], at)
	return at, p
}

// retryInterval returns the mean time between two retries.
func retryInterval(room Room) time.Duration {
	if room.PerSecond <= 0 || math.IsInf(room.PerSecond, 0) {
		return defaultRetryInterval
	}
	return min(seconds(1/room.PerSecond), time.Second)
}
