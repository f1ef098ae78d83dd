// Package simulator plays the load of callers against the decisions of several instances
// in virtual time, with a model of the upstreams: their slots, their queues, and the
// objects that they have handled and serve faster. It calls the same code of package
// admitter and scheduler as an instance does, without a network, so that a test can check what
// callers get. It leaves out connections, transmission times beyond a fixed latency, and the
// limits of teams.
package simulator

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// Scenario describes what a simulation plays.
type Scenario struct {
	// Set declares the failure domains, services and upstreams at the start.
	Set declarer.Set
	// Instances are the instances that callers use.
	Instances []Instance
	// Affinity configures the choice of upstreams.
	Affinity admitter.Affinity
	// Surveys says that instances tell each other what they find (see package surveyor).
	Surveys bool
	// ShiftPerWindow, unless zero, lets package balancer set the spillovers; Affinity must be
	// Balanced then.
	ShiftPerWindow float64
	// Upstreams is how all upstreams behave.
	Upstreams Behavior
	// Requests are the kinds of requests that callers send.
	Requests []Kind
	// Changes are what happens to the declared set and the upstreams, in any order.
	Changes []Change
	// RegionLatency is the additional time that a message to another region takes.
	RegionLatency time.Duration
	// Queue, if not nil, lets requests wait at the instances within these limits.
	Queue *scheduler.Limits
	// Level lets the instances agree on an admission level. It needs Queue.
	Level bool
	// Length is the time after which callers send no more requests.
	Length time.Duration
	// Seed makes the random choices.
	Seed uint64
}

// Instance is an instance in a scenario.
type Instance struct {
	Name  string
	Place string
}

// Kind is a kind of request. Its requests are idempotent.
type Kind struct {
	// Name names the kind, in results and as the first segment of the path.
	Name string
	// Host is the host name that the requests are for.
	Host string
	// Team is the team of the callers, whose key is the team's name; empty on an open route.
	Team string
	// PerSecond is the rate over all callers.
	PerSecond float64
	// Demand, unless nil, is the part from 0 to 1 of these requests that the callers of a
	// failure domain send at a time, which is counted from the start.
	Demand func(place string, at time.Duration) float64
	// Factor, if not nil, multiplies the rate at a time, counted from the start.
	Factor func(at time.Duration) float64
	// Objects is the number of objects in each failure domain that its callers ask for.
	Objects int
	// PopularShare is the share of the requests that are for the first tenth of the objects; 0
	// means that all objects are equally popular.
	PopularShare float64
	// SharedObjects says that the callers of all failure domains ask for the same objects.
	SharedObjects bool
	// Work is how long a slot is taken for an object that the upstream does not know.
	Work time.Duration
	// Patience is the caller's deadline, counted from the first attempt.
	Patience time.Duration
}

// Change is what happens at one time of a simulation.
type Change struct {
	// At is counted from the start.
	At time.Duration
	// Set, if not nil, returns the declared set that all instances follow from then on.
	Set func(declarer.Set) declarer.Set
	// Upstream, if not nil, changes the behavior of each upstream.
	Upstream func(name string, behavior Behavior) Behavior
	// Mute lists the instances that tell the others nothing of what they find from then on.
	Mute []string
}

// simulation is the state of a running scenario.
type simulation struct {
	scenario  Scenario
	random    *rand.Rand
	start     time.Time
	now       time.Time
	events    eventQueue
	set       declarer.Set
	revision  uint64
	instances []*instance
	upstreams map[string]*upstream
	results   []Result
}

// Outcome is what a simulation has shown.
type Outcome struct {
	// Results says what became of each request, in the order in which they ended.
	Results []Result
	// Arrivals holds the requests that arrived at each upstream, by its name, in order.
	Arrivals map[string][]Arrival
}

