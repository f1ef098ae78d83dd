package admitter

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// spillStep is by which part of objects a spill changes at once, and SpillEvery
	// the time between two changes: slow enough that only a small part of a region's
	// requests change their region within seconds.
	spillStep  = 0.005
	SpillEvery = 250 * time.Millisecond
	// crowded is the load of the own region's upstreams, in parts of their slots, from
	// which more objects go to others, and relaxed that below which fewer do.
	crowded = 1.0
	relaxed = 0.7
	// spillGain is by how much the others' load is to be lower: the way there costs
	// time.
	spillGain = 0.3
	// spillSettles is how long the first spill follows the upstreams that are
	// registered, while they come up.
	spillSettles = 5 * time.Second
)

// spill is which part of a service's objects may go to the upstreams of all regions
// alike; the others stay in the own region while it has room. It lives on from plan to
// plan. Safe for many goroutines; requests read one atomic.
type spill struct {
	// share is from 0 to 1, as math.Float64bits.
	share atomic.Uint64
	begun time.Time
}

func newSpill(now time.Time) *spill {
	return &spill{
		begun: now,
	}
}

// part returns the part of objects that may go anywhere.
func (s *spill) part() float64 {
	return math.Float64frombits(s.share.Load())
}

func (s *spill) set(share float64) {
	s.share.Store(math.Float64bits(share))
}

// roams says whether an object may go anywhere.
func (s *spill) roams(object uint64) bool {
	if s == nil {
		// A service that is not declared.
		return false
	}
	// Another turn of the bits than that by which moves choose their objects.
	const turn = 29
	return part(bits.RotateLeft64(object, turn)) < s.part()
}

// capacity is what a region has of a service.
type capacity struct {
	upstreams int
	slots     int
}

// firstSpill returns the spill that evens out loads if as many requests come in each
// region. Far is the cost of the way to another region, by which some objects go there
// already: those whose best upstream there beats the best one here by more than that.
func firstSpill(own, others capacity, regions int, far float64) float64 {
	all := own.slots + others.slots
	if own.slots == 0 || others.slots == 0 {
		return 0
	}
	wanted := 1 - float64(own.slots*regions)/float64(all)
	already := goesFar(own.upstreams, others.upstreams, far)
	roaming := float64(others.slots) / float64(all)
	if wanted <= already {
		return 0
	}
	return min((wanted-already)/(roaming-already), 1)
}

// goesFar returns the part of objects whose lowest of so many positions elsewhere is
// lower, by the cost of the way, than their lowest of the own ones.
func goesFar(own, others int, far float64) float64 {
	const steps = 200
	sum := 0.0
	for i := range steps {
		// The lowest of n positions is beyond x with the chance (1-x)^n.
		x := (float64(i) + 0.5) / steps
		density := float64(others) * math.Pow(1-x, float64(others-1))
		sum += density * math.Pow(max(1-x-far, 0), float64(own)) / steps
	}
	return sum
}

// nextSpill returns the spill that follows one, at loads of the own region's upstreams
// and of the others, in parts of their slots.
func nextSpill(share, own, others float64) float64 {
	switch {
	case own > crowded && others < own-spillGain:
		return min(share+spillStep, 1)
	case own < relaxed || others > own+spillGain:
		return max(share-spillStep, 0)
	default:
		return share
	}
}

// AdjustSpills lets the spill of each service follow the loads that are seen. It is
// called each SpillEvery.
func (p *Plan) AdjustSpills(now time.Time) {
	for service, spill := range p.spills {
		pool := p.pools[service].stable
		if pool == nil || now.Sub(spill.begun) < spillSettles {
			continue
		}
		own, others := pool.loads(now)
		spill.set(nextSpill(spill.part(), own, others))
	}
}

// spillsFor returns the spills of all services, which carry on those before.
func (p *Plan) spillsFor(pools map[string]parted, now time.Time) map[string]*spill {
	spills := make(map[string]*spill, len(pools))
	for service, pools := range pools {
		kept, found := p.spills[service]
		if !found {
			kept = newSpill(now)
		}
		if now.Sub(kept.begun) < spillSettles {
			kept.set(pools.stable.firstSpill())
		}
		spills[service] = kept
	}
	return spills
}

// loads returns the loads of the upstreams that take requests, in the own region and in
// the others, in parts of their slots.
func (p *Pool) loads(now time.Time) (own, others float64) {
	var near, far usage
	for _, tier := range p.tiers {
		for _, one := range tier {
			if one.Health() != Live {
				continue
			}
			counted := &near
			if one.abroad {
				counted = &far
			}
			slots := float64(one.declared.Load().Slots)
			counted.slots += slots
			counted.used += slots * one.loadAt(now)
		}
	}
	return near.load(), far.load()
}

// usage is how many slots there are, and how many are in use.
type usage struct {
	slots float64
	used  float64
}

func (u usage) load() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.used / u.slots
}

// firstSpill returns the spill by what the pool's regions have.
func (p *Pool) firstSpill() float64 {
	if p == nil {
		return 0
	}
	var own, others capacity
	far := 0.0
	regions := map[string]bool{}
	for _, tier := range p.tiers {
		for _, one := range tier {
			counted := &own
			if one.abroad {
				counted = &others
				far = one.far
			}
			counted.upstreams++
			counted.slots += one.declared.Load().Slots
			regions[one.region] = true
		}
	}
	return firstSpill(own, others, len(regions), far)
}
