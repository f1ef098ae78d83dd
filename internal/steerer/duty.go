package steerer

import (
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/internal/command/usagereporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// minLinkedDivisor is the part of the other instances that must be linked for this one to hold a
// duty: fewer, and their counts are not known. A single other one may just have died.
const minLinkedDivisor = 3

// assembleUsage creates the component that reports the usage of teams, if the settings name that
// duty and an address.
func (s *Steerer) assembleUsage() error {
	duty := s.settings.Duty
	if duty.Address == "" || !slices.Contains(duty.Names, s.platform.UsageDuty) {
		return nil
	}
	call, err := s.platform.NewUsageCaller(duty.Address)
	if err != nil {
		return err
	}
	s.usage = usagereporter.New(usagereporter.Options{
		Settings: duty,
		Self:     s.self,
		Hub:      s.hub,
		Record:   s.platform.UsageRecord,
		Call:     call,
		Fleet:    s.dutyFleet,
		Leaving:  s.leaving.Load,
		Log:      s.log,
		Registry: s.registry,
	})
	return nil
}

// countUsage counts an attempt for its team until the attempt proves not to have run, and calls
// ended when it has ended.
func (s *Steerer) countUsage(attempt receiver.Attempt, ended func(receiver.Attempt)) func(receiver.Attempt) {
	count := s.usage.Count(attempt.Admission.Team(), attempt.SentAt)
	if count == nil {
		return ended
	}
	return func(attempt receiver.Attempt) {
		if attempt.Err != nil && arbiter.VerdictOf(attempt.Err) == arbiter.NotRun {
			count.Add(-1)
		}
		ended(attempt)
	}
}

// dutyFleet returns what this instance knows of the others for a duty that holder has.
func (s *Steerer) dutyFleet(holder string) usagereporter.Fleet {
	fleet := usagereporter.Fleet{
		Leaving: s.leaving.Load(),
		Changes: s.hub.Changes(),
	}
	listed, linked := 0, 0
	members := map[string][]registrar.Member{}
	if !fleet.Leaving {
		members[s.self.Place] = append(members[s.self.Place], s.self)
	}
	for other := range s.otherMembers() {
		listed++
		peer, found := s.hub.Peer(other.Incarnation)
		if !found {
			// The counts of its failure domain are waited for, also if no other one there is linked.
			if _, known := members[other.Place]; !known {
				members[other.Place] = nil
			}
			continue
		}
		linked++
		if peer.Heartbeat.Leaving {
			continue
		}
		members[other.Place] = append(members[other.Place], other)
		if other.Name < s.self.Name && other.Incarnation != holder && !peer.Heartbeat.StoreLost {
			fleet.Rank++
		}
	}
	known := !s.roster.Load().Position().IsZero()
	fleet.Eligible = known && !fleet.Leaving && (listed <= 1 || minLinkedDivisor*linked >= listed)
	for name, running := range members {
		slices.SortFunc(running, func(a, b registrar.Member) int { return strings.Compare(a.Name, b.Name) })
		fleet.Places = append(fleet.Places, usagereporter.Place{
			Name:    name,
			Members: running,
		})
	}
	fleet.Place = usagereporter.Place{
		Name:    s.self.Place,
		Members: members[s.self.Place],
	}
	return fleet
}
