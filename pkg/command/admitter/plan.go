package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

// Plan is all that a request is admitted by: the routing table, this instance's
// parts of the limits, and the upstreams. It is immutable, but for the counters
// inside its limits and upstreams, which live on from plan to plan.
type Plan struct {
	// generation grows by one with each plan of a process.
	generation uint64
	table      *router.Table
	home       string
	// incarnation names the instance when it borrows.
	incarnation string
	// seats are those that the instance holds.
	seats []splitter.Seat
	// desks holds each team's desk under its name, and those of teams that are gone
	// but have lent something.
	desks map[string]*sharer.Desk
	// pools holds the upstreams of each service under its name.
	pools map[string]parted
	// spills holds the spill of each service under its name.
	spills map[string]*spill
	// upstreams holds each upstream under its address and incarnation.
	upstreams map[identity]*Upstream
	// keyed, if not nil, is how upstreams are chosen by the object of a request.
	keyed *Keyed
}

// identity tells upstreams apart that use the same address one after another.
type identity struct {
	address     string
	incarnation string
}

// Keyed says how upstreams are chosen by the object of a request. Its costs are in
// parts of the whole range of picker.ByKey.
type Keyed struct {
	// OtherPlace and OtherRegion are the costs of the way.
	OtherPlace  float64
	OtherRegion float64
	// Choices, FreeLoad and LoadWeight are those of picker.ByKey.
	Choices    int
	FreeLoad   float64
	LoadWeight float64
}

// First returns the plan that precedes all others, in which nothing is declared.
func First(home, incarnation string) *Plan {
	return &Plan{
		home:        home,
		incarnation: incarnation,
		table:       router.New(0, declarer.Set{}),
	}
}

// WithKeyed returns the plan in which upstreams are chosen by the object of a
// request. They are not probed: a suspicion lapses by itself. Teams' limits follow
// Apportion and not the seats. It is called before the first WithTable.
func (p *Plan) WithKeyed(keyed Keyed) *Plan {
	next := *p
	next.generation++
	next.keyed = &keyed
	return &next
}

// WithTable returns the plan that follows when another configuration comes into
// force. Both plans share their desks: parts that become smaller do so at once,
// parts that become larger wait for Confirm. So this is called by one goroutine at
// a time and its result is put in force.
func (p *Plan) WithTable(table *router.Table, now time.Time) *Plan {
	return p.follow(table, p.seats, now)
}

// WithSeats returns the plan that follows when the instance has got or lost seats.
// The same holds as for WithTable.
func (p *Plan) WithSeats(seats []splitter.Seat, now time.Time) *Plan {
	return p.follow(p.table, seats, now)
}

// RevisionNumber returns the plan's generation.
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

// Confirm puts the larger parts in force. It is called once nobody else can still
// use what they take over.
func (p *Plan) Confirm(now time.Time) {
	for _, desk := range p.desks {
		desk.Account.Confirm(now)
	}
}

// Share is what an instance holds of a team's limit.
type Share struct {
	// Part is from 0 to 1. The parts of all instances add up to at most 1.
	Part float64
	// Extra is added to the burst of the part.
	Extra int
}

// Apportion sets this instance's shares of the teams' limits.
func (p *Plan) Apportion(share func(team declarer.Team) Share, now time.Time) {
	for team := range p.table.Set().Teams.All() {
		desk, found := p.desks[team.Name]
		if !found {
			continue
		}
		held := share(team)
		desk.Account.SetOwned(limiter.Limit{
			RatePerSecond: team.RatePerSecond * held.Part,
			Burst:         int(float64(team.Burst)*held.Part) + held.Extra,
		}, now)
		desk.Account.Confirm(now)
	}
}

// Desk returns the desk of a team.
func (p *Plan) Desk(team string) (*sharer.Desk, bool) {
	desk, found := p.desks[team]
	return desk, found
}

// Desks returns the desks of all teams in no order.
func (p *Plan) Desks() []*sharer.Desk {
	desks := make([]*sharer.Desk, 0, len(p.desks))
	for _, desk := range p.desks {
		desks = append(desks, desk)
	}
	return desks
}

// Part returns the part of a team's limit that belongs to seats.
func Part(team declarer.Team, seats ...splitter.Seat) limiter.Limit {
	whole := limiter.Limit{
		RatePerSecond: team.RatePerSecond,
		Burst:         team.Burst,
	}
	var part limiter.Limit
	for _, seat := range seats {
		part = part.Plus(splitter.Part(whole, team.Name, seat.Spread(sharer.PerHolder)))
	}
	return part
}

// Upstreams returns the upstreams of all versions in no order.
func (p *Plan) Upstreams() []*Upstream {
	upstreams := make([]*Upstream, 0, len(p.upstreams))
	for _, upstream := range p.upstreams {
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

func (p *Plan) follow(table *router.Table, seats []splitter.Seat, now time.Time) *Plan {
	set := table.Set()
	next := &Plan{
		generation:  p.generation + 1,
		table:       table,
		home:        p.home,
		incarnation: p.incarnation,
		seats:       seats,
		desks:       p.desksFor(set, seats, now),
		pools:       map[string]parted{},
		upstreams:   map[identity]*Upstream{},
		keyed:       p.keyed,
	}
	for version := range set.Versions.All() {
		for _, declared := range version.Upstreams {
			next.upstreams[identify(declared)] = p.upstream(declared, version.Name, seats, now)
		}
	}
	for service := range set.Services.All() {
		next.pools[service.Name] = next.parted(service)
	}
	next.spills = p.spillsFor(next.pools, now)
	return next
}

// desksFor returns the desks of all teams, which carry on those before.
func (p *Plan) desksFor(set declarer.Set, seats []splitter.Seat, now time.Time) map[string]*sharer.Desk {
	desks := map[string]*sharer.Desk{}
	for team := range set.Teams.All() {
		desk, found := p.desks[team.Name]
		if team.IsUnlimited() {
			continue
		}
		if !found {
			desk = sharer.NewDesk(team.Name, p.incarnation, now)
		}
		if p.keyed == nil {
			desk.Account.SetOwned(Part(team, seats...), now)
		}
		desks[team.Name] = desk
	}
	for name, desk := range p.desks {
		if _, kept := desks[name]; kept {
			continue
		}
		desk.Account.SetOwned(limiter.Limit{}, now)
		if !desk.Account.Idle() {
			desks[name] = desk
		}
	}
	return desks
}

func identify(declared declarer.Upstream) identity {
	return identity{
		address:     declared.Address,
		incarnation: declared.Incarnation,
	}
}

// coldBurst is how many requests a cold upstream gets at once at most, of all
// instances together.
const coldBurst = 4

func (p *Plan) upstream(declared declarer.Upstream, version string, seats []splitter.Seat, now time.Time) *Upstream {
	upstream, found := p.upstreams[identify(declared)]
	switch {
	case !found:
		upstream = newUpstream(declared, version, p.keyed != nil, now)
	case upstream.Declared() != declared || upstream.Version() != version:
		upstream.redeclare(declared, version)
	}
	if limit := coldPart(declared, seats); limit != upstream.cold.Limit() {
		upstream.cold.SetLimit(limit, now)
	}
	return upstream
}

// coldPart returns what the holder of seats may send to an upstream while it is
// cold.
func coldPart(declared declarer.Upstream, seats []splitter.Seat) limiter.Limit {
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
