// Package limiter holds the limits on the path of a request: a rate with a
// burst, and a number of slots. Both are a few atomics and take no lock.
package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// retired marks a window that another has replaced.
const retired = math.MinInt64

// Bucket admits requests by the generic cell rate algorithm (ITU-T I.371). Its
// limit can change while requests are being admitted.
//
// Invariant: while the limit stays, over any interval of length t it admits at
// most RatePerSecond·t + Burst requests. What it has in stock never exceeds
// Burst, and a change of limit adds nothing to it.
type Bucket struct {
	current atomic.Pointer[window]
	// changing orders the changes of limit and stock. No request takes it.
	changing sync.Mutex
}

// window is the bucket under one limit.
type window struct {
	limit Limit
	// origin is the start of the time scale. Instants are measured from it by the
	// monotonic clock, so that a jump of the wall clock admits nothing.
	origin time.Time
	// arrival is the theoretical arrival time of the next request, in nanoseconds
	// after origin, or retired.
	arrival atomic.Int64
}

// NewBucket returns an empty bucket: it admits the first request after one
// interval of its rate. An instance that starts cannot know what its
// predecessor has used, so a bucket never starts full.
func NewBucket(limit Limit, now time.Time) *Bucket {
	bucket := &Bucket{}
	bucket.current.Store(newWindow(limit, now))
	return bucket
}

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

// Take admits one request or says when the next may be admitted. The zero time
// says that it is not known.
func (b *Bucket) Take(now time.Time) (time.Time, bool) {
	for {
		retryAt, outcome := b.current.Load().take(now)
		if outcome != replaced {
			return retryAt, outcome == taken
		}
		// The window was replaced, and its successor is in place already.
	}
}

// outcome is what came of one try to take from a window.
type outcome int

const (
	taken outcome = iota
	empty
	replaced
)

func (w *window) take(now time.Time) (time.Time, outcome) {
	if w.limit.IsZero() {
		return time.Time{}, empty
	}
	interval := w.limit.interval()
	tolerance := w.limit.tolerance()
	at := now.Sub(w.origin).Nanoseconds()
	for {
		arrival := w.arrival.Load()
		if arrival == retired {
			return time.Time{}, replaced
		}
		following := max(arrival, at) + interval
		if wait := following - at - tolerance; wait > 0 {
			return now.Add(time.Duration(wait)), empty
		}
		if w.arrival.CompareAndSwap(arrival, following) {
			return time.Time{}, taken
		}
	}
}

// Refund gives back the last request taken, which must be proved not to have
// run.
func (b *Bucket) Refund() {
	for !b.current.Load().add(1) {
		// The window was replaced, and its successor is in place already.
	}
}

// SetLimit changes the limit. What the bucket has in stock is carried over, up to
// the new burst.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	b.changing.Lock()
	defer b.changing.Unlock()
	before := b.current.Load()
	next := newWindow(limit, now)
	b.current.Store(next)
	next.add(min(before.retire(now), float64(limit.Burst)))
}

// Draw takes up to that many whole requests out of the stock and returns how
// many.
func (b *Bucket) Draw(most int, now time.Time) int {
	drawn := 0
	for drawn < most {
		if _, ok := b.Take(now); !ok {
			break
		}
		drawn++
	}
	return drawn
}

// Deposit adds requests to the stock. It never exceeds the burst.
func (b *Bucket) Deposit(requests int, now time.Time) {
	b.changing.Lock()
	defer b.changing.Unlock()
	w := b.current.Load()
	room := float64(w.limit.Burst) - w.stockAt(w.arrival.Load(), now)
	w.add(min(float64(requests), max(room, 0)))
}

// Next returns the instant at which a request would be admitted, or zero if it is
// not known.
func (b *Bucket) Next(now time.Time) time.Time {
	w := b.current.Load()
	if w.limit.IsZero() {
		return time.Time{}
	}
	missing := 1 - w.stockAt(w.arrival.Load(), now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing * float64(w.limit.interval())))
}

// stockAt returns how many requests the window admits at once, if arrival is its
// state.
func (w *window) stockAt(arrival int64, now time.Time) float64 {
	if w.limit.IsZero() || arrival == retired {
		return 0
	}
	ahead := max(arrival-now.Sub(w.origin).Nanoseconds(), 0)
	left := float64(w.limit.tolerance()-ahead) / float64(w.limit.interval())
	return min(max(left, 0), float64(w.limit.Burst))
}

// retire ends a window and returns what it had in stock.
func (w *window) retire(now time.Time) float64 {
	return w.stockAt(w.arrival.Swap(retired), now)
}

// add puts requests, which may be fractions, into the stock. It returns false if
// the window was replaced.
func (w *window) add(requests float64) bool {
	if w.limit.IsZero() {
		return w.arrival.Load() != retired
	}
	nanoseconds := int64(requests * float64(w.limit.interval()))
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
