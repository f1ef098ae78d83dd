package sharer

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average of the demand. It is
	// shorter than that of package apportioner.
	demandTimeConstant = 500 * time.Millisecond
	// borrowHorizon is how long the borrowed units should last at the present demand.
	borrowHorizon = 250 * time.Millisecond
)

// demand is the exponentially weighted moving average of the rate of requests that an
// instance receives for a resource. It decides how much to borrow, and is separate from
// the demand that package apportioner measures to split limits. It is not safe for
// concurrent use.
type demand struct {
	// perSecond is the average rate, in requests per second.
	perSecond float64
	// lastTotal is the count of requests at observedAt.
	lastTotal  uint64
	observedAt time.Time
}

// observe updates the average from the total number of requests so far.
func (d *demand) observe(total uint64, now time.Time) {
	elapsed := now.Sub(d.observedAt).Seconds()
	if !d.observedAt.IsZero() && elapsed > 0 {
		current := float64(total-d.lastTotal) / elapsed
		weight := 1 - math.Exp(-elapsed/demandTimeConstant.Seconds())
		d.perSecond += weight * (current - d.perSecond)
	}
	d.lastTotal = total
	d.observedAt = now
}

// wantedUnits returns how many borrowed units should be available if the instance's
// own part supplies ownPerSecond units per second.
func (d *demand) wantedUnits(ownPerSecond float64) int {
	return int(max(d.perSecond-ownPerSecond, 0) * borrowHorizon.Seconds())
}