// Run plays a scenario.
func Run(scenario Scenario) Outcome {
	// The clock of a simulation is independent of the present.
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		scenario:  scenario,
		random:    rand.New(rand.NewPCG(scenario.Seed, 0)),
		start:     start,
		now:       start,
		set:       scenario.Set,
		upstreams: map[string]*upstream{},
	}
	for _, declared := range scenario.Instances {
		s.instances = append(s.instances, s.newInstance(declared))
	}
	s.setMembers()
	s.applySet(scenario.Set)
	for _, change := range scenario.Changes {
		s.after(change.At, func() { s.apply(change) })
	}
	s.after(admitter.SpilloverInterval, s.refresh)
	if scenario.Queue != nil && scenario.Level {
		s.after(levelInterval, s.shareCounts)
	}
	for _, kind := range scenario.Requests {
		s.scheduleArrival(kind)
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	outcome := Outcome{
		Results:  s.results,
		Arrivals: map[string][]Arrival{},
	}
	for name, upstream := range s.upstreams {
		outcome.Arrivals[name] = upstream.arrivals
	}
	return outcome
}

// applySet puts a set into force at all instances, and starts the upstreams in it that
// are new.
func (s *simulation) applySet(set declarer.Set) {
	s.set = set
	s.revision++
	for version := range set.Versions.All() {
		for _, declared := range version.Upstreams {
			if _, found := s.upstreams[declared.Name]; !found {
				s.upstreams[declared.Name] = newUpstream(s, declared.Slots, s.scenario.Upstreams)
			}
		}
	}
	for _, instance := range s.instances {
		plan := instance.plans.Load().WithTable(router.New(s.revision, set), s.now)
		instance.plans.Advance(*plan)
	}
}

// apply makes a change of the scenario.
func (s *simulation) apply(change Change) {
	if change.Upstream != nil {
		for name, upstream := range s.upstreams {
			upstream.behavior = change.Upstream(name, upstream.behavior)
		}
	}
	for _, instance := range s.instances {
		instance.mute = instance.mute || slices.Contains(change.Mute, instance.name)
	}
	if change.Set != nil {
		s.applySet(change.Set(s.set))
	}
}

// refresh does at all instances what they do every admitter.SpilloverInterval.
func (s *simulation) refresh() {
	for _, instance := range s.instances {
		instance.refresh()
	}
	if s.now.Sub(s.start) < s.scenario.Length {
		s.after(admitter.SpilloverInterval, s.refresh)
	}
}

// scheduleArrival schedules the next request of a kind, with exponentially distributed
// times between requests.
func (s *simulation) scheduleArrival(kind Kind) {
	rate := kind.PerSecond
	if kind.Factor != nil {
		rate *= kind.Factor(s.now.Sub(s.start))
	}
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if s.now.Add(wait).Sub(s.start) >= s.scenario.Length {
		return
	}
	s.after(wait, func() {
		s.arrive(kind)
		s.scheduleArrival(kind)
	})
}

// regionOf returns the region of a failure domain.
func (s *simulation) regionOf(place string) string {
	declared, _ := s.set.Places.Get(place)
	return declared.Region
}

// popularFraction is the fraction of the objects that get Kind.PopularShare of the requests.
const popularFraction = 0.1

// pickObject returns the number of the object that a request is for.
func (s *simulation) pickObject(kind Kind) int {
	popular := int(float64(kind.Objects) * popularFraction)
	if kind.PopularShare > 0 && s.random.Float64() < kind.PopularShare {
		return s.random.IntN(popular)
	}
	return s.random.IntN(kind.Objects)
}

// after schedules an event.
func (s *simulation) after(wait time.Duration, run func()) {
	s.events.sequence++
	heap.Push(&s.events, event{
		at:     s.now.Add(wait),
		number: s.events.sequence,
		run:    run,
	})
}

// event is something that happens at a time. Events of the same time happen in the order
// of their numbers.
type event struct {
	at     time.Time
	number uint64
	run    func()
}

// eventQueue is a heap of events by time.
type eventQueue struct {
	events   []event
	sequence uint64
}

// Len, Less, Swap, Push and Pop make eventQueue a heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].number < q.events[j].number
	}
	return q.events[i].at.Before(q.events[j].at)
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

func (q *eventQueue) Push(added any) { q.events = append(q.events, added.(event)) }

func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	popped := q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	return popped
}
