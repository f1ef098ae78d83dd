package limiter

import (
	"math"
	"time"
)

// maxTolerance limits the time that corresponds to a full burst, in nanoseconds, so
// that sums of times cannot overflow. A limit whose burst corresponds to more has a
// smaller effective burst.
const maxTolerance = math.MaxInt64 / 4

// Limit is a rate and a burst. The zero value admits nothing.
type Limit struct {
	// RatePerSecond is the sustained rate, in requests per second; 0 or more.
	RatePerSecond float64
	// Burst is the number of requests that may arrive at once; 0 or more.
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

// IsZero reports whether the limit admits no request at all.
func (l Limit) IsZero() bool {
	return l.RatePerSecond <= 0 || l.Burst <= 0
}

// interval returns the time between two requests at the sustained rate, in nanoseconds.
// It is rounded up, so that rounding never admits more requests.
func (l Limit) interval() int64 {
	nanoseconds := math.Ceil(float64(time.Second) / l.RatePerSecond)
	return int64(min(nanoseconds, maxTolerance))
}

// tolerance returns how far the theoretical arrival time of the next request may be
// ahead of the present, in nanoseconds.
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

// Minus returns the limit reduced by another one. Neither rate nor burst falls below
// zero.
func (l Limit) Minus(other Limit) Limit {
	return Limit{
		RatePerSecond: max(l.RatePerSecond-other.RatePerSecond, 0),
		Burst:         max(l.Burst-other.Burst, 0),
	}
}

// Min returns the lower of the two rates and the lower of the two bursts.
func (l Limit) Min(other Limit) Limit {
	return Limit{
		RatePerSecond: min(l.RatePerSecond, other.RatePerSecond),
		Burst:         min(l.Burst, other.Burst),
	}
}

// Units returns the limit that stands for that many tokens of a burst: its rate is zero.
// With Minus, Min and Count it makes Limit a sharer.Quantity.
func (l Limit) Units(requests int) Limit {
	return Limit{
		Burst: requests,
	}
}

// Count returns the number of tokens of a full burst.
func (l Limit) Count() int {
	return l.Burst
}
