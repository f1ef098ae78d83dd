package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// partBurst is the least burst of a part, with what the users' slack adds to it:
	// one below would hardly ever admit a request.
	partBurst = 16
	// leastHolders is how many instances hold parts of the smallest limit, so that the
	// loss of one leaves most of it.
	leastHolders = 3
)

// spreadOf returns how many instances hold parts of a team's limit.
func (s *Steerer) spreadOf(team declarer.Team) int {
	return max((team.Burst+s.settings.Teams.Slack)/partBurst, leastHolders)
}

// apportion sets the parts of all limits. The caller holds planning.
func (s *Steerer) apportion(plan *admitter.Plan, now time.Time) {
	plan.Apportion(func(team declarer.Team) admitter.Share {
		s.apportioner.SetSpread(team.Name, s.spreadOf(team))
		part := s.apportioner.Part(team.Name, now)
		if part == 0 {
			return admitter.Share{}
		}
		return admitter.Share{
			Part:  part,
			Extra: s.settings.Teams.Slack / len(s.apportioner.Holders(team.Name)),
		}
	}, now)
}

// member returns an instance as limits are split over it: by regions, within which
// the ways are short.
func (s *Steerer) member(one registrar.Member) apportioner.Member {
	region := ""
	for _, place := range s.settings.Places {
		if place.Name == one.Place {
			region = place.Region
		}
	}
	return apportioner.Member{
		Name:  one.Name,
		Group: region,
	}
}

func (s *Steerer) membersOf(listed []registrar.Member) []apportioner.Member {
	members := make([]apportioner.Member, 0, len(listed))
	for _, one := range listed {
		members = append(members, s.member(one))
	}
	return members
}
