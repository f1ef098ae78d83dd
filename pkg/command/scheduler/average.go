package scheduler

import (
	"sync/atomic"
	"time"
)

const (
	// averageWeight is the weight of a new duration, one in so many.
	averageWeight = 8
)

// Average is the exponentially weighted mean of how long answers take. It is safe for
// concurrent use and takes no lock.
type Average struct {
	// nanos is the mean in nanoseconds; 0 before the first duration.
	nanos atomic.Int64
}

// Record counts a duration.
func (a *Average) Record(took time.Duration) {
	for {
		before := a.nanos.Load()
		after := before + (int64(took)-before)/averageWeight
		if before == 0 {
			after = max(int64(took), 1)
		}
		if a.nanos.CompareAndSwap(before, after) {
			return
		}
	}
}

// Value returns the mean, or 0 if nothing has been counted.
func (a *Average) Value() time.Duration {
	return time.Duration(a.nanos.Load())
}
