// Package timestamper gives the events of many processes timestamps in causal order, by a
// hybrid logical clock (Kulkarni et al., Logical Physical Clocks, 2014).
package timestamper

import (
	"sync/atomic"
	"time"
)

// Timestamp is a timestamp of the hybrid logical clock. Its upper 48 bits are
// milliseconds since the Unix epoch, its lower 16 bits are a counter. If one event can
// have caused another, its stamp is the lower one.
type Timestamp uint64

const (
	// counterBits is the width of a stamp's counter, in bits.
	counterBits = 16
	// MaxAheadMillis is how far an observed stamp may be ahead of the local wall clock,
	// in milliseconds. A stamp further ahead is ignored, so that one instance with a
	// broken clock cannot advance the clocks of the others.
	MaxAheadMillis = 60_000
)

// FromTime returns the lowest stamp of the millisecond of an instant.
func FromTime(instant time.Time) Timestamp {
	return Timestamp(uint64(instant.UnixMilli()) << counterBits)
}

// Time returns the wall-clock part of the stamp in UTC, to the millisecond.
func (t Timestamp) Time() time.Time {
	return time.UnixMilli(int64(t >> counterBits)).UTC()
}

// Clock is the hybrid logical clock of one process. It is safe for many goroutines and
// takes no lock.
//
// Invariant: each stamp that Next returns is higher than all that the clock has
// returned or taken over before.
type Clock struct {
	now func() time.Time
	// last is the highest stamp that was returned or taken over; zero before the first.
	last atomic.Uint64
}

// New returns a clock that reads the wall clock with now.
func New(now func() time.Time) *Clock {
	return &Clock{
		now: now,
	}
}

// Next returns a new stamp.
func (c *Clock) Next() Timestamp {
	wall := uint64(FromTime(c.now()))
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe takes over a stamp of another process, so that every stamp that Next returns
// from then on is higher. It reports false, and ignores the stamp, if the stamp is more
// than MaxAheadMillis ahead.
func (c *Clock) Observe(observed Timestamp) bool {
	limit := uint64(FromTime(c.now().Add(MaxAheadMillis * time.Millisecond)))
	if uint64(observed) > limit {
		return false
	}
	for {
		last := c.last.Load()
		if uint64(observed) <= last {
			return true
		}
		if c.last.CompareAndSwap(last, uint64(observed)) {
			return true
		}
	}
}
