package apportioner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
)

const (
	// step is the time by which the simulation advances at once.
	step = 250 * time.Millisecond
	// resource is the team whose limit is split.
	resource = "quilters"
	// groups is the number of groups of instances.
	groups = 3
)

// simulation runs instances that exchange reports in virtual time.
type simulation struct {
	members []apportioner.Member
	// incarnations holds the current incarnation of each instance.
	incarnations []string
	instances    []*apportioner.Apportioner
	// totals holds the number of requests that each instance has received so far.
	totals []float64
	now    time.Time
	// inFlight holds the undelivered messages, in the order of their sending.
	inFlight []*message
	// broadcasts holds the newest report of each instance.
	broadcasts []broadcast
	// unlisted are the instances that the lists of all but them lack, so that the others do not
	// wait for their confirmations.
	unlisted map[int]bool
	// holderCount is the number of instances that hold parts.
	holderCount int
	// latency returns the time from the sending of a message to its delivery. lost
	// reports whether a message is lost.
	latency func() time.Duration
	lost    func(from, to int) bool
}

// message is a report to one instance, or the confirmation of a report.
type message struct {
	from           int
	to             int
	report         apportioner.Report
	isConfirmation bool
	deliverAt      time.Time
	// unconfirmed is the map of the broadcast that the report belongs to.
	unconfirmed map[int]bool
}

// broadcast is the newest report of an instance, with the instances that have not
// confirmed it.
type broadcast struct {
	report      apportioner.Report
	unconfirmed map[int]bool
}

func newSimulation(count int) *simulation {
	s := &simulation{
		now:         time.Now(),
		totals:      make([]float64, count),
		broadcasts:  make([]broadcast, count),
		holderCount: count,
		latency:     func() time.Duration { return 0 },
		lost:        func(int, int) bool { return false },
	}
	for i := range count {
		s.members = append(s.members, apportioner.Member{
			Name:  fmt.Sprintf("entry-%d", i),
			Group: fmt.Sprintf("region-%d", i%groups),
		})
	}
	for _, member := range s.members {
		instance := apportioner.New(member.Name, "1")
		instance.SetMembers(s.members, s.now)
		s.incarnations = append(s.incarnations, "1")
		s.instances = append(s.instances, instance)
	}
	return s
}

// setHolderCount sets how many instances hold parts.
func (s *simulation) setHolderCount(holders int) {
	s.holderCount = holders
	for _, instance := range s.instances {
		instance.SetSplit(resource, splitBetween(holders))
	}
}

// restart replaces an instance by a new incarnation without state.
func (s *simulation) restart(i int) {
	s.restartAmong(i, s.members)
}

// restartAmong replaces an instance by a new incarnation without state, which finds some members
// in the list.
func (s *simulation) restartAmong(i int, listed []apportioner.Member) {
	s.incarnations[i] += "1"
	s.instances[i] = apportioner.New(s.members[i].Name, s.incarnations[i])
	s.instances[i].MarkRestarted()
	// The others notice the new incarnation and send it their last reports again.
	for other := range s.broadcasts {
		if other != i && s.broadcasts[other].unconfirmed != nil {
			s.broadcasts[other].unconfirmed[i] = true
		}
	}
	s.instances[i].SetMembers(listed, s.now)
	s.instances[i].SetSplit(resource, splitBetween(s.holderCount))
	s.broadcasts[i] = broadcast{}
	// The links of the old incarnation close, which drops the messages in flight.
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m *message) bool { return m.from == i || m.to == i })
}

// advance delivers requests at the given rates for one step, exchanges reports, and
// returns the sum of all fractions afterwards.
func (s *simulation) advance(perSecond []float64) float64 {
	s.now = s.now.Add(step)
	s.deliver()
	for i, instance := range s.instances {
		s.totals[i] += perSecond[i] * step.Seconds()
		instance.Measure(resource, uint64(s.totals[i]), s.now)
		if report, changed := instance.NextReport(s.now); changed {
			s.broadcasts[i] = s.newBroadcast(i, report)
		}
		s.send(i)
	}
	s.deliver()
	sum := 0.0
	for _, instance := range s.instances {
		sum += instance.Fraction(resource, s.now)
	}
	return sum
}

