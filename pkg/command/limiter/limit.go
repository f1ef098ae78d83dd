package limiter

import (
	"math"
	"time"
)

// maxTolerance bounds the time that a full burst stands for, in nanoseconds, so
// that sums of instants cannot overflow. A slower limit keeps a smaller burst.
const maxTolerance = math.MaxInt64 / 4

// Limit is a rate and a burst. The zero value admits nothing.
type Limit struct {
	// RatePerSecond is the lasting rate, in requests a second; 0 or more.
	RatePerSecond float64
	// Burst is how many requests may come at once; 0 or more.
	Burst int
}

// WithRate returns a copy with another rate.
func (l Limit) WithRate(perSecond float64) Limit {
	l.RatePerSecond = perSecond
	return l
}

// WithBurst returns a copy with another burst.
func (l Limit) WithBurst(burst int) Limit {
	l.Burst = burst
	return l
}

// IsZero says whether the limit admits nothing at all.
func (l Limit) IsZero() bool {
	return l.RatePerSecond <= 0 || l.Burst <= 0
}

// interval is the time between two requests at the lasting rate. It is rounded
// up, so that rounding never admits more.
func (l Limit) interval() int64 {
	nanoseconds := math.Ceil(float64(time.Second) / l.RatePerSecond)
	return int64(min(nanoseconds, maxTolerance))
}

// tolerance is how far the next arrival may lie ahead of now.
func (l Limit) tolerance() int64 {
	interval := l.interval()
	if int64(l.Burst) > maxTolerance/interval {
		return maxTolerance
	}
	return interval * int64(l.Burst)
}

// Plus returns the sum of two limits.
func (l Limit) Plus(other Limit) Limit {
	return Limit{
		RatePerSecond: l.RatePerSecond + other.RatePerSecond,
		Burst:         l.Burst + other.Burst,
	}
}

// Minus returns what is left after another limit is taken away. It is never
// below zero.
func (l Limit) Minus(other Limit) Limit {
	return Limit{
		RatePerSecond: max(l.RatePerSecond-other.RatePerSecond, 0),
		Burst:         max(l.Burst-other.Burst, 0),
	}
}

// Least returns the lower of both rates and of both bursts.
func (l Limit) Least(other Limit) Limit {
	return Limit{
		RatePerSecond: min(l.RatePerSecond, other.RatePerSecond),
		Burst:         min(l.Burst, other.Burst),
	}
}

// Units returns a limit with room for that many requests and no rate.
func (l Limit) Units(requests int) Limit {
	return Limit{
		Burst: requests,
	}
}

// Count returns how many requests the limit has room for.
func (l Limit) Count() int {
	return l.Burst
}
