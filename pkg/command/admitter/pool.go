package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// pickTries is how often a tier is asked before the next one, when another
// request takes the slot between the choice and the claim.
const pickTries = 3

// ask is what a request asks of an upstream.
type ask struct {
	now time.Time
	// avoid has just failed the request, or is nil.
	avoid *Upstream
	// homes and teamHomes are the regions in which the request may run. An empty
	// list means all.
	homes     []string
	teamHomes []string
	// suspects says that suspect upstreams will do.
	suspects bool
	// roams says that the upstreams of all regions are equally good.
	roams bool
}

// allows says whether the request may run in a region.
func (a ask) allows(region string) bool {
	return allows(a.homes, region) && allows(a.teamHomes, region)
}

func allows(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// sited is an upstream as seen from this instance.
type sited struct {
	*Upstream
	// region is that of the upstream's place.
	region string
	// abroad says that the region is another one than the instance's.
	abroad bool
	// far is the cost of the way, for picker.Keyed.
	far float64
}

var _ picker.Keyed[ask] = (*sited)(nil)

// Usable says whether the upstream may get the request.
func (s *sited) Usable(ask ask) bool {
	if s.Upstream == ask.avoid || !s.hasRoom(ask.now) || !ask.allows(s.region) {
		return false
	}
	switch s.Health() {
	case Live:
		return true
	case Suspect:
		return ask.suspects || s.lapsed(ask.now)
	default:
		return false
	}
}

// Load returns the part of the upstream's slots in use, as far as is known here.
func (s *sited) Load(ask ask) float64 {
	return s.loadAt(ask.now)
}

// Far returns the cost of the way to the upstream.
func (s *sited) Far(ask ask) float64 {
	if ask.roams {
		return 0
	}
	return s.far
}

// Pool is the upstreams that serve one service, nearest first. It is immutable,
// but for the state inside its upstreams.
type Pool struct {
	// tiers are tried one after another. No tier is empty.
	tiers  [][]*sited
	policy picker.Policy[*sited, ask]
}

// view is what a pool is made from, beside its upstreams.
type view struct {
	places declarer.Table[declarer.Place]
	home   string
}

// site returns an upstream as seen from the instance.
func (v view) site(upstream *Upstream) *sited {
	place, _ := v.places.Get(upstream.Declared().Place)
	return &sited{
		Upstream: upstream,
		region:   place.Region,
	}
}

// evacuated says whether nothing new is sent to the place of an upstream.
func (v view) evacuated(upstream *Upstream) bool {
	place, _ := v.places.Get(upstream.Declared().Place)
	return place.Evacuated
}

// newNearest returns a pool in which the nearest upstreams with room come first:
// the own place, the own region, then each latency in turn.
func newNearest(upstreams []*Upstream, view view) *Pool {
	byDistance := map[int][]*sited{}
	from, _ := view.places.Get(view.home)
	for _, upstream := range upstreams {
		if view.evacuated(upstream) {
			continue
		}
		distance := from.Distance(view.places, upstream.Declared().Place)
		byDistance[distance] = append(byDistance[distance], view.site(upstream))
	}
	distances := make([]int, 0, len(byDistance))
	for distance := range byDistance {
		distances = append(distances, distance)
	}
	slices.SortFunc(distances, cmp.Compare[int])
	pool := &Pool{
		policy: picker.PowerOfTwo[*sited, ask]{},
	}
	for _, distance := range distances {
		pool.tiers = append(pool.tiers, byDistance[distance])
	}
	return pool
}

// newKeyed returns a pool in which each key has its own order of all upstreams.
func newKeyed(upstreams []*Upstream, view view, keyed Keyed) *Pool {
	pool := &Pool{
		policy: picker.ByKey[*sited, ask]{
			Choices:    keyed.Choices,
			FreeLoad:   keyed.FreeLoad,
			LoadWeight: keyed.LoadWeight,
		},
	}
	from, _ := view.places.Get(view.home)
	var all []*sited
	for _, upstream := range upstreams {
		if view.evacuated(upstream) {
			continue
		}
		seen := view.site(upstream)
		switch {
		case seen.region != from.Region:
			seen.abroad = true
			seen.far = keyed.OtherRegion
		case upstream.Declared().Place != view.home:
			seen.far = keyed.OtherPlace
		}
		all = append(all, seen)
	}
	if len(all) > 0 {
		pool.tiers = [][]*sited{all}
	}
	return pool
}

// Acquire claims a slot of the best upstream with room and returns it. It passes
// over the upstream to avoid. Suspect upstreams are tried last, leaving ones never.
func (p *Pool) Acquire(random uint64, ask ask) (*Upstream, bool) {
	if p == nil {
		// A service without upstreams.
		return nil, false
	}
	if upstream, found := p.acquire(random, ask); found {
		return upstream, true
	}
	ask.suspects = true
	return p.acquire(random, ask)
}

func (p *Pool) acquire(random uint64, ask ask) (*Upstream, bool) {
	for _, tier := range p.tiers {
		for range pickTries {
			picked, found := p.policy.Pick(tier, random, ask)
			if !found {
				break
			}
			if picked.claim(ask.now) {
				return picked.Upstream, true
			}
		}
	}
	return nil, false
}
