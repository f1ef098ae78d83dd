package sharer

import (
	"math"
	"time"
)

const (
	// demandMemory is how far back demand is averaged.
	demandMemory = 500 * time.Millisecond
	// aheadOf is for how long the purse is to last.
	aheadOf = 250 * time.Millisecond
)

// demand averages how many requests a second an instance gets for a resource.
// Used by one goroutine.
type demand struct {
	perSecond float64
	counted   uint64
	at        time.Time
}

// observe takes in the count of all requests so far.
func (d *demand) observe(counted uint64, now time.Time) {
	elapsed := now.Sub(d.at).Seconds()
	if !d.at.IsZero() && elapsed > 0 {
		fresh := float64(counted-d.counted) / elapsed
		weight := 1 - math.Exp(-elapsed/demandMemory.Seconds())
		d.perSecond += weight * (fresh - d.perSecond)
	}
	d.counted = counted
	d.at = now
}

// wanted returns how many borrowed units are to be at hand, if the instance gets
// so many a second from its own part.
func (d *demand) wanted(ownPerSecond float64) int {
	return int(max(d.perSecond-ownPerSecond, 0) * aheadOf.Seconds())
}
