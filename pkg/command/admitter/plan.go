package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
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
	seat       splitter.Seat
	// buckets holds each team's bucket under its name.
	buckets map[string]*limiter.Bucket
	// pools holds the pool of each service's version under the service's name.
	pools map[string]*Pool
	// upstreams holds each upstream under its address.
	upstreams map[string]*Upstream
}

// First returns the plan that precedes all others, in which nothing is declared.
func First(home string) *Plan {
	return &Plan{
		home:  home,
		table: router.New(0, declarer.Set{}),
	}
}

// WithTable returns the plan that follows when another configuration comes into
// force. The old plan's buckets pass their requests on to the new one's, so this
// is called by one goroutine at a time and its result is put in force.
func (p *Plan) WithTable(table *router.Table, now time.Time) *Plan {
	return p.follow(table, p.seat, now)
}

// WithSeat returns the plan that follows when the instance has got or lost its
// seat. The same holds as for WithTable.
func (p *Plan) WithSeat(seat splitter.Seat, now time.Time) *Plan {
	return p.follow(p.table, seat, now)
}

// RevisionNumber returns the plan's generation.
func (p Plan) RevisionNumber() uint64 {
	return p.generation
}

// Table returns the routing table.
func (p *Plan) Table() *router.Table {
	return p.table
}

// Seat returns the instance's seat.
func (p *Plan) Seat() splitter.Seat {
	return p.seat
}

// Upstreams returns the upstreams of all versions in no order.
func (p *Plan) Upstreams() []*Upstream {
	upstreams := make([]*Upstream, 0, len(p.upstreams))
	for _, upstream := range p.upstreams {
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

func (p *Plan) follow(table *router.Table, seat splitter.Seat, now time.Time) *Plan {
	set := table.Set()
	next := &Plan{
		generation: p.generation + 1,
		table:      table,
		home:       p.home,
		seat:       seat,
		buckets:    map[string]*limiter.Bucket{},
		pools:      map[string]*Pool{},
		upstreams:  map[string]*Upstream{},
	}
	for team := range set.Teams.All() {
		next.buckets[team.Name] = p.bucket(team, seat, now)
	}
	for version := range set.Versions.All() {
		for _, declared := range version.Upstreams {
			next.upstreams[declared.Address] = p.upstream(declared)
		}
	}
	for service := range set.Services.All() {
		next.pools[service.Name] = next.pool(service)
	}
	return next
}

// bucket returns the bucket of a team, which carries on the one before.
func (p *Plan) bucket(team declarer.Team, seat splitter.Seat, now time.Time) *limiter.Bucket {
	whole := limiter.Limit{
		RatePerSecond: team.RatePerSecond,
		Burst:         team.Burst,
	}
	part := splitter.Part(whole, team.Name, seat)
	before, found := p.buckets[team.Name]
	switch {
	case !found:
		return limiter.NewBucket(part, now)
	case before.Limit() == part:
		return before
	default:
		before.SetLimit(part, now)
		return before
	}
}

func (p *Plan) upstream(declared declarer.Upstream) *Upstream {
	before, found := p.upstreams[declared.Address]
	if !found {
		return newUpstream(declared)
	}
	if before.Declared() != declared {
		before.redeclare(declared)
	}
	return before
}

func (p *Plan) pool(service declarer.Service) *Pool {
	set := p.table.Set()
	version, _ := set.Versions.Get(service.Version)
	upstreams := make([]*Upstream, 0, len(version.Upstreams))
	for _, declared := range version.Upstreams {
		upstreams = append(upstreams, p.upstreams[declared.Address])
	}
	return newPool(upstreams, set.Places, p.home, picker.PowerOfTwo[*Upstream]{})
}
