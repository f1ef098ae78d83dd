package simulator

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/command/balancer"
	"github.com/hemlockport/hemlockport/pkg/command/rationer"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
	"github.com/hemlockport/hemlockport/pkg/command/surveyor"
	"github.com/hemlockport/hemlockport/pkg/holder"
)

// peerLatency is the time that a message between instances takes.
const peerLatency = 30 * time.Millisecond

// instance models one entry instance.
type instance struct {
	simulation  *simulation
	name        string
	place       string
	plans       *holder.Cell[admitter.Plan]
	admitter    *admitter.Admitter
	apportioner *apportioner.Apportioner
	rationer    *rationer.Rationer
	surveyor    *surveyor.Surveyor
	// surveyedAt is when the instance last told what it has found.
	surveyedAt time.Time
	// mute says that the instance tells the others nothing of what it has found.
	mute bool
	// balancer is nil if the scenario has no ShiftPerWindow.
	balancer *balancer.Balancer
	// rounds counts the calls of refresh.
	rounds int
	// queues are the queues by service; lastCounts are the counts of the last levelInterval.
	queues     map[string]*queue
	lastCounts scheduler.Figures
	board      scheduler.Board
}

// newInstance returns an instance that knows no configuration yet.
func (s *simulation) newInstance(declared Instance) *instance {
	plans := holder.New[admitter.Plan]()
	plans.Advance(*admitter.InitialPlan(declared.Place, declared.Name).WithAffinity(s.scenario.Affinity))
	fractions := apportioner.New(declared.Name, declared.Name)
	created := &instance{
		simulation:  s,
		name:        declared.Name,
		place:       declared.Place,
		plans:       plans,
		admitter:    admitter.New(plans, admitter.NewFreshness(s.start)),
		apportioner: fractions,
		rationer:    rationer.New(fractions),
		surveyor:    surveyor.New(),
		queues:      map[string]*queue{},
	}
	if s.scenario.ShiftPerWindow > 0 {
		created.balancer = balancer.New(s.balancerMember(declared), s.scenario.ShiftPerWindow)
	}
	return created
}

// setMembers makes all instances members between which limits are split.
func (s *simulation) setMembers() {
	var members []apportioner.Member
	for _, declared := range s.scenario.Instances {
		place, _ := s.scenario.Set.Places.Get(declared.Place)
		members = append(members, apportioner.Member{
			Name:  declared.Name,
			Group: place.Region,
		})
	}
	for _, instance := range s.instances {
		instance.apportioner.SetMembers(members, s.now)
	}
}

// refresh does at an instance what it does every admitter.SpilloverInterval.
func (i *instance) refresh() {
	now := i.simulation.now
	plan := i.plans.Load()
	i.adjustSpillovers(plan)
	plan.UpdateCaches(now)
	i.survey()
	i.rationer.Apply(plan, now.Add(time.Hour), now)
	if report, due := i.apportioner.NextReport(now); due {
		i.sendReport(report)
	}
	if digest := i.rationer.NextDigest(plan, now); len(digest) > 0 {
		i.sendToOthers(func(other *instance) {
			other.rationer.Receive(other.plans.Load(), digest, i.simulation.now)
		})
	}
}

// sendReport sends a report of demand to all others, which confirm it.
func (i *instance) sendReport(report apportioner.Report) {
	s := i.simulation
	i.sendToOthers(func(other *instance) {
		other.apportioner.Receive(apportioner.Member{
			Name: i.name,
		}, report, s.now)
	})
	s.after(2*peerLatency, func() { i.apportioner.MarkDelivered(report.Number) })
}

// sendToOthers lets every other instance receive a message.
func (i *instance) sendToOthers(receive func(other *instance)) {
	for _, other := range i.simulation.instances {
		if other != i {
			i.simulation.after(peerLatency, func() { receive(other) })
		}
	}
}
