package sharer

import (
	"math"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

const (
	// demandMemory is how far back demand is averaged.
	demandMemory = time.Second
	// headroom is what is wanted beyond the demand, as a factor.
	headroom = 1.08
	// leastDemand is the demand, in requests a second, below which no part is
	// borrowed; single units do.
	leastDemand = 5
	// horizon is how far ahead the demand is to be met, so that a part is borrowed
	// again before the last one ends.
	horizon = 700 * time.Millisecond
	// worthwhile is the smallest shortfall that is worth a loan, as a part of the
	// demand.
	worthwhile = 0.1
)

// Demand averages how many requests a second an instance gets for a resource.
// Used by one goroutine.
type Demand struct {
	perSecond float64
	counted   uint64
	at        time.Time
}

// Observe takes in the count of all requests so far.
func (d *Demand) Observe(counted uint64, now time.Time) {
	elapsed := now.Sub(d.at).Seconds()
	if !d.at.IsZero() && elapsed > 0 {
		fresh := float64(counted-d.counted) / elapsed
		weight := 1 - math.Exp(-elapsed/demandMemory.Seconds())
		d.perSecond += weight * (fresh - d.perSecond)
	}
	d.counted = counted
	d.at = now
}

// PerSecond returns the average.
func (d *Demand) PerSecond() float64 {
	return d.perSecond
}

// Need returns the part of a whole limit that the demand takes up.
func (d *Demand) Need(whole limiter.Limit) limiter.Limit {
	rate := min(d.perSecond*headroom, whole.RatePerSecond)
	if rate <= 0 || whole.RatePerSecond <= 0 {
		return limiter.Limit{}
	}
	return limiter.Limit{
		RatePerSecond: rate,
		Burst:         int(math.Ceil(float64(whole.Burst) * rate / whole.RatePerSecond)),
	}
}

// Shortfall returns the part to borrow now, or zero. ahead is what the instance
// may use at the horizon without it.
func (d *Demand) Shortfall(whole, ahead limiter.Limit) limiter.Limit {
	if d.perSecond < leastDemand {
		return limiter.Limit{}
	}
	short := d.Need(whole).Minus(ahead)
	if short.RatePerSecond < worthwhile*d.perSecond {
		return limiter.Limit{}
	}
	return short.WithBurst(max(short.Burst, 1))
}

// Horizon returns the instant whose limit counts for Shortfall.
func Horizon(now time.Time) time.Time {
	return now.Add(horizon)
}
