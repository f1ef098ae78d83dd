// Package limiter holds the limits on the path of a request: a rate with a
// burst, and a number of slots. Both are a few atomics and take no lock.
package limiter

import (
	"math"
	"sync/atomic"
	"time"
)

// retired marks a bucket that a successor has replaced.
const retired = math.MinInt64

// Bucket admits requests by the generic cell rate algorithm (ITU-T I.371).
//
// Invariant: over any interval of length t it admits at most
// RatePerSecond·t + Burst requests, together with all its successors as long as
// the limit is the same.
type Bucket struct {
	limit Limit
	// origin is the start of the time scale. Instants are measured from it by the
	// monotonic clock, so that a jump of the wall clock admits nothing.
	origin time.Time
	// arrival is the theoretical arrival time of the next request, in nanoseconds
	// after origin, or retired.
	arrival atomic.Int64
	// successor is set before the bucket is retired.
	successor atomic.Pointer[Bucket]
}

// NewBucket returns an empty bucket: it admits the first request after one
// interval of its rate. An instance that starts cannot know what its
// predecessor has used, so a bucket never starts full.
func NewBucket(limit Limit, now time.Time) *Bucket {
	bucket := &Bucket{
		limit:  limit,
		origin: now,
	}
	if !limit.IsZero() {
		bucket.arrival.Store(limit.tolerance())
	}
	return bucket
}

// Limit returns the limit of the bucket.
func (b *Bucket) Limit() Limit {
	return b.limit
}

// Take admits one request or says when the next may be admitted. The zero time
// says never.
func (b *Bucket) Take(now time.Time) (time.Time, bool) {
	if next := b.successor.Load(); next != nil {
		return next.Take(now)
	}
	if b.limit.IsZero() {
		return time.Time{}, false
	}
	interval := b.limit.interval()
	tolerance := b.limit.tolerance()
	at := now.Sub(b.origin).Nanoseconds()
	for {
		arrival := b.arrival.Load()
		if arrival == retired {
			return b.successor.Load().Take(now)
		}
		following := max(arrival, at) + interval
		if wait := following - at - tolerance; wait > 0 {
			return now.Add(time.Duration(wait)), false
		}
		if b.arrival.CompareAndSwap(arrival, following) {
			return time.Time{}, true
		}
	}
}

// Refund gives back the last request taken, which must be proved not to have
// run.
func (b *Bucket) Refund() {
	if next := b.successor.Load(); next != nil {
		next.Refund()
		return
	}
	if b.limit.IsZero() {
		return
	}
	interval := b.limit.interval()
	for {
		arrival := b.arrival.Load()
		if arrival == retired {
			b.successor.Load().Refund()
			return
		}
		if b.arrival.CompareAndSwap(arrival, arrival-interval) {
			return
		}
	}
}

// Succeed replaces the bucket by one with another limit and returns that. What
// the bucket had left is carried over, up to the new burst. Requests that still
// hold the old bucket are passed on. Called by one goroutine at a time.
func (b *Bucket) Succeed(limit Limit, now time.Time) *Bucket {
	next := NewBucket(limit, now)
	b.successor.Store(next)
	left := b.retire(now)
	next.credit(left)
	return next
}

// retire ends the bucket and returns how many requests it would still have
// admitted at once.
func (b *Bucket) retire(now time.Time) float64 {
	arrival := b.arrival.Swap(retired)
	if b.limit.IsZero() {
		return 0
	}
	at := now.Sub(b.origin).Nanoseconds()
	ahead := max(arrival-at, 0)
	left := float64(b.limit.tolerance()-ahead) / float64(b.limit.interval())
	return min(max(left, 0), float64(b.limit.Burst))
}

// credit lets an empty bucket admit that many requests at once, up to its burst.
func (b *Bucket) credit(requests float64) {
	if b.limit.IsZero() {
		return
	}
	requests = math.Floor(min(requests, float64(b.limit.Burst)))
	b.arrival.Add(-int64(requests) * b.limit.interval())
}
