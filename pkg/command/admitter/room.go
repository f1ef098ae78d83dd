package admitter

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// Room is what this instance knows of the upstreams among which a request that finds no slot
// would choose. It is immutable except for the state inside the upstreams.
type Room struct {
	upstreams []*Upstream
	// answer is the expected time to an answer; 0 if it is unknown.
	answer time.Duration
}

// Room returns the upstreams among which Acquire would choose with the same random number,
// whether or not they have room now. The expected time to an answer, which may be 0, says how
// soon slots become free that this instance's own requests hold.
func (a Admission) Room(now time.Time, random uint64, answer time.Duration) Room {
	random, pools, wanted := a.choice(now, random, nil)
	probe := &roomProbe{}
	wanted.probe = probe
	pools.acquire(random, wanted)
	if len(probe.visited) == 0 {
		primary, fallback := pools.poolsForObject(random)
		primary.visitAll(wanted)
		fallback.visitAll(wanted)
	}
	return Room{
		upstreams: probe.visited,
		answer:    answer,
	}
}

// Priority returns the rank of the request: that of its team if the team has one, and else that
// of its route. 0 is the most urgent.
func (a Admission) Priority() int {
	if a.Key != nil && a.Key.Team.Urgent {
		return a.Key.Team.Priority
	}
	return a.Route.Declared.Priority
}

// Objective returns the time until which an answer to the request, which arrived at a time, is
// worth most; zero if the route declares none.
func (a Admission) Objective(arrived time.Time) time.Time {
	objective := a.Route.Declared.ObjectiveMillis
	if objective == 0 {
		return time.Time{}
	}
	return arrived.Add(time.Duration(objective) * time.Millisecond)
}

// Queued returns what the queue of the service needs to know of the request, which arrived at a
// time. The random number spreads the retries of refused requests.
func (a Admission) Queued(arrived time.Time, random float64) scheduler.Request {
	return scheduler.Request{
		Priority:  a.Priority(),
		Team:      a.Team(),
		Arrived:   arrived,
		Objective: a.Objective(arrived),
		Deadline:  a.Deadline,
		Random:    random,
	}
}

// ServiceDeclared reports whether the plan in force declares the request's service.
func (a Admission) ServiceDeclared() bool {
	_, found := a.plans.Load().pools[a.Service]
	return found
}

// Load returns the estimated number of requests at the upstream relative to its slots.
func (u *Upstream) Load(now time.Time) float64 {
	return u.loadAt(now)
}

// choice returns the random number, the pools and the criteria by which an upstream is chosen.
func (a Admission) choice(now time.Time, random uint64, avoid *Upstream) (uint64, versionPools, criteria) {
	if a.objectHash != 0 {
		random = a.objectHash
	}
	plan := a.currentPlan()
	wanted := a.criteriaAt(plan, now, random)
	wanted.avoid = avoid
	return random, plan.pools[a.Service], wanted
}

// roomProbe collects the upstreams that a policy would choose from.
type roomProbe struct {
	visited []*Upstream
}

// visit records an upstream that may serve the request once it has room. It returns false, so
// that the policy chooses none.
func (p *roomProbe) visit(c *candidate, criteria criteria) bool {
	live := c.Health() == Live || c.Health() == Suspect && (criteria.suspectsAllowed || c.suspicionExpired(criteria.now))
	if live && criteria.allowsRegion(c.region) && !slices.Contains(p.visited, c.Upstream) {
		p.visited = append(p.visited, c.Upstream)
	}
	return false
}

// visitAll lets the criteria's probe visit all upstreams of the pool.
func (p *Pool) visitAll(criteria criteria) {
	if p == nil {
		return
	}
	for _, tier := range p.tiers {
		for _, member := range tier {
			criteria.probe.visit(member, criteria)
		}
	}
}

// Expected returns what is expected of the upstreams now.
func (r Room) Expected(now time.Time) scheduler.Room {
	return scheduler.Room{
		At:        r.ReadyAt(now),
		LookAt:    r.lookAt(now),
		PerSecond: r.perSecond(),
		Answer:    r.answer,
	}
}

