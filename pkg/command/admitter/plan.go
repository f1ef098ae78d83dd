package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/hasher"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

// Plan holds everything that the admission of a request depends on: the routing table,
// this instance's parts of the limits, and the upstreams. It is immutable except for
// the counters inside its limits and upstreams, which successive plans share.
type Plan struct {
	// generation increases by one with each plan of a process.
	generation uint64
	// table is the routing table.
	table *router.Table
	// home is the name of the instance's failure domain.
	home string
	// salt differs between instances (see picker.Copies).
	salt uint64
	// borrower numbers the asks of all limiters of the instance.
	borrower *sharer.Borrower
	// seats are the seats that the instance holds.
	seats []splitter.Seat
	// limiters holds the rate limiter of each limited team, by the team's name. It keeps
	// the retired ones of other teams that still have loans outstanding.
	limiters map[string]*sharer.Limiter
	// pools holds the upstreams of each service, by the service's name.
	pools map[string]versionPools
	// spillovers holds the spillover of each service, by the service's name.
	spillovers map[string]*spillover
	// loadBounds holds the load bound of each service that has a version, by the service's
	// name.
	loadBounds map[string]*loadBound
	// upstreams holds each upstream, by its address and incarnation.
	upstreams map[upstreamID]*Upstream
	// caches holds how many objects the upstreams of each service in each region serve. It is
	// nil if the number of copies does not follow that.
	caches map[CacheID]*cache
	// workTimes holds the work time of each service, by the service's name. It is nil if caches
	// is.
	workTimes map[string]*workTime
	// departed holds the upstreams that are not declared any more, for departedRetention.
	departed map[upstreamID]departedUpstream
	// affinity configures the choice of upstreams by the object of a request. If it is
	// nil, the nearest upstreams are preferred.
	affinity *Affinity
}

// upstreamID identifies an upstream. The incarnation distinguishes upstreams that use
// the same address one after another.
type upstreamID struct {
	address     string
	incarnation string
}

// Affinity configures the choice of upstreams by the object of a request. Its costs are
// fractions of the hash range of picker.Rendezvous.
type Affinity struct {
	// OtherPlace is the cost of an upstream in another failure domain of the same
	// region, and OtherRegion that of an upstream in another region.
	OtherPlace  float64
	OtherRegion float64
	// Choices, FreeLoad and LoadWeight are the parameters of picker.Rendezvous.
	Choices    int
	FreeLoad   float64
	LoadWeight float64
	// Balanced says that SetSpillover sets the spillovers instead of AdjustSpillovers.
	Balanced bool
	// ObjectsPerUpstream is the number of objects that an upstream keeps, so that it serves
	// them faster. If it is not 0, each object has as many choices in its region as the
	// upstreams there have room for, at most MaxCopies, instead of Choices among the upstreams
	// of all regions.
	ObjectsPerUpstream int
	MaxCopies          int
	// CountedObjects is the number of counters for popular objects of each service and region.
	CountedObjects int
}

// InitialPlan returns the initial plan, in which nothing is declared. Home is the name
// of the instance's failure domain. An instance has one initial plan for its incarnation,
// because its successors number the instance's asks for units.
func InitialPlan(home, incarnation string) *Plan {
	return &Plan{
		home:     home,
		salt:     hasher.Sum(incarnation),
		borrower: sharer.NewBorrower(incarnation),
		table:    router.New(0, declarer.Set{}),
	}
}

// WithAffinity returns a plan in which upstreams are chosen by the object of a request.
// Its upstreams are not probed, so a suspicion expires after a time. Its teams' limits
// are set by Apportion and do not depend on the seats. WithAffinity must be called before
// the first WithTable.
func (p *Plan) WithAffinity(affinity Affinity) *Plan {
	next := *p
	next.generation++
	next.affinity = &affinity
	return &next
}

// WithTable returns the plan that follows p when another configuration comes into
// force. Both plans share the teams' limiters: a part that becomes smaller does so at
// once, and a part that becomes larger waits for Confirm. Therefore only one goroutine
// at a time may call WithTable, and it must put the result in force.
func (p *Plan) WithTable(table *router.Table, now time.Time) *Plan {
	return p.successor(table, p.seats, now)
}

