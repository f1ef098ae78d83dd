package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/balancer"
)

// Room is what a service has in each region and what this instance's requests take of it. It is
// immutable.
type Room struct {
	Service string
	// Slots is the number of slots of the live upstreams, by region.
	Slots map[string]float64
	// Requests is the number of attempts to send a request so far, and InUse the number of
	// slots that this instance's requests take.
	Requests uint64
	InUse    float64
	// Fraction is the part of the objects that may go to all regions equally.
	Fraction float64
	// own and others are the live upstreams of the local region and of all others.
	own    capacity
	others capacity
	// distanceCost is the cost of an upstream in another region.
	distanceCost float64
}

// ForBalancer returns the room in the form that package balancer decides on.
func (r Room) ForBalancer() balancer.Service {
	return balancer.Service{
		Name:        r.Service,
		Slots:       r.Slots,
		Requests:    r.Requests,
		Fraction:    r.Fraction,
		FractionFor: r.FractionFor,
	}
}

// FractionFor returns the part of the objects that must go to all regions equally so that as
// many requests run in other regions as if a part of all requests were spread over all slots.
// It takes into account the objects that prefer another region without that. While one side has
// no upstreams the part stays as it is, because it has no effect.
func (r Room) FractionFor(roaming float64) float64 {
	if r.own.slots == 0 || r.others.slots == 0 {
		return r.Fraction
	}
	return spillFor(roaming*spilledFraction(r.own, r.others), r.own, r.others, r.distanceCost)
}

// Rooms returns the room of each service, in no particular order.
func (p *Plan) Rooms() []Room {
	rooms := make([]Room, 0, len(p.spillovers))
	for service, spillover := range p.spillovers {
		room := Room{
			Service:  service,
			Slots:    map[string]float64{},
			Requests: spillover.requests.Load(),
			Fraction: spillover.fraction(),
		}
		room.addPool(p.pools[service].stable)
		room.addPool(p.pools[service].next)
		rooms = append(rooms, room)
	}
	return rooms
}

// addPool counts the live upstreams of a pool, which may be nil.
func (r *Room) addPool(pool *Pool) {
	if pool == nil {
		return
	}
	for _, tier := range pool.tiers {
		for _, member := range tier {
			r.InUse += float64(member.slots.InUse())
			if member.Health() != Live {
				continue
			}
			slots := member.declared.Load().Slots
			r.Slots[member.region] += float64(slots)
			group := &r.own
			if member.remote {
				group = &r.others
				r.distanceCost = member.distanceCost
			}
			group.upstreams++
			group.slots += slots
		}
	}
}

// SetSpillover replaces the part of a service's objects that may go to all regions equally, in
// a plan whose Affinity is Balanced.
func (p *Plan) SetSpillover(service string, fraction float64) {
	if spillover, found := p.spillovers[service]; found {
		spillover.setFraction(fraction)
	}
}

// isSettling reports whether the fraction still follows the registered upstreams. In a balanced
// plan it does so only until the first request: later changes must be bounded.
func (s *spillover) isSettling(now time.Time) bool {
	if s.balanced && s.requests.Load() > 0 {
		return false
	}
	return now.Sub(s.createdAt) < spilloverSettleTime
}

// choose counts a request in a balanced plan, and reports whether its object may go to the
// upstreams of all regions equally.
func (s *spillover) choose(objectHash uint64) bool {
	if s != nil && s.balanced {
		s.requests.Add(1)
	}
	return s.includes(objectHash)
}
