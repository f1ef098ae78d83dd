package admitter

import (
	"cmp"
	"slices"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// pickTries is how often a tier is asked before the next one, when another
// request takes the slot between the choice and the claim.
const pickTries = 3

// Pool is the upstreams of one version, nearest first. It is immutable, but for
// the state inside its upstreams.
type Pool struct {
	// tiers are the own place, the own region, then each latency in turn. No tier
	// is empty.
	tiers  [][]*Upstream
	policy picker.Policy[*Upstream]
}

func newPool(upstreams []*Upstream, places declarer.Table[declarer.Place], home string, policy picker.Policy[*Upstream]) *Pool {
	byDistance := map[int][]*Upstream{}
	from, _ := places.Get(home)
	for _, upstream := range upstreams {
		distance := from.Distance(places, upstream.Declared().Place)
		byDistance[distance] = append(byDistance[distance], upstream)
	}
	distances := make([]int, 0, len(byDistance))
	for distance := range byDistance {
		distances = append(distances, distance)
	}
	slices.SortFunc(distances, cmp.Compare[int])
	pool := &Pool{
		policy: policy,
	}
	for _, distance := range distances {
		pool.tiers = append(pool.tiers, byDistance[distance])
	}
	return pool
}

// Acquire claims a slot of the nearest upstream with room and returns it. It
// passes over avoid, an upstream that has just failed, as long as there is
// another. Suspect upstreams are tried last, leaving ones never.
func (p *Pool) Acquire(random uint64, avoid *Upstream) (*Upstream, bool) {
	for _, tier := range p.tiers {
		for try := range uint64(pickTries) {
			upstream, found := p.policy.Pick(tier, random+try)
			if !found {
				break
			}
			if upstream != avoid && upstream.slots.Acquire() {
				return upstream, true
			}
		}
	}
	return p.acquireSuspect(random, avoid)
}

// acquireSuspect claims a slot of any upstream that is not leaving.
func (p *Pool) acquireSuspect(random uint64, avoid *Upstream) (*Upstream, bool) {
	for _, tier := range p.tiers {
		count := uint64(len(tier))
		for i := range count {
			upstream := tier[(random+i)%count]
			if upstream == avoid || upstream.Health() == Leaving {
				continue
			}
			if upstream.slots.Acquire() {
				return upstream, true
			}
		}
	}
	if avoid != nil && avoid.Health() != Leaving && avoid.slots.Acquire() {
		return avoid, true
	}
	return nil, false
}