// WithSeats returns the plan that follows p when the instance has gained or lost
// seats. The rules of WithTable apply.
func (p *Plan) WithSeats(seats []splitter.Seat, now time.Time) *Plan {
	return p.successor(p.table, seats, now)
}

// RevisionNumber returns the plan's generation, by which holder.Cell tells newer plans
// from older ones. The revision of the configuration is Table().RevisionNumber().
func (p Plan) RevisionNumber() uint64 {
	return p.generation
}

// Table returns the routing table.
func (p *Plan) Table() *router.Table {
	return p.table
}

// Seats returns the seats that the instance holds.
func (p *Plan) Seats() []splitter.Seat {
	return p.seats
}

// Confirm lets this instance use the parts that have become larger. It must be called
// only when no other instance can still use what those parts have gained.
func (p *Plan) Confirm(now time.Time) {
	for _, teamLimiter := range p.limiters {
		teamLimiter.Account.Confirm(now)
	}
}

// Share says which part of a team's limit an instance may use.
type Share struct {
	// Fraction is the fraction of the team's rate and burst, from 0 to 1. The fractions
	// of all instances add up to at most 1.
	Fraction float64
	// ExtraBurst is the number of requests that are added to the instance's part of the
	// burst.
	ExtraBurst int
	// Until is the time until which the instance may use the part; zero if that has no end.
	Until time.Time
}

// Apportion sets this instance's parts of the teams' limits, and puts them in force at
// once. The function shareOf returns the part of a team's limit.
func (p *Plan) Apportion(shareOf func(team declarer.Team) Share, now time.Time) {
	for team := range p.table.Set().Teams.All() {
		teamLimiter, found := p.limiters[team.Name]
		if !found {
			continue
		}
		share := shareOf(team)
		if !share.Until.IsZero() {
			teamLimiter.Bucket.SetDeadline(share.Until)
		}
		teamLimiter.Account.SetOwned(limiter.Limit{
			RatePerSecond: team.RatePerSecond * share.Fraction,
			Burst:         int(float64(team.Burst)*share.Fraction) + share.ExtraBurst,
		}, now)
		teamLimiter.Account.Confirm(now)
	}
}

// Limiter returns the limiter of a team's rate at this instance, or false if the team is
// unlimited or not declared.
func (p *Plan) Limiter(team string) (*sharer.Limiter, bool) {
	teamLimiter, found := p.limiters[team]
	return teamLimiter, found
}

// Limiters returns the limiters of all teams in no particular order.
func (p *Plan) Limiters() []*sharer.Limiter {
	limiters := make([]*sharer.Limiter, 0, len(p.limiters))
	for _, teamLimiter := range p.limiters {
		limiters = append(limiters, teamLimiter)
	}
	return limiters
}

// SeatLimit returns the part of a team's limit that the holder of the given seats may
// use.
func SeatLimit(team declarer.Team, seats ...splitter.Seat) limiter.Limit {
	whole := limiter.Limit{
		RatePerSecond: team.RatePerSecond,
		Burst:         team.Burst,
	}
	var part limiter.Limit
	for _, seat := range seats {
		part = part.Plus(splitter.Part(whole, team.Name, seat.WithMinBurst(sharer.MinHolderBurst)))
	}
	return part
}

