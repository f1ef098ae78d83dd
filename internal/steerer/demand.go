package steerer

import (
	"context"
	"math"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicDemand is the name under which peers report their demand.
const topicDemand = "Demand"

// report is an apportioner.Report on a link.
type report struct {
	_       struct{} `cbor:",toarray"`
	Start   string
	Number  uint64
	Demands []demand
}

// demand is an apportioner.Demand on a link.
type demand struct {
	_        struct{} `cbor:",toarray"`
	Resource string
	// Tenths is how many requests come in ten seconds.
	Tenths uint32
}

// tenths is how many tenths are in a whole.
const tenths = 10

var reports = encoder.CBOR[report]{}

// onLink returns a report as it travels.
func onLink(made apportioner.Report) report {
	sent := report{
		Start:  made.Start,
		Number: made.Number,
	}
	for _, one := range made.Demands {
		sent.Demands = append(sent.Demands, demand{
			Resource: one.Resource,
			// Rounded up: what others count is never below what is claimed.
			Tenths: uint32(math.Ceil(one.PerSecond * tenths)),
		})
	}
	return sent
}

// heard returns a report as it was made.
func (r report) heard() apportioner.Report {
	made := apportioner.Report{
		Start:  r.Start,
		Number: r.Number,
	}
	for _, one := range r.Demands {
		made.Demands = append(made.Demands, apportioner.Demand{
			Resource:  one.Resource,
			PerSecond: float64(one.Tenths) / tenths,
		})
	}
	return made
}

// handleDemand takes in the reports of peers.
func (s *Steerer) handleDemand() {
	hear := handler.CommandFunc[report, reporter.Nothing](
		func(ctx context.Context, sent report) (reporter.Nothing, error) {
			s.planning.Lock()
			defer s.planning.Unlock()
			s.apportioner.Hear(s.member(linker.PeerOf(ctx)), sent.heard(), time.Now())
			return reporter.Nothing{}, nil
		},
	)
	linker.HandleCommand(s.hub, topicDemand, hear, reports, nothings)
}

// share measures this instance's demand, reports it and takes its parts.
func (s *Steerer) share() {
	now := time.Now()
	s.planning.Lock()
	plan := s.plans.Load()
	for team := range plan.Table().Set().Teams.All() {
		if desk, found := plan.Desk(team.Name); found {
			s.apportioner.Measure(team.Name, desk.Demanded(), now)
		}
	}
	if report, changed := s.apportioner.Report(now); changed {
		s.demand = newAnnouncement(report)
	}
	told := s.demand
	due := told.due(s.others())
	s.apportion(plan, now)
	s.planning.Unlock()
	s.tellDemand(told, due)
}

// confirmLimit bounds the wait for the confirmation of a report.
const confirmLimit = 2 * time.Second

// announcement is this instance's newest report and who has it. Guarded by planning.
type announcement struct {
	number uint64
	sent   report
	// confirmed and asking hold incarnations: those that have the report, and those
	// whose confirmation is waited for.
	confirmed map[string]bool
	asking    map[string]bool
	// done says that all others have it.
	done bool
}

func newAnnouncement(made apportioner.Report) *announcement {
	return &announcement{
		number:    made.Number,
		sent:      onLink(made),
		confirmed: map[string]bool{},
		asking:    map[string]bool{},
	}
}

// due returns the instances that are to be asked for their confirmation now.
func (a *announcement) due(others []registrar.Member) []registrar.Member {
	var due []registrar.Member
	for _, other := range others {
		if a.confirmed[other.Incarnation] || a.asking[other.Incarnation] {
			continue
		}
		a.asking[other.Incarnation] = true
		due = append(due, other)
	}
	return due
}

// known says whether all other instances have the report.
func (a *announcement) known(others []registrar.Member) bool {
	for _, other := range others {
		if !a.confirmed[other.Incarnation] {
			return false
		}
	}
	return true
}

// tellDemand tells instances of a report and takes in their confirmations.
func (s *Steerer) tellDemand(told *announcement, due []registrar.Member) {
	for _, other := range due {
		s.hub.Go(func() {
			ctx, cancel := context.WithTimeout(s.life.Work(), confirmLimit)
			defer cancel()
			_, err := linker.Ask(ctx, s.hub, other.Incarnation, topicDemand, told.sent, reports, nothings)
			s.demandTold(told, other, err)
		})
	}
	if len(due) == 0 {
		s.demandTold(told, s.self, nil)
	}
}

// demandTold takes in what came of telling an instance.
func (s *Steerer) demandTold(told *announcement, other registrar.Member, err error) {
	s.planning.Lock()
	defer s.planning.Unlock()
	delete(told.asking, other.Incarnation)
	if err != nil {
		s.log.Debug().Str("Peer", other.Name).Err(err).Msg("DemandUntold")
		return
	}
	told.confirmed[other.Incarnation] = true
	// Before the first list nobody is known who could have to confirm.
	listed := s.roster.Load().Revision() != 0
	if told.done || !listed || !told.known(s.others()) {
		return
	}
	told.done = true
	s.apportioner.Confirm(told.number)
	s.apportion(s.plans.Load(), time.Now())
	if told.number == 1 {
		s.log.Info().Int("Members", len(s.others())+1).Msg("LimitsConfirmed")
	}
}
