// Package limiter provides the limits on the path of a request: Bucket limits a rate
// with a burst, and Slots limits the number of concurrent requests. Both consist of a
// few atomics, and a request takes no lock. Which limit applies, and what happens to a
// request that is not admitted, is decided by the callers.
package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// arrivalReplaced is stored as the arrival time of a state that has been replaced.
const arrivalReplaced = math.MinInt64

// Bucket admits requests by the generic cell rate algorithm (ITU-T I.371). Its
// limit can change while requests are being admitted.
//
// A token admits one request. The bucket's tokens are the requests that it would admit
// at once.
//
// Invariant: while the limit stays the same, the bucket admits at most
// RatePerSecond·t + Burst requests in any interval of length t. The number of tokens
// never exceeds Burst, and a change of the limit adds no token.
type Bucket struct {
	// current is the state under the limit in force; never nil.
	current atomic.Pointer[limitState]
	// lease is the time until which the limit may be used; nil if it has no end.
	lease atomic.Pointer[lease]
	// mu serializes changes of the limit and deposits. Admitting a request does not
	// take it.
	mu sync.Mutex
}

// limitState is the state of a bucket under one limit. A change of the limit replaces it.
type limitState struct {
	limit Limit
	// origin is the zero point of the time scale. Times are measured from it by the
	// monotonic clock, so that a jump of the wall clock does not admit requests.
	origin time.Time
	// arrival is the theoretical arrival time of the next request, in nanoseconds
	// after origin, or arrivalReplaced.
	arrival atomic.Int64
}

// lease is the time until which the limit of a bucket may be used. It is immutable.
type lease struct {
	// until has a reading of the monotonic clock, and wall is the same time by the wall clock.
	// The monotonic clock may stand still while the machine sleeps, and the wall clock may be
	// set back.
	until time.Time
	wall  int64
}

// isOver reports whether the time has passed by either clock.
func (l *lease) isOver(now time.Time) bool {
	return !now.Before(l.until) || now.UnixNano() >= l.wall
}

// SetDeadline sets the time until which the limit may be used. After it the bucket admits
// nothing until a later deadline is set, so that a process that was paused uses nothing that
// others may have taken over. It does not admit more before the deadline.
func (b *Bucket) SetDeadline(deadline time.Time) {
	b.lease.Store(&lease{
		until: deadline,
		wall:  deadline.UnixNano(),
	})
}

// NewBucket returns an empty bucket, which admits the first request after one interval
// of its rate. A bucket never starts full, because an instance that starts cannot know
// what its predecessor has used.
func NewBucket(limit Limit, now time.Time) *Bucket {
	bucket := &Bucket{}
	bucket.current.Store(newLimitState(limit, now))
	return bucket
}

// newLimitState returns a state without tokens.
func newLimitState(limit Limit, now time.Time) *limitState {
	state := &limitState{
		limit:  limit,
		origin: now,
	}
	if !limit.IsZero() {
		state.arrival.Store(limit.tolerance())
	}
	return state
}

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit {
	return b.current.Load().limit
}

// Take takes one token and returns true. Without a token it returns false and the time at
// which the next one will be available, or the zero time if the limit admits nothing or its
// deadline has passed.
func (b *Bucket) Take(now time.Time) (time.Time, bool) {
	if lease := b.lease.Load(); lease != nil && lease.isOver(now) {
		return time.Time{}, false
	}
	for {
		retryAt, outcome := b.current.Load().take(now)
		if outcome != replaced {
			return retryAt, outcome == taken
		}
		// The state was replaced. Its successor is already in place.
	}
}

// outcome is the result of limitState.take.
type outcome int

const (
	// taken means that a token was taken.
	taken outcome = iota
	// empty means that there is no token.
	empty
	// replaced means that another state has replaced this one.
	replaced
)

// take takes one token. If there is none, it returns the time at which the next token
// will be available, or the zero time if the limit admits nothing.
func (s *limitState) take(now time.Time) (time.Time, outcome) {
	if s.limit.IsZero() {
		return time.Time{}, empty
	}
	interval := s.limit.interval()
	tolerance := s.limit.tolerance()
	elapsed := now.Sub(s.origin).Nanoseconds()
	for {
		arrival := s.arrival.Load()
		if arrival == arrivalReplaced {
			return time.Time{}, replaced
		}
		next := max(arrival, elapsed) + interval
		if wait := next - elapsed - tolerance; wait > 0 {
			return now.Add(time.Duration(wait)), empty
		}
		if s.arrival.CompareAndSwap(arrival, next) {
			return time.Time{}, taken
		}
	}
}

// Refund puts back one token. The request that took it must be proved not to have run.
func (b *Bucket) Refund() {
	for !b.current.Load().add(1) {
		// The state was replaced. Its successor is already in place.
	}
}

// SetLimit changes the limit. The bucket keeps its tokens, up to the new burst.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.current.Load()
	next := newLimitState(limit, now)
	b.current.Store(next)
	next.add(min(previous.markReplaced(now), float64(limit.Burst)))
}

// Draw takes up to maxTokens whole tokens and returns how many it took.
func (b *Bucket) Draw(maxTokens int, now time.Time) int {
	drawn := 0
	for drawn < maxTokens {
		if _, ok := b.Take(now); !ok {
			break
		}
		drawn++
	}
	return drawn
}

// Deposit adds tokens, up to the burst.
func (b *Bucket) Deposit(tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.current.Load()
	headroom := float64(state.limit.Burst) - state.tokensAt(state.arrival.Load(), now)
	state.add(min(float64(tokens), max(headroom, 0)))
}

// Next returns the time at which the next token will be available, which is now if there
// is one already, or the zero time if the limit admits nothing.
func (b *Bucket) Next(now time.Time) time.Time {
	state := b.current.Load()
	if state.limit.IsZero() {
		return time.Time{}
	}
	missing := 1 - state.tokensAt(state.arrival.Load(), now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing * float64(state.limit.interval())))
}

// Peek returns what Take would return, and takes no token.
func (b *Bucket) Peek(now time.Time) (time.Time, bool) {
	if lease := b.lease.Load(); lease != nil && lease.isOver(now) {
		return time.Time{}, false
	}
	next := b.Next(now)
	if next.IsZero() || next.After(now) {
		return next, false
	}
	return time.Time{}, true
}

// tokensAt returns the number of tokens at the time now, if arrival is the theoretical
// arrival time.
func (s *limitState) tokensAt(arrival int64, now time.Time) float64 {
	if s.limit.IsZero() || arrival == arrivalReplaced {
		return 0
	}
	aheadNanos := max(arrival-now.Sub(s.origin).Nanoseconds(), 0)
	tokens := float64(s.limit.tolerance()-aheadNanos) / float64(s.limit.interval())
	return min(max(tokens, 0), float64(s.limit.Burst))
}

// markReplaced marks the state as replaced and returns the number of its tokens.
func (s *limitState) markReplaced(now time.Time) float64 {
	return s.tokensAt(s.arrival.Swap(arrivalReplaced), now)
}

// add adds tokens, also fractions of one. It returns false if the state was replaced.
func (s *limitState) add(tokens float64) bool {
	if s.limit.IsZero() {
		return s.arrival.Load() != arrivalReplaced
	}
	nanoseconds := int64(tokens * float64(s.limit.interval()))
	for {
		arrival := s.arrival.Load()
		if arrival == arrivalReplaced {
			return false
		}
		if s.arrival.CompareAndSwap(arrival, arrival-nanoseconds) {
			return true
		}
	}
}
