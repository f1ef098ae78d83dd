package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// maxPickAttempts is how often an upstream is picked from a tier before the next tier
// is tried. An attempt fails if other requests take the upstream's last slot between
// Pick and takeSlot.
const maxPickAttempts = 3

const (
	// waitFreeLoad is the mean load, in requests per slot, from which on requests are expected
	// to wait. Arrivals are random, so some wait long before all slots are taken on average.
	waitFreeLoad = 0.3
	// copiesMargin and copiesSpread are the fields of picker.Copies. Mean loads are some 3 s
	// old when they count, so a lower spread lets objects move back and forth between their
	// copies: 1 gave 0.84 to 0.87 of requests in time with four copies in a simulation in which
	// 3 gave 0.92 to 0.94. Without a margin later copies had to learn 1 in 200 requests more.
	copiesMargin = 0.5
	copiesSpread = 3
)

// criteria describes which upstreams a request may use.
type criteria struct {
	// now is the time of the choice.
	now time.Time
	// avoid is the upstream at which the request has just failed, or nil.
	avoid *Upstream
	// routeRegions and teamRegions are the regions in which the request may run
	// according to its route and its team. An empty list means all.
	routeRegions []string
	teamRegions  []string
	// anyChoice reports that the request gains nothing from an upstream that has served its
	// object before, so that it may use any upstream if the preferred ones have no free
	// slot.
	anyChoice bool
	// limitedSkipped reports that the request looks among the upstreams whose limits have
	// room for it, because none of its choices has.
	limitedSkipped bool
	// suspectsAllowed reports that the request may use suspect upstreams.
	suspectsAllowed bool
	// anyRegion reports that the distance of an upstream costs nothing, because the
	// request is part of the spillover. It has no effect in pools without affinity, nor
	// on routeRegions and teamRegions.
	anyRegion bool
	// probe, if not nil, collects the upstreams that the request would choose from, and none
	// is chosen.
	probe *roomProbe
	// preview reports that the choice is only shown: it takes no slot and counts nothing.
	preview bool
}

// allowsRegion reports whether the request may run in a region.
func (c criteria) allowsRegion(region string) bool {
	return regionAllowed(c.routeRegions, region) && regionAllowed(c.teamRegions, region)
}

// regionAllowed reports whether a list of regions contains a region or is empty.
func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// candidate is an upstream with its position relative to this instance.
type candidate struct {
	*Upstream
	// region is the region of the upstream's failure domain.
	region string
	// remote reports that the region differs from the instance's. It is always false in
	// pools without affinity, so that all their upstreams count as local.
	remote bool
	// distanceCost is the cost of the distance for picker.Hashed.
	distanceCost float64
	// group is the upstreams of the pool in the same region. It is nil in pools without room
	// for objects.
	group *group
}

var _ picker.Hashed[criteria] = (*candidate)(nil)

// Usable reports whether the upstream is eligible, and has a free slot, a load below its
// service's bound and room in its limit. A request that only the limit keeps away counts as
// demand for it.
func (c *candidate) Usable(criteria criteria) bool {
	if criteria.probe != nil {
		return criteria.probe.visit(c, criteria)
	}
	if !c.hasFreeSlot() || !c.loadBound.admits(c.loadAt(criteria.now)) || !c.mayServe(criteria) {
		return false
	}
	if c.admitsLimit(criteria.now) {
		return true
	}
	if !criteria.preview {
		c.limitDemand.Add(1)
	}
	return false
}

// Eligible reports whether the upstream counts among the choices for the request's object:
// whether it may serve the request once a slot is free.
func (c *candidate) Eligible(criteria criteria) bool {
	if criteria.anyChoice && !c.hasFreeSlot() {
		return false
	}
	if criteria.limitedSkipped && !c.admitsLimit(criteria.now) {
		return false
	}
	return c.mayServe(criteria)
}

// mayServe reports whether the upstream is live, not held back by its cold rate or by the time
// at which this instance may retry, lies in an allowed region and is not the one to avoid. A
// suspect upstream may serve as well if suspects are allowed or its suspicion has expired.
func (c *candidate) mayServe(criteria criteria) bool {
	if c.Upstream == criteria.avoid || !c.admitsCold(criteria.now) || !criteria.allowsRegion(c.region) {
		return false
	}
	return c.advertisement.Load().acceptsAt(criteria.now) && c.isHealthyFor(criteria)
}

