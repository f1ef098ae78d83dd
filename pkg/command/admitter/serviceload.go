package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/balancer"
)

// ServiceLoad is what a service has in each region and what this instance's requests take of it. It is
// immutable.
type ServiceLoad struct {
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

// ForBalancer returns the load in the form that package balancer decides on.
func (l ServiceLoad) ForBalancer() balancer.Service {
	return balancer.Service{
		Name:        l.Service,
		Slots:       l.Slots,
		Requests:    l.Requests,
		Fraction:    l.Fraction,
		FractionFor: l.FractionFor,
	}
}

// FractionFor returns the part of the objects that must go to all regions equally so that as
// many requests run in other regions as if a part of all requests were spread over all slots.
// It takes into account the objects that prefer another region without that. While one side has
// no upstreams the part stays as it is, because it has no effect.
func (l ServiceLoad) FractionFor(roaming float64) float64 {
	if l.own.slots == 0 || l.others.slots == 0 {
		return l.Fraction
	}
	return spillFor(roaming*spilledFraction(l.own, l.others), l.own, l.others, l.distanceCost)
}

// ServiceLoads returns the load of each service, in no particular order.
func (p *Plan) ServiceLoads() []ServiceLoad {
	loads := make([]ServiceLoad, 0, len(p.spillovers))
	for service, spillover := range p.spillovers {
		load := ServiceLoad{
			Service:  service,
			Slots:    map[string]float64{},
			Requests: spillover.requests.Load(),
			Fraction: spillover.fraction(),
		}
		load.addPool(p.pools[service].stable)
		load.addPool(p.pools[service].next)
		loads = append(loads, load)
	}
	return loads
}

// addPool counts the live upstreams of a pool, which may be nil.
func (l *ServiceLoad) addPool(pool *Pool) {
	if pool == nil {
		return
	}
	for _, tier := range pool.tiers {
		for _, member := range tier {
			l.InUse += float64(member.slots.InUse())
			if member.Health() != Live {
				continue
			}
			slots := member.declared.Load().Slots
			l.Slots[member.region] += float64(slots)
			group := &l.own
			if member.remote {
				group = &l.others
				l.distanceCost = member.distanceCost
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

// countRequest counts a request in a balanced plan.
func (s *spillover) countRequest() {
	if s != nil && s.balanced {
		s.requests.Add(1)
	}
}
