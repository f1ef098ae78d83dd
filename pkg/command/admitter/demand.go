package admitter

import (
	"math"
	"time"
)

const (
	// targetUse is the part of an upstream's slots that the requests for one object may take
	// before the object needs another copy.
	targetUse = 0.5
	// demandLifetime is how long demands that a peer has told count.
	demandLifetime = 5 * time.Second
)

// ObjectCount is the number of requests for an object that were sent to the upstreams of one
// service in one region.
type ObjectCount struct {
	// Object is the hash of the object.
	Object   uint64
	Requests uint64
}

// ObjectDemand is the demand for an object at the upstreams of one service in one region.
type ObjectDemand struct {
	// Object is the hash of the object.
	Object uint64
	// PerSecond is the number of requests a second from all instances.
	PerSecond float64
}

// demands holds the demand for the popular objects of a cache. It is immutable.
type demands struct {
	perSecond map[uint64]float64
	until     time.Time
}

// newDemands returns the demands that a peer has told at a time; nil if there are none.
func newDemands(popular []ObjectDemand, now time.Time) *demands {
	if len(popular) == 0 {
		return nil
	}
	told := &demands{
		perSecond: make(map[uint64]float64, len(popular)),
		until:     now.Add(demandLifetime),
	}
	for _, demand := range popular {
		told.perSecond[demand.Object] = demand.PerSecond
	}
	return told
}

// needed returns how many upstreams the demand for the object with a hash needs: its requests
// times their work over what one upstream can spare, at least 1 and at most maxCopies.
func (g *group) needed(objectHash uint64, now time.Time) int {
	told := g.cache.demands.Load()
	if told == nil || !now.Before(told.until) {
		return 1
	}
	perSecond, found := told.perSecond[objectHash]
	spare := g.slots * targetUse
	if !found || spare <= 0 {
		return 1
	}
	upstreams := math.Ceil(perSecond * g.work.seconds() / spare)
	return int(min(max(upstreams, 1), float64(g.maxCopies)))
}
