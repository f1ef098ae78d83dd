// Package stamper orders events of many processes by a hybrid logical clock
// (Kulkarni et al., Logical Physical Clocks, 2014).
package stamper

import (
	"sync/atomic"
	"time"
)

// Stamp is a point in causal order. Its upper 48 bits are milliseconds since
// the Unix epoch, its lower 16 bits a counter.
type Stamp uint64

const (
	// counterBits is the width of a stamp's counter.
	counterBits = 16
	// MaxAheadMillis is how far an observed stamp may lead the local wall clock,
	// in milliseconds. A stamp further ahead is not taken over, so that one
	// instance with a broken clock cannot drag the others along.
	MaxAheadMillis = 60_000
)

// At returns the first stamp of an instant.
func At(instant time.Time) Stamp {
	return Stamp(uint64(instant.UnixMilli()) << counterBits)
}

// Time returns the wall-clock part, to the millisecond.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits)).UTC()
}

// Clock gives out stamps. Safe for many goroutines; takes no lock.
//
// Invariant: each stamp is higher than all given out or observed before.
type Clock struct {
	now  func() time.Time
	last atomic.Uint64
}

// New returns a clock over the given wall clock.
func New(now func() time.Time) *Clock {
	return &Clock{
		now: now,
	}
}

// Next returns a new stamp.
func (c *Clock) Next() Stamp {
	wall := uint64(At(c.now()))
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe takes a stamp of another process into account, so that every later
// Next is higher. It says whether the stamp was near enough to be taken.
func (c *Clock) Observe(seen Stamp) bool {
	limit := uint64(At(c.now().Add(MaxAheadMillis * time.Millisecond)))
	if uint64(seen) > limit {
		return false
	}
	for {
		last := c.last.Load()
		if uint64(seen) <= last {
			return true
		}
		if c.last.CompareAndSwap(last, uint64(seen)) {
			return true
		}
	}
}
