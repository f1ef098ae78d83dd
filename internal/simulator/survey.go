package simulator

import "github.com/hemlockport/hemlockport/pkg/command/surveyor"

// survey tells the others what the instance has found, every surveyor.Interval: a leader tells
// the other leaders and the members of its failure domain, a member tells its leader.
func (i *instance) survey() {
	s := i.simulation
	if !s.scenario.Surveys || i.mute || s.now.Sub(i.surveyedAt) < surveyor.Interval {
		return
	}
	i.surveyedAt = s.now
	plan := i.plans.Load()
	own := surveyor.Survey{
		Caches: plan.TakeCacheDigests(),
		Loads:  plan.TakeLoadSums(),
	}
	leader := s.leaderOf(i.place)
	if leader != i {
		s.after(peerLatency, func() { leader.surveyor.ReceiveMember(i.name, own, s.now) })
		return
	}
	domain, findings := i.surveyor.Sum(own, s.now)
	for _, other := range s.instances {
		switch {
		case other.place == i.place:
			s.after(peerLatency, func() { other.receiveFindings(findings) })
		case s.leaderOf(other.place) == other:
			s.after(peerLatency, func() { other.surveyor.ReceiveDomain(i.name, domain, s.now) })
		}
	}
}

// receiveFindings applies what all instances have found.
func (i *instance) receiveFindings(findings surveyor.Findings) {
	plan := i.plans.Load()
	plan.ReceiveCacheNotices(findings.Caches, i.simulation.now)
	plan.ReceiveLoadNotices(findings.Loads, i.simulation.now)
}

// leaderOf returns the first instance of a failure domain.
func (s *simulation) leaderOf(place string) *instance {
	for _, candidate := range s.instances {
		if candidate.place == place {
			return candidate
		}
	}
	return nil
}