// isHealthyFor reports whether the upstream's health allows that it serves a request.
func (c *candidate) isHealthyFor(criteria criteria) bool {
	switch c.Health() {
	case Live:
		return true
	case Suspect:
		return criteria.suspectsAllowed || c.suspicionExpired(criteria.now)
	default:
		return false
	}
}

// Load returns the estimated number of requests at the upstream relative to its slots.
func (c *candidate) Load(criteria criteria) float64 {
	return c.meanLoadAt(criteria.now)
}

// DistanceCost returns the cost of the distance to the upstream, or 0 if the request may use
// any region equally.
func (c *candidate) DistanceCost(criteria criteria) float64 {
	if criteria.anyRegion {
		return 0
	}
	return c.distanceCost
}

// Group identifies the upstreams of the same region.
func (c *candidate) Group() int {
	return c.group.number
}

// ExpectedTime returns the expected time to an answer of the upstream: the time of the work and
// of the wait for a slot, as a multiple of the time of the work at an idle upstream that is as
// fast as usual.
func (c *candidate) ExpectedTime(criteria criteria) float64 {
	return c.expectedTimeAt(criteria.now)
}

// Copies returns the number of upstreams of the region that serve the object with a hash, or
// 0 if the request gains nothing from an upstream that has served it before.
func (c *candidate) Copies(criteria criteria, objectHash uint64) int {
	if criteria.anyChoice {
		return 0
	}
	return max(c.group.copies(objectHash), c.group.needed(objectHash, criteria.now))
}

// Needed returns the number of upstreams of the region that the demand for the object with a
// hash needs.
func (c *candidate) Needed(criteria criteria, objectHash uint64) int {
	return c.group.needed(objectHash, criteria.now)
}

// Pool holds upstreams that serve one service, in the order of preference. It is
// immutable except for the state inside its upstreams.
type Pool struct {
	// tiers are groups of equally preferred upstreams and are tried in order. No tier
	// is empty.
	tiers [][]*candidate
	// policy picks an upstream within a tier.
	policy picker.Policy[*candidate, criteria]
}

// topology holds the declared failure domains and the name of the one in which this
// instance runs.
type topology struct {
	// places are all declared failure domains.
	places declarer.Table[declarer.Place]
	// home is the name of the instance's failure domain.
	home string
}

// newCandidate returns a candidate for an upstream, with its region.
func (t topology) newCandidate(upstream *Upstream) *candidate {
	place, _ := t.places.Get(upstream.Declared().Place)
	return &candidate{
		Upstream: upstream,
		region:   place.Region,
	}
}

// isEvacuated reports whether the failure domain of an upstream is evacuated, so that the
// upstream gets no new requests.
func (t topology) isEvacuated(upstream *Upstream) bool {
	place, _ := t.places.Get(upstream.Declared().Place)
	return place.Evacuated
}

// newNearestPool returns a pool that prefers the nearest upstreams with a free slot.
// Its tiers are the instance's failure domain, its region, and then the other regions
// by increasing latency.
func newNearestPool(upstreams []*Upstream, topology topology) *Pool {
	byDistance := map[int][]*candidate{}
	from, _ := topology.places.Get(topology.home)
	for _, upstream := range upstreams {
		if topology.isEvacuated(upstream) {
			continue
		}
		distance := from.Distance(topology.places, upstream.Declared().Place)
		byDistance[distance] = append(byDistance[distance], topology.newCandidate(upstream))
	}
	distances := make([]int, 0, len(byDistance))
	for distance := range byDistance {
		distances = append(distances, distance)
	}
	slices.SortFunc(distances, cmp.Compare[int])
	pool := &Pool{
		policy: picker.PowerOfTwo[*candidate, criteria]{},
	}
	for _, distance := range distances {
		pool.tiers = append(pool.tiers, byDistance[distance])
	}
	return pool
}

