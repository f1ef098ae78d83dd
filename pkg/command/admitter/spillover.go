package admitter

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// spilloverStep is the fraction of objects by which a spillover changes in one step.
	// The steps are so small and rare that only a small part of a region's requests
	// change their region within seconds.
	spilloverStep = 0.005
	// SpilloverInterval is the interval between two steps.
	SpilloverInterval = 250 * time.Millisecond
	// loadHighWatermark is the load of the local region's upstreams, relative to their
	// slots, above which the spillover grows.
	loadHighWatermark = 1.0
	// loadLowWatermark is the load below which the spillover shrinks.
	loadLowWatermark = 0.7
	// minLoadDifference is the amount by which the load of the other regions must be
	// lower for the spillover to grow, because a request to another region takes longer.
	minLoadDifference = 0.3
	// spilloverSettleTime is how long a new spillover is computed from the registered
	// upstreams instead of the loads, because the upstreams are still starting.
	spilloverSettleTime = 5 * time.Second
)

// spillover holds the fraction of a service's objects whose requests may go to the
// upstreams of all regions equally. A request without an object counts as one object.
// For all other objects distance has its cost, so that they mostly stay in the local
// region while it has free slots. The spillover has an effect only in plans with
// affinity; in others the tiers of a pool decide. Successive plans share it. It is safe
// for concurrent use, and a request reads one atomic.
type spillover struct {
	// fractionBits is the fraction, from 0 to 1, in the form of math.Float64bits.
	fractionBits atomic.Uint64
	// createdAt is the start of spilloverSettleTime.
	createdAt time.Time
	// balanced says that SetSpillover sets the fraction, and that requests are counted for it.
	balanced bool
	// requests is the number of requests so far; 0 if it is not balanced.
	requests atomic.Uint64
}

// newSpillover returns a spillover of 0 that begins to settle now.
func newSpillover(balanced bool, now time.Time) *spillover {
	return &spillover{
		createdAt: now,
		balanced:  balanced,
	}
}

// fraction returns the fraction of objects that may go to all regions equally.
func (s *spillover) fraction() float64 {
	return math.Float64frombits(s.fractionBits.Load())
}

// setFraction replaces the fraction of objects that may go to all regions equally.
func (s *spillover) setFraction(fraction float64) {
	s.fractionBits.Store(math.Float64bits(fraction))
}

// includes reports whether the object with this hash may go to the upstreams of all
// regions equally.
func (s *spillover) includes(objectHash uint64) bool {
	if s == nil {
		// The service is not declared.
		return false
	}
	// Moves choose objects by the unrotated hash. The rotation makes this choice
	// independent of theirs.
	const rotation = 29
	return hashFraction(bits.RotateLeft64(objectHash, rotation)) < s.fraction()
}

// capacity is the capacity of a service in one region or in several.
type capacity struct {
	// upstreams is the number of upstreams.
	upstreams int
	// slots is the number of slots that the upstreams have together.
	slots int
}

// initialSpilloverFraction returns the fraction that balances the loads of all regions if
// each region receives the same number of requests. It takes into account the objects
// that go to another region without spillover: those whose best upstream there is better
// than the best local one by more than distanceCost.
func initialSpilloverFraction(own, others capacity, regionCount int, distanceCost float64) float64 {
	totalSlots := own.slots + others.slots
	if own.slots == 0 || others.slots == 0 {
		return 0
	}
	targetFraction := 1 - float64(own.slots*regionCount)/float64(totalSlots)
	return spillFor(targetFraction, own, others, distanceCost)
}

// spillFor returns the fraction of objects that must spill so that targetFraction of the local
// requests runs in other regions.
func spillFor(targetFraction float64, own, others capacity, distanceCost float64) float64 {
	// baselineFraction is the fraction of the requests that runs there without spillover.
	baselineFraction := crossRegionFraction(own.upstreams, others.upstreams, distanceCost)
	if targetFraction <= baselineFraction {
		return 0
	}
	return min((targetFraction-baselineFraction)/(spilledFraction(own, others)-baselineFraction), 1)
}

