package simulator

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/balancer"
)

// roundsPerMessage is the number of calls of refresh between two messages of the balancers: one
// message a second.
const roundsPerMessage = int(time.Second / admitter.SpilloverInterval)

// balancerMember converts an instance to a member between which demand is balanced.
func (s *simulation) balancerMember(declared Instance) balancer.Member {
	place, _ := s.scenario.Set.Places.Get(declared.Place)
	return balancer.Member{
		Name:   declared.Name,
		Region: place.Region,
		Linked: true,
	}
}

// adjustSpillovers does at an instance what steerer.Steerer does in adjustSpillovers.
func (i *instance) adjustSpillovers(plan *admitter.Plan) {
	now := i.simulation.now
	if i.balancer == nil {
		plan.AdjustSpillovers(now)
		return
	}
	loads := plan.ServiceLoads()
	services := make([]balancer.Service, 0, len(loads))
	for _, load := range loads {
		services = append(services, load.ForBalancer())
	}
	for _, decision := range i.balancer.Adjust(services, now) {
		plan.SetSpillover(decision.Service, decision.Fraction)
	}
	if i.rounds++; i.rounds%roundsPerMessage == 0 {
		i.shareBalance(loads)
	}
}

// shareBalance sends the messages of a second.
func (i *instance) shareBalance(loads []admitter.ServiceLoad) {
	s := i.simulation
	fractions := map[string]float64{}
	for _, load := range loads {
		fractions[load.Service] = load.Fraction
		i.balancer.Observe(load.Service, load.Requests, load.InUse, s.now)
	}
	var others []balancer.Member
	for _, declared := range s.scenario.Instances {
		if declared.Name != i.name {
			others = append(others, s.balancerMember(declared))
		}
	}
	i.balancer.SetMembers(others, s.now)
	for _, member := range others {
		message, found := i.balancer.MessageTo(member, fractions, s.now)
		if !found {
			continue
		}
		for _, other := range s.instances {
			if other.name == member.Name {
				s.after(peerLatency, func() { other.balancer.Receive(i.name, message, s.now) })
			}
		}
	}
}
