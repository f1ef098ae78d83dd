// Package limiter provides the limits on the path of a request: Bucket limits a rate
// with a burst, and Slots limits the number of concurrent requests. Both consist of a
// few atomics, and a request takes no lock.
package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// retired is the arrival time of a window that has been replaced.
const retired = math.MinInt64

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
	current atomic.Pointer[window]
	// mu serializes changes of the limit and deposits. Admitting a request does not
	// take it.
	mu sync.Mutex
}

// window is the state of a bucket under one limit.
type window struct {
	limit Limit
	// origin is the zero point of the time scale. Times are measured from it by the
	// monotonic clock, so that a jump of the wall clock does not admit requests.
	origin time.Time
	// arrival is the theoretical arrival time of the next request, in nanoseconds
	// after origin, or retired.
	arrival atomic.Int64
}

// NewBucket returns an empty bucket, which admits the first request after one interval
// of its rate. A bucket never starts full, because an instance that starts cannot know
// what its predecessor has used.
func NewBucket(limit Limit, now time.Time) *Bucket {
	bucket := &Bucket{}
	bucket.current.Store(newWindow(limit, now))
	return bucket
}

// newWindow returns a window without tokens.
func newWindow(limit Limit, now time.Time) *window {
	w := &window{
		limit:  limit,
		origin: now,
	}
	if !limit.IsZero() {
		w.arrival.Store(limit.tolerance())
	}
	return w
}

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit {
	return b.current.Load().limit
}

// Take admits one request, or returns the time at which the next may be admitted. The
// zero time means that this is not known.
func (b *Bucket) Take(now time.Time) (time.Time, bool) {
	for {
		retryAt, outcome := b.current.Load().take(now)
		if outcome != replaced {
			return retryAt, outcome == taken
		}
		// The window was replaced. Its successor is already in place.
	}
}

// outcome is the result of one attempt to take a token from a window.
type outcome int

const (
	// taken means that a token was taken.
	taken outcome = iota
	// empty means that the window has no token.
	empty
	// replaced means that another window has replaced this one.
	replaced
)

// take takes one token. If the window is empty, it returns the time at which the next
// token is available, or the zero time if the window admits nothing.
func (w *window) take(now time.Time) (time.Time, outcome) {
	if w.limit.IsZero() {
		return time.Time{}, empty
	}
	interval := w.limit.interval()
	tolerance := w.limit.tolerance()
	elapsed := now.Sub(w.origin).Nanoseconds()
	for {
		arrival := w.arrival.Load()
		if arrival == retired {
			return time.Time{}, replaced
		}
		next := max(arrival, elapsed) + interval
		if wait := next - elapsed - tolerance; wait > 0 {
			return now.Add(time.Duration(wait)), empty
		}
		if w.arrival.CompareAndSwap(arrival, next) {
			return time.Time{}, taken
		}
	}
}

// Refund returns the token of the last request taken. The request must be proved not
// to have run.
func (b *Bucket) Refund() {
	for !b.current.Load().add(1) {
		// The window was replaced. Its successor is already in place.
	}
}

// SetLimit changes the limit. The bucket keeps its tokens, up to the new burst.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.current.Load()
	next := newWindow(limit, now)
	b.current.Store(next)
	next.add(min(previous.retire(now), float64(limit.Burst)))
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
	w := b.current.Load()
	headroom := float64(w.limit.Burst) - w.tokensAt(w.arrival.Load(), now)
	w.add(min(float64(tokens), max(headroom, 0)))
}

// Next returns the time at which the next request would be admitted, or the zero time
// if this is not known.
func (b *Bucket) Next(now time.Time) time.Time {
	w := b.current.Load()
	if w.limit.IsZero() {
		return time.Time{}
	}
	missing := 1 - w.tokensAt(w.arrival.Load(), now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing * float64(w.limit.interval())))
}

// tokensAt returns the number of tokens that the window has if arrival is its state.
func (w *window) tokensAt(arrival int64, now time.Time) float64 {
	if w.limit.IsZero() || arrival == retired {
		return 0
	}
	ahead := max(arrival-now.Sub(w.origin).Nanoseconds(), 0)
	left := float64(w.limit.tolerance()-ahead) / float64(w.limit.interval())
	return min(max(left, 0), float64(w.limit.Burst))
}

// retire marks the window as replaced and returns the number of its tokens.
func (w *window) retire(now time.Time) float64 {
	return w.tokensAt(w.arrival.Swap(retired), now)
}

// add adds tokens, also fractions of one. It returns false if the window was replaced.
func (w *window) add(tokens float64) bool {
	if w.limit.IsZero() {
		return w.arrival.Load() != retired
	}
	nanoseconds := int64(tokens * float64(w.limit.interval()))
	for {
		arrival := w.arrival.Load()
		if arrival == retired {
			return false
		}
		if w.arrival.CompareAndSwap(arrival, arrival-nanoseconds) {
			return true
		}
	}
}