// newBroadcast returns a report that no other instance has confirmed yet.
func (s *simulation) newBroadcast(from int, report apportioner.Report) broadcast {
	unconfirmed := map[int]bool{}
	for to := range s.instances {
		if to != from && (!s.unlisted[to] || s.unlisted[from]) {
			unconfirmed[to] = true
		}
	}
	return broadcast{
		report:      report,
		unconfirmed: unconfirmed,
	}
}

// send sends an instance's newest report to all that have not confirmed it.
func (s *simulation) send(from int) {
	latest := s.broadcasts[from]
	for to := range s.instances {
		if latest.unconfirmed[to] {
			s.enqueue(&message{
				from:        from,
				to:          to,
				report:      latest.report,
				unconfirmed: latest.unconfirmed,
			})
		}
	}
}

// enqueue sends a message with the latency of the simulation, unless it is lost.
func (s *simulation) enqueue(m *message) {
	if s.lost(m.from, m.to) {
		return
	}
	m.deliverAt = s.now.Add(s.latency())
	s.inFlight = append(s.inFlight, m)
}

// deliver delivers the messages that are due, and those that are sent in response
// without latency.
func (s *simulation) deliver() {
	for {
		var remaining []*message
		due := s.inFlight
		s.inFlight = nil
		for _, m := range due {
			if m.deliverAt.After(s.now) {
				remaining = append(remaining, m)
				continue
			}
			s.receive(m)
		}
		arrived := len(due) - len(remaining)
		s.inFlight = append(remaining, s.inFlight...)
		if arrived == 0 {
			return
		}
	}
}

// receive handles a message at its recipient.
func (s *simulation) receive(m *message) {
	if m.isConfirmation {
		delete(m.unconfirmed, m.from)
		if len(m.unconfirmed) == 0 && m.report.Incarnation == s.incarnations[m.to] {
			s.instances[m.to].MarkDelivered(m.report.Number)
		}
		return
	}
	s.instances[m.to].Receive(s.members[m.from], m.report, s.now)
	s.enqueue(&message{
		from:           m.to,
		to:             m.from,
		report:         m.report,
		isConfirmation: true,
		unconfirmed:    m.unconfirmed,
	})
}

// TestFractionsFollowDemand checks that, after ten seconds of steady demand, each
// instance has at least a given fraction.
func TestFractionsFollowDemand(t *testing.T) {
	cases := []struct {
		name   string
		demand []float64
		// least is the least fraction of each instance after ten seconds.
		least []float64
	}{
		{
			name:   "even",
			demand: []float64{10, 10, 10, 10},
			least:  []float64{0.24, 0.24, 0.24, 0.24},
		},
		{
			name:   "one instance has most",
			demand: []float64{2, 2, 2, 18},
			least:  []float64{0.1, 0.1, 0.1, 0.6},
		},
		{
			name:   "no demand",
			demand: make([]float64, 4),
			least:  []float64{0.25, 0.25, 0.25, 0.25},
		},
	}
	for _, c := range cases {
		s := newSimulation(len(c.demand))
		for range 40 {
			s.advance(c.demand)
		}
		for i, instance := range s.instances {
			if got := instance.Fraction(resource, s.now); got < c.least[i] {
				t.Errorf("%s: got fraction %.3f of instance %d, want at least %.3f", c.name, got, i, c.least[i])
			}
		}
	}
}

// maxLatency is the longest time for which a report or a confirmation is in flight.
const maxLatency = 1500 * time.Millisecond

// TestFractionsNeverAddUpToMoreThanOne checks that the sum of the fractions never exceeds
// 1 while demand jumps, reports and confirmations are delayed, reordered and lost, an
// instance is partitioned from the others, and instances restart, one at a time or all
// at once.
func TestFractionsNeverAddUpToMoreThanOne(t *testing.T) {
	const tolerance = 1e-9
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 11))
		s := newSimulation(2 + random.IntN(12))
		s.setHolderCount(1 + random.IntN(len(s.instances)))
		isolated := -1
		startedAt := s.now
		s.latency = func() time.Duration { return time.Duration(random.Int64N(int64(maxLatency))) }
		s.lost = func(from, to int) bool {
			return from == isolated || to == isolated || random.IntN(50) == 0
		}
		demand := make([]float64, len(s.instances))
		for range 80 {
			if random.IntN(4) == 0 {
				demand[random.IntN(len(demand))] = random.Float64() * 100
			}
			settled := s.now.Sub(startedAt) > apportioner.ReportWait+2*maxLatency
			if random.IntN(20) == 0 && settled {
				isolated = random.IntN(len(demand)+1) - 1
			}
			if random.IntN(15) == 0 && isolated < 0 {
				startedAt = s.now
				s.restart(random.IntN(len(demand)))
			}
			if random.IntN(100) == 0 && isolated < 0 {
				startedAt = s.now
				for i := range s.instances {
					s.restart(i)
				}
			}
			if sum := s.advance(demand); sum > 1+tolerance {
				t.Fatalf("seed %d: got fractions that add up to %v, want at most 1", seed, sum)
			}
		}
	}
}