// Upstreams returns the upstreams of all versions in no particular order.
func (p *Plan) Upstreams() []*Upstream {
	upstreams := make([]*Upstream, 0, len(p.upstreams))
	for _, upstream := range p.upstreams {
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

// successor returns the plan that follows p with another table or other seats. Teams,
// services and upstreams that remain keep their state.
func (p *Plan) successor(table *router.Table, seats []splitter.Seat, now time.Time) *Plan {
	set := table.Set()
	next := &Plan{
		generation: p.generation + 1,
		table:      table,
		home:       p.home,
		salt:       p.salt,
		borrower:   p.borrower,
		seats:      seats,
		limiters:   p.limitersFor(set, seats, now),
		pools:      map[string]versionPools{},
		loadBounds: map[string]*loadBound{},
		upstreams:  map[upstreamID]*Upstream{},
		affinity:   p.affinity,
	}
	for version := range set.Versions.All() {
		bound := p.loadBoundFor(version.Service, next.loadBounds)
		next.loadBounds[version.Service] = bound
		for _, declared := range version.Upstreams {
			next.upstreams[idOf(declared)] = p.upstreamFor(declared, version.Name, bound, seats, now)
		}
	}
	next.caches = p.cachesFor(set, now)
	next.workTimes = p.workTimesFor(set)
	next.departed = p.departedAfter(next.upstreams, now)
	for service := range set.Services.All() {
		next.pools[service.Name] = next.poolsFor(service)
	}
	next.spillovers = p.spilloversFor(next.pools, now)
	return next
}

// limitersFor returns the limiters of all limited teams. A team that remains keeps the
// limiter that it has. The limiter of a team that is removed or unlimited now is retired, which
// answers the requests that wait at it, and is kept until it is idle.
func (p *Plan) limitersFor(set declarer.Set, seats []splitter.Seat, now time.Time) map[string]*sharer.Limiter {
	limiters := map[string]*sharer.Limiter{}
	for team := range set.Teams.All() {
		teamLimiter, found := p.limiters[team.Name]
		if team.IsUnlimited() {
			continue
		}
		if !found {
			teamLimiter = sharer.NewLimiter(team.Name, p.borrower, now)
		}
		teamLimiter.Resume()
		if p.affinity == nil {
			teamLimiter.Account.SetOwned(SeatLimit(team, seats...), now)
		}
		limiters[team.Name] = teamLimiter
	}
	for name, teamLimiter := range p.limiters {
		if _, kept := limiters[name]; kept {
			continue
		}
		teamLimiter.Account.SetOwned(limiter.Limit{}, now)
		if _, declared := set.Teams.Get(name); declared {
			teamLimiter.Lift()
		} else {
			teamLimiter.Remove()
		}
		if !teamLimiter.Account.Idle() {
			limiters[name] = teamLimiter
		}
	}
	return limiters
}

// loadBoundFor returns the load bound of a service: the one in p, or the one that another
// version of the service has got in the next plan, or that of its departed upstreams, or a new
// one.
func (p *Plan) loadBoundFor(service string, next map[string]*loadBound) *loadBound {
	if bound, found := p.loadBounds[service]; found {
		return bound
	}
	if bound, found := next[service]; found {
		return bound
	}
	if bound, found := p.departedBound(service); found {
		return bound
	}
	return newLoadBound()
}

// idOf returns the ID of a declared upstream.
func idOf(declared declarer.Upstream) upstreamID {
	return upstreamID{
		address:     declared.Address,
		incarnation: declared.Incarnation,
	}
}

// coldBurst is the maximum number of requests that all instances together send to a
// cold upstream at once.
const coldBurst = 4

// upstreamFor returns the state of a declared upstream. It reuses the state of the
// upstream with the same ID in p, if there is one, also of one that has departed.
func (p *Plan) upstreamFor(
	declared declarer.Upstream,
	version string,
	bound *loadBound,
	seats []splitter.Seat,
	now time.Time,
) *Upstream {
	upstream, found := p.upstreams[idOf(declared)]
	departed, returned := p.departed[idOf(declared)]
	switch {
	case !found && returned:
		upstream = departed.upstream
		upstream.applyReturn(declared, version)
	case !found:
		upstream = newUpstream(declared, version, bound, p.affinity != nil, now)
	case upstream.Declared() != declared || upstream.Version() != version:
		upstream.applyDeclaration(declared, version)
	}
	if limit := coldLimit(declared, seats); limit != upstream.coldBucket.Limit() {
		upstream.coldBucket.SetLimit(limit, now)
	}
	return upstream
}

// coldLimit returns the limit on the requests that the holder of the given seats may
// send to an upstream while it is cold. It is the zero Limit if no such rate is
// declared; the upstream is then never cold (see IsCold).
func coldLimit(declared declarer.Upstream, seats []splitter.Seat) limiter.Limit {
	var part limiter.Limit
	if declared.ColdPerSecond == 0 {
		return part
	}
	whole := limiter.Limit{
		RatePerSecond: declared.ColdPerSecond,
		Burst:         coldBurst,
	}
	for _, seat := range seats {
		part = part.Plus(splitter.Part(whole, declared.Name, seat))
	}
	return part
}