// rendezvous returns the policy that chooses among the upstreams of all regions.
func (a Affinity) rendezvous() picker.Rendezvous[*candidate, criteria] {
	return picker.Rendezvous[*candidate, criteria]{
		Choices:    a.Choices,
		FreeLoad:   a.FreeLoad,
		LoadWeight: a.LoadWeight,
	}
}

// newAffinityPool returns a pool with a single tier, in which each object has its own
// order of preference among all upstreams.
func newAffinityPool(upstreams []*Upstream, topology topology, affinity Affinity) *Pool {
	pool := &Pool{
		policy: affinity.rendezvous(),
	}
	from, _ := topology.places.Get(topology.home)
	var all []*candidate
	for _, upstream := range upstreams {
		if topology.isEvacuated(upstream) {
			continue
		}
		located := topology.newCandidate(upstream)
		switch {
		case located.region != from.Region:
			located.remote = true
			located.distanceCost = affinity.OtherRegion
		case upstream.Declared().Place != topology.home:
			located.distanceCost = affinity.OtherPlace
		}
		all = append(all, located)
	}
	if len(all) > 0 {
		pool.tiers = [][]*candidate{all}
	}
	return pool
}

// withCopies returns the pool with a choice among as many upstreams of one region as have
// room for the objects there. The function cacheOf returns the cache of a region.
func (p *Pool) withCopies(
	cacheOf func(region string) *cache,
	work *workTime,
	salt uint64,
	affinity Affinity,
) *Pool {
	for _, tier := range p.tiers {
		groupUpstreams(tier, cacheOf, work, affinity)
	}
	return &Pool{
		tiers: p.tiers,
		policy: picker.Copies[*candidate, criteria]{
			Rendezvous: affinity.rendezvous(),
			Salt:       salt,
			Margin:     copiesMargin,
			Spread:     copiesSpread,
		},
	}
}

// Acquire takes a slot at the most preferred upstream that has one free and returns that
// upstream. It skips the upstream to avoid. If the limits of the preferred upstreams are
// used up, other upstreams are preferred. Suspect upstreams are tried last, and leaving
// ones never. The pool's policy uses hash as its random number.
func (p *Pool) Acquire(hash uint64, criteria criteria) (*Upstream, bool) {
	if p == nil {
		// The service has no upstreams.
		return nil, false
	}
	if upstream, found := p.tryTiers(hash, criteria); found {
		return upstream, true
	}
	if p.hasLimited(criteria.now) {
		criteria.limitedSkipped = true
		if upstream, found := p.tryTiers(hash, criteria); found {
			return upstream, true
		}
	}
	criteria.suspectsAllowed = true
	return p.tryTiers(hash, criteria)
}

// hasLimited reports whether an upstream of the pool states a limit.
func (p *Pool) hasLimited(now time.Time) bool {
	for _, tier := range p.tiers {
		if slices.ContainsFunc(tier, func(c *candidate) bool { return c.IsLimited(now) }) {
			return true
		}
	}
	return false
}

// tryTiers tries the tiers in order until it has taken a slot at a usable upstream.
func (p *Pool) tryTiers(hash uint64, criteria criteria) (*Upstream, bool) {
	for _, tier := range p.tiers {
		for range maxPickAttempts {
			picked, found := p.policy.Pick(tier, hash, criteria)
			if !found {
				break
			}
			if criteria.preview {
				return picked.Upstream, true
			}
			if picked.takeSlot(criteria.now) {
				picked.countObject(hash, criteria)
				return picked.Upstream, true
			}
		}
	}
	return nil, false
}

// nextRetryAt returns the earliest time at which an upstream of the pool that may serve a
// request takes requests from this instance; zero if one does at any time, or there is none.
func (p *Pool) nextRetryAt(criteria criteria) time.Time {
	var earliest time.Time
	if p == nil {
		return earliest
	}
	for _, tier := range p.tiers {
		for _, member := range tier {
			if !criteria.allowsRegion(member.region) || member.Health() == Leaving {
				continue
			}
			retryAt := member.Advertisement().RetryAt
			if retryAt.IsZero() {
				return retryAt
			}
			if earliest.IsZero() || retryAt.Before(earliest) {
				earliest = retryAt
			}
		}
	}
	return earliest
}