// TestFractionsAddUpToNearlyOne checks that nearly all of a limit is usable after four
// seconds of steady demand.
func TestFractionsAddUpToNearlyOne(t *testing.T) {
	s := newSimulation(12)
	s.latency = func() time.Duration { return 60 * time.Millisecond }
	demand := make([]float64, len(s.instances))
	for i := range demand {
		demand[i] = float64(1 + i)
	}
	sum := 0.0
	for range 16 {
		sum = s.advance(demand)
	}
	if sum < 0.9 {
		t.Fatalf("got fractions that add up to %.3f after four seconds, want at least 0.9", sum)
	}
}

// TestNewInstanceWaitsForOthers checks that a new instance has no part until all others
// have confirmed its report. Otherwise the fractions could add up to more than 1, because
// the others do not count its claim yet.
func TestNewInstanceWaitsForOthers(t *testing.T) {
	now := time.Now()
	instance := apportioner.New("entry-0", "1")
	other := apportioner.Member{
		Name: "entry-1",
	}
	instance.SetMembers([]apportioner.Member{
		{
			Name: "entry-0",
		},
		other,
	}, now)
	report, changed := instance.NextReport(now)
	if !changed {
		t.Fatal("got no first report, want one")
	}
	if got := instance.Fraction(resource, now); got != 0 {
		t.Fatalf("got fraction %v before the report is confirmed, want 0", got)
	}
	instance.MarkDelivered(report.Number)
	if got := instance.Fraction(resource, now); got >= 0.5 {
		t.Fatalf("got fraction %v before the other instance has reported, want less than 0.5", got)
	}
	instance.Receive(other, apportioner.Report{
		Incarnation: "1",
		Number:      1,
	}, now)
	if got := instance.Fraction(resource, now); got != 0.5 {
		t.Fatalf("got fraction %v, want 0.5", got)
	}
}

// TestFewHoldersShareTheWhole checks a limit with few holders: all instances name the
// same ones, they are distributed evenly over the groups, and their fractions add up to
// nearly 1.
func TestFewHoldersShareTheWhole(t *testing.T) {
	cases := []struct {
		name      string
		instances int
		holders   int
	}{
		{
			name:      "one",
			instances: 12,
			holders:   1,
		},
		{
			name:      "one per group",
			instances: 12,
			holders:   groups,
		},
		{
			name:      "all",
			instances: 12,
			holders:   12,
		},
		{
			name:      "few of many",
			instances: 85,
			holders:   15,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(c.instances)
			s.setHolderCount(c.holders)
			demand := make([]float64, c.instances)
			for i := range demand {
				demand[i] = 2
			}
			sum := 0.0
			for range 24 {
				sum = s.advance(demand)
			}
			if sum < 0.9 || sum > 1+1e-9 {
				t.Errorf("got fractions that add up to %v, want 0.9 to 1", sum)
			}
			perGroup := map[string]int{}
			for i, instance := range s.instances {
				holders := instance.Holders(resource)
				if !slices.Equal(holders, s.instances[0].Holders(resource)) || len(holders) != c.holders {
					t.Fatalf("instance %d: got holders %v, want %d holders, the same as at instance 0", i, holders, c.holders)
				}
				if instance.Fraction(resource, s.now) > 0 {
					perGroup[s.members[i].Group]++
				}
			}
			for group, count := range perGroup {
				if maxCount := (c.holders + groups - 1) / groups; count > maxCount {
					t.Errorf("%s: got %d holders, want at most %d", group, count, maxCount)
				}
			}
		})
	}
}

// splitBetween returns a split with the default threshold of reports.
func splitBetween(holders int) apportioner.Split {
	return apportioner.Split{
		Holders:   holders,
		MinChange: apportioner.DefaultMinChange,
	}
}
