package admitter

import "time"

// Placement describes what the choice of an upstream for a request was based on. It is
// immutable.
type Placement struct {
	// Rank is the position of the upstream in the order in which the request's object
	// prefers the upstreams of its service, usable or not. It begins at 1. It is 0 if the
	// request has no object, or the upstream does not belong to the service any more.
	Rank int
	// Load is the estimated number of requests at the upstream relative to its slots. It
	// includes the request that it was chosen for.
	Load float64
	// Copies is the number of upstreams of the region that serve the request's object, and
	// ExpectedTime the expected time to an answer as a multiple of the time of the work at an
	// idle upstream that is as fast as usual. Both are 0 if the number of copies does not
	// follow the room for objects, or the request gains nothing from copies.
	Copies       int
	ExpectedTime float64
	// ChosenAt is when the upstream was chosen, and LoadObservedAt when an answer of the
	// upstream had last told its load, or the zero time if none had.
	ChosenAt       time.Time
	LoadObservedAt time.Time
}

// PlacementAt describes the choice of an upstream that Acquire has returned at the time
// now.
func (a Admission) PlacementAt(upstream *Upstream, now time.Time) Placement {
	placement := Placement{
		Load:     upstream.loadAt(now),
		ChosenAt: now,
	}
	if observation := upstream.othersRequests.Load(); observation != nil {
		placement.LoadObservedAt = observation.observedAt
	}
	if a.objectHash != 0 {
		placement.Rank = a.rankOf(upstream)
	}
	if group := a.groupOf(upstream); group != nil {
		placement.Copies = max(group.copies(a.objectHash), group.needed(a.objectHash, now))
		placement.ExpectedTime = upstream.expectedTimeAt(now)
	}
	return placement
}

// RefusalAt describes the choices of a request that Acquire has refused at the time now: only
// Copies, ExpectedTime, which is the lowest of the copies, and ChosenAt are set.
func (a Admission) RefusalAt(now time.Time) Placement {
	placement := Placement{
		ChosenAt: now,
	}
	plan := a.currentPlan()
	primary, _ := plan.pools[a.Service].poolsForObject(a.objectHash)
	if !a.hasCopies() || primary == nil || len(primary.tiers) == 0 {
		return placement
	}
	wanted := a.criteriaAt(plan, now, a.objectHash)
	if policy, expects := primary.policy.(expecter); expects {
		placement.Copies, placement.ExpectedTime = policy.Expect(primary.tiers[0], a.objectHash, wanted)
	}
	return placement
}

// hasCopies reports whether the request gains from an upstream that has served its object.
func (a Admission) hasCopies() bool {
	return a.objectHash != 0 && a.Route.Declared.Sticky
}

// groupOf returns the group of an upstream of the request's service, or nil if the request has
// no copies, or the upstream no group.
func (a Admission) groupOf(upstream *Upstream) *group {
	if !a.hasCopies() {
		return nil
	}
	pools := a.currentPlan().pools[a.Service]
	for _, pool := range []*Pool{pools.stable, pools.next} {
		if pool == nil {
			continue
		}
		for _, tier := range pool.tiers {
			for _, member := range tier {
				if member.Upstream == upstream {
					return member.group
				}
			}
		}
	}
	return nil
}

// expecter is a policy with copies of each object.
type expecter interface {
	Expect(candidates []*candidate, hash uint64, request criteria) (copies int, expected float64)
}

// rankOf returns the rank of an upstream for the request's object (see Placement.Rank).
func (a Admission) rankOf(upstream *Upstream) int {
	plan := a.currentPlan()
	pools := plan.pools[a.Service]
	wanted := criteria{
		anyRegion: plan.spillovers[a.Service].includes(a.objectHash),
	}
	primary, fallback := pools.poolsForObject(a.objectHash)
	if rank := primary.rankOf(upstream, a.objectHash, wanted); rank > 0 {
		return rank
	}
	return fallback.rankOf(upstream, a.objectHash, wanted)
}

// rankOf returns the rank of an upstream among those of the pool, or 0 if the pool does
// not hold it or has no order of preference for each object.
func (p *Pool) rankOf(upstream *Upstream, objectHash uint64, criteria criteria) int {
	if p == nil || len(p.tiers) == 0 {
		return 0
	}
	policy, ranks := p.policy.(ranker)
	if !ranks {
		return 0
	}
	return policy.Rank(p.tiers[0], objectHash, criteria, func(c *candidate) bool { return c.Upstream == upstream })
}

// ranker is a policy with an order of preference for each object.
type ranker interface {
	Rank(candidates []*candidate, hash uint64, request criteria, wanted func(*candidate) bool) int
}
