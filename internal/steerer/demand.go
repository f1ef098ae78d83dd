package steerer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicDemand is the name under which peers report their demand.
const topicDemand = "Demand"

var demands = encoder.CBOR[apportioner.Report]{}

// handleDemand takes in the reports of peers.
func (s *Steerer) handleDemand() {
	hear := handler.CommandFunc[apportioner.Report, reporter.Nothing](
		func(ctx context.Context, report apportioner.Report) (reporter.Nothing, error) {
			s.planning.Lock()
			defer s.planning.Unlock()
			s.apportioner.Hear(linker.PeerOf(ctx).Name, report, time.Now())
			return reporter.Nothing{}, nil
		},
	)
	linker.HandleCommand(s.hub, topicDemand, hear, demands, nothings)
}

// share measures this instance's demand, reports it and takes its parts.
func (s *Steerer) share() {
	now := time.Now()
	s.planning.Lock()
	plan := s.plans.Load()
	for team := range plan.Table().Set().Teams.All() {
		if desk, found := plan.Desk(team.Name); found {
			s.apportioner.Measure(team.Name, desk.Requests(), now)
		}
	}
	report, changed := s.apportioner.Report(now)
	s.apportion(plan, now)
	s.planning.Unlock()
	if changed {
		s.tellDemand(report)
	}
}

// apportion sets the parts of all limits. The caller holds planning.
func (s *Steerer) apportion(plan *admitter.Plan, now time.Time) {
	plan.Apportion(func(team string) float64 { return s.apportioner.Part(team, now) }, now)
}

// confirmLimit bounds the wait for the confirmation of a report.
const confirmLimit = 2 * time.Second

// tellDemand tells all other instances, and takes in that all have confirmed. If
// one does not, the report is made again.
func (s *Steerer) tellDemand(report apportioner.Report) {
	others := s.others()
	if len(others) == 0 {
		s.confirmDemand(report.Number)
		return
	}
	var missing atomic.Int64
	missing.Store(int64(len(others)))
	for _, other := range others {
		s.hub.Go(func() {
			ctx, cancel := context.WithTimeout(s.work, confirmLimit)
			defer cancel()
			_, err := linker.Ask(ctx, s.hub, other.Incarnation, topicDemand, report, demands, nothings)
			if err != nil {
				s.log.Debug().Str("Peer", other.Name).Err(err).Msg("DemandUntold")
				return
			}
			if missing.Add(-1) == 0 {
				s.confirmDemand(report.Number)
			}
		})
	}
}

func (s *Steerer) confirmDemand(number uint64) {
	s.planning.Lock()
	defer s.planning.Unlock()
	s.apportioner.Confirm(number)
	s.apportion(s.plans.Load(), time.Now())
}

// others returns the other listed instances.
func (s *Steerer) others() []registrar.Member {
	var others []registrar.Member
	for _, member := range s.roster.Load().Members() {
		if member.Name != s.self.Name {
			others = append(others, member)
		}
	}
	return others
}

func namesOf(members []registrar.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}
