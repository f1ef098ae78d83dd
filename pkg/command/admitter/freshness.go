package admitter

import (
	"sync/atomic"
	"time"
)

// Freshness knows when the configuration in force was last confirmed to be the
// newest: by the platform, or by a peer that had it from there. Safe for many
// goroutines; takes no lock.
type Freshness struct {
	// origin is the start of the monotonic time scale.
	origin time.Time
	// confirmed is the latest confirmation, in nanoseconds after origin.
	confirmed atomic.Int64
}

// NewFreshness returns a freshness that is confirmed now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		origin: now,
	}
}

// Confirm notes a confirmation. An earlier one than the latest changes nothing.
func (f *Freshness) Confirm(at time.Time) {
	nanos := at.Sub(f.origin).Nanoseconds()
	for {
		known := f.confirmed.Load()
		if known >= nanos || f.confirmed.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// At returns the instant of the latest confirmation.
func (f *Freshness) At() time.Time {
	return f.origin.Add(time.Duration(f.confirmed.Load()))
}
