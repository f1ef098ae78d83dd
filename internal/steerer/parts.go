package steerer

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// minHolderBurst is the burst, including settings.Teams.Slack, that each part of a
	// limit has at least, as long as minHolders parts or more remain. A part with a much
	// smaller burst would hardly ever admit a request. The parts by seat use the same
	// value, sharer.MinHolderBurst.
	minHolderBurst = 16
	// minHolders is how many instances own parts of the smallest limit, so that most of
	// the limit remains when one instance is lost.
	minHolders = 3
	// partValidity is how long a part may be used after it was last applied. It is renewed each
	// refreshInterval, so that it ends only in a process that was paused.
	partValidity = maxPause
)

// holderCount returns how many instances own parts of a team's limit. The apportioner
// calls them the holders of the limit.
func (s *Steerer) holderCount(team declarer.Team) int {
	return max((team.Burst+s.settings.Teams.Slack)/minHolderBurst, minHolders)
}

// applyParts sets this instance's parts of all limits in the plan. The caller holds
// planMu.
func (s *Steerer) applyParts(plan *admitter.Plan, now time.Time) {
	plan.Apportion(func(team declarer.Team) admitter.Share {
		s.apportioner.SetSplit(team.Name, apportioner.Split{
			Holders:   s.holderCount(team),
			MinChange: apportioner.DefaultMinChange,
		})
		fraction := s.apportioner.Fraction(team.Name, now)
		if fraction == 0 {
			return admitter.Share{}
		}
		return admitter.Share{
			Fraction:   fraction,
			ExtraBurst: s.settings.Teams.Slack / len(s.apportioner.Holders(team.Name)),
			Until:      now.Add(partValidity),
		}
	}, now)
}

// apportionerMember converts an instance to a member among which limits are split.
// Members are grouped by region, because network paths within a region are short.
func (s *Steerer) apportionerMember(member registrar.Member) apportioner.Member {
	return apportioner.Member{
		Name:  member.Name,
		Group: s.regionOf(member.Place),
	}
}

// regionOf returns the region of a failure domain, or "" if the settings do not hold it.
func (s *Steerer) regionOf(place string) string {
	index := slices.IndexFunc(s.settings.Places, func(known configurer.Place) bool { return known.Name == place })
	if index < 0 {
		return ""
	}
	return s.settings.Places[index].Region
}

func (s *Steerer) apportionerMembers(listed []registrar.Member) []apportioner.Member {
	members := make([]apportioner.Member, 0, len(listed))
	for _, member := range listed {
		members = append(members, s.apportionerMember(member))
	}
	return members
}