// ReadyAt returns the earliest time at which one of the upstreams is expected to have a slot
// for the request, now or later; zero if there is none.
func (r Room) ReadyAt(now time.Time) time.Time {
	var earliest time.Time
	for _, upstream := range r.upstreams {
		at, _ := upstream.readyAt(now, r.answer)
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// lookAt returns the earliest time at which one of the upstreams is expected to have a slot
// although this instance has released none there: because of the requests of other instances, a
// rate or a time for a retry. It returns zero if a slot comes only by a release.
func (r Room) lookAt(now time.Time) time.Time {
	var earliest time.Time
	for _, upstream := range r.upstreams {
		at, byRelease := upstream.readyAt(now, r.answer)
		if !byRelease && !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// perSecond returns how many requests a second the upstreams begin while all of their slots
// are in use, for all instances together; 0 if that is unknown.
func (r Room) perSecond() float64 {
	if r.answer <= 0 {
		return 0
	}
	slots := 0
	for _, upstream := range r.upstreams {
		slots += upstream.slots.Limit()
	}
	return float64(slots) / r.answer.Seconds()
}

// Overlaps reports whether an upstream is in both.
func (r Room) Overlaps(other Room) bool {
	return slices.ContainsFunc(r.upstreams, func(upstream *Upstream) bool {
		return slices.Contains(other.upstreams, upstream)
	})
}

// Watch lets the watcher be called whenever a slot of one of the upstreams is released, from
// now on. Watching again has no effect.
func (r Room) Watch(watcher *Watcher) {
	for _, upstream := range r.upstreams {
		upstream.watch(watcher)
	}
}

// loadMargin keeps the expected time from being that at which the load equals the bound, at
// which an upstream gets no request yet.
const loadMargin = time.Millisecond

// readyAt returns when the upstream is expected to have room for a request of this instance:
// a slot, a load below the bound, a token of its cold rate and of its limit, and no time for
// a retry that is still to come. It returns zero if it never has a token. byRelease reports
// that it has none before this instance has released a slot.
func (u *Upstream) readyAt(now time.Time, answer time.Duration) (at time.Time, byRelease bool) {
	at, byRelease = u.loadReadyAt(now, answer)
	if retryAt := u.Advertisement().RetryAt; retryAt.After(at) {
		at = retryAt
	}
	if u.IsCold(now) {
		at = laterToken(at, u.coldBucket.Next(now))
	}
	if u.IsLimited(now) {
		at = laterToken(at, u.limitBucket.Next(now))
	}
	return at, byRelease
}

// laterToken returns the later of a time and that of a token; zero if either is zero.
func laterToken(at, token time.Time) time.Time {
	if token.IsZero() || at.IsZero() {
		return time.Time{}
	}
	if token.After(at) {
		return token
	}
	return at
}

// loadReadyAt returns when this instance is expected to have a slot at the upstream, and the
// load to be below the bound. The requests of other instances are taken to end as their
// estimate decays, and each of this instance's to end within the time of an answer. byRelease
// reports that one of this instance's has to end.
func (u *Upstream) loadReadyAt(now time.Time, answer time.Duration) (at time.Time, byRelease bool) {
	own := u.slots.InUse()
	bound := u.loadBound.value() * float64(u.declared.Load().Slots)
	spare := bound - float64(own)
	if own >= u.slots.Limit() || spare <= 0 {
		return now.Add(answer / time.Duration(max(own, 1))), true
	}
	observation := u.othersRequests.Load()
	if observation == nil {
		return now, false
	}
	others := observation.decayedAt(now)
	if others < spare {
		return now, false
	}
	halfLives := math.Log2(others / spare)
	return now.Add(time.Duration(halfLives*float64(observationHalfLife)) + loadMargin), false
}

// Watcher is told of each release of a slot of the upstreams that it watches. It is called by
// the goroutine that releases the slot.
type Watcher func()

// watch adds a watcher, unless it is there already.
func (u *Upstream) watch(watcher *Watcher) {
	for {
		before := u.watchers.Load()
		var present []*Watcher
		if before != nil {
			present = *before
		}
		if slices.Contains(present, watcher) {
			return
		}
		next := append(slices.Clip(present), watcher)
		if u.watchers.CompareAndSwap(before, &next) {
			return
		}
	}
}

// tellWatchers tells the watchers that a slot has been released.
func (u *Upstream) tellWatchers() {
	watchers := u.watchers.Load()
	if watchers == nil {
		return
	}
	for _, watcher := range *watchers {
		(*watcher)()
	}
}
