package admitter

import (
	"sync/atomic"
	"time"
)

// Freshness records when the configuration in force was last confirmed to be the
// newest, either by the store or by a peer that received it from the store. It is safe
// for concurrent use and takes no lock.
type Freshness struct {
	// origin is the zero point of the monotonic time scale.
	origin time.Time
	// confirmed is the time of the latest confirmation, in nanoseconds after origin.
	confirmed atomic.Int64
}

// NewFreshness returns a Freshness whose latest confirmation is now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		origin: now,
	}
}

// Confirm records that the configuration in force was known to be the newest at that
// time. A time before the latest confirmation has no effect.
func (f *Freshness) Confirm(at time.Time) {
	nanos := at.Sub(f.origin).Nanoseconds()
	for {
		known := f.confirmed.Load()
		if known >= nanos || f.confirmed.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// ConfirmedAt returns the time of the latest confirmation.
func (f *Freshness) ConfirmedAt() time.Time {
	return f.origin.Add(time.Duration(f.confirmed.Load()))
}