// spilledFraction returns the fraction of the spilled requests that runs in other regions if
// they are spread over the slots of all regions.
func spilledFraction(own, others capacity) float64 {
	return float64(others.slots) / float64(own.slots+others.slots)
}

// crossRegionFraction returns the fraction of objects that prefer an upstream in another
// region without spillover. Each object has a random position at every upstream, and
// prefers another region if its lowest position at the others is lower than its lowest
// position at own by more than distanceCost.
func crossRegionFraction(own, others int, distanceCost float64) float64 {
	const steps = 200
	sum := 0.0
	for i := range steps {
		// The lowest of n positions exceeds x with probability (1-x)^n.
		x := (float64(i) + 0.5) / steps
		density := float64(others) * math.Pow(1-x, float64(others-1))
		sum += density * math.Pow(max(1-x-distanceCost, 0), float64(own)) / steps
	}
	return sum
}

// nextSpilloverFraction returns the fraction that follows the given one. The parameters
// own and others are the loads of the local region's upstreams and of all others,
// relative to their slots.
func nextSpilloverFraction(fraction, own, others float64) float64 {
	switch {
	case own > loadHighWatermark && others < own-minLoadDifference:
		return min(fraction+spilloverStep, 1)
	case own < loadLowWatermark || others > own+minLoadDifference:
		return max(fraction-spilloverStep, 0)
	default:
		return fraction
	}
}

// AdjustSpillovers changes the spillover of each service by at most one step, according
// to the observed loads. It must be called every SpilloverInterval. In a balanced plan it does
// nothing.
func (p *Plan) AdjustSpillovers(now time.Time) {
	if p.isBalanced() {
		return
	}
	for service, spillover := range p.spillovers {
		pool := p.pools[service].stable
		if pool == nil || now.Sub(spillover.createdAt) < spilloverSettleTime {
			continue
		}
		own, others := pool.loads(now)
		spillover.setFraction(nextSpilloverFraction(spillover.fraction(), own, others))
	}
}

// spilloversFor returns the spillovers of all services. A service that remains keeps
// the spillover that it has.
func (p *Plan) spilloversFor(pools map[string]versionPools, now time.Time) map[string]*spillover {
	spillovers := make(map[string]*spillover, len(pools))
	for service, servicePools := range pools {
		spillover, found := p.spillovers[service]
		if !found {
			spillover = newSpillover(p.isBalanced(), now)
		}
		if spillover.isSettling(now) {
			spillover.setFraction(servicePools.stable.initialSpilloverFraction())
		}
		spillovers[service] = spillover
	}
	return spillovers
}

// isBalanced reports whether SetSpillover sets the spillovers.
func (p *Plan) isBalanced() bool {
	return p.affinity != nil && p.affinity.Balanced
}

// loads returns the loads of the live upstreams in the local region and in the others,
// relative to their slots.
func (p *Pool) loads(now time.Time) (own, others float64) {
	var ownUsage, othersUsage usage
	for _, tier := range p.tiers {
		for _, member := range tier {
			if member.Health() != Live {
				continue
			}
			group := &ownUsage
			if member.remote {
				group = &othersUsage
			}
			slots := float64(member.declared.Load().Slots)
			group.slots += slots
			group.used += slots * member.meanLoadAt(now)
		}
	}
	return ownUsage.load(), othersUsage.load()
}

// usage holds the slots of a group of upstreams and the estimated number of requests
// there.
type usage struct {
	// slots is the number of slots.
	slots float64
	// used is the estimated number of requests at the upstreams.
	used float64
}

// load returns the usage relative to the slots, or 0 if there are none.
func (u usage) load() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.used / u.slots
}

// initialSpilloverFraction returns the initial fraction for the pool's upstreams.
func (p *Pool) initialSpilloverFraction() float64 {
	if p == nil {
		return 0
	}
	var own, others capacity
	distanceCost := 0.0
	regions := map[string]bool{}
	for _, tier := range p.tiers {
		for _, member := range tier {
			group := &own
			if member.remote {
				group = &others
				distanceCost = member.distanceCost
			}
			group.upstreams++
			group.slots += member.declared.Load().Slots
			regions[member.region] = true
		}
	}
	return initialSpilloverFraction(own, others, len(regions), distanceCost)
}
