package apportioner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
)

const (
	// lossDelay is when the links between the two sides of a cut are lost, lapseDelay when
	// the instances that are cut off lapse, and removalDelay when the others remove them, each
	// after the cut.
	lossDelay    = time.Second
	lapseDelay   = 9 * time.Second
	removalDelay = 13 * time.Second
	// cutTime is how long a cut lasts, and healedTime how long the simulation goes on after it.
	cutTime    = 42 * time.Second
	healedTime = 20 * time.Second
	// relistDelay is when the instances that were cut off are listed again after the cut.
	relistDelay = 2 * time.Second
)

// cut is a partition between some instances of a simulation and the others.
type cut struct {
	simulation *simulation
	// off holds which instances are cut off.
	off map[int]bool
	// dead reports that these have ended instead, and use nothing.
	dead bool
	// lasts is set until the cut ends.
	lasts bool
	// recorded is what was to be reserved for the instances that are cut off when they were removed.
	recorded []apportioner.Reservation
}

func newCut(s *simulation, off map[int]bool, dead bool) *cut {
	c := &cut{
		simulation: s,
		off:        off,
		dead:       dead,
	}
	lost := s.lost
	s.lost = func(from, to int) bool {
		return lost(from, to) || (c.lasts && off[from] != off[to])
	}
	return c
}

// each calls a function with each pair of instances on different sides.
func (c *cut) each(visit func(instance *apportioner.Apportioner, other string)) {
	for i, instance := range c.simulation.instances {
		for j, member := range c.simulation.members {
			if c.off[i] != c.off[j] {
				visit(instance, member.Name)
			}
		}
	}
}

// begin begins the cut, whose links are lost at once.
func (c *cut) begin() {
	c.lasts = true
	c.each(func(instance *apportioner.Apportioner, other string) { instance.MarkLost(other) })
}

// lapse lets the instances that are cut off lapse.
func (c *cut) lapse() {
	for i := range c.off {
		c.simulation.instances[i].Lapse(c.simulation.now)
	}
}

// restart replaces an instance that is not cut off by a new incarnation, which the list shows
// only the others.
func (c *cut) restart(i int) {
	c.simulation.restartAmong(i, c.listed(true))
	for _, reservation := range c.recorded {
		c.simulation.instances[i].Reserve(reservation, c.simulation.now)
	}
	c.setRemoved(true)
}

// listed returns the members without those that are cut off, if these are removed, and all otherwise.
func (c *cut) listed(removed bool) []apportioner.Member {
	var listed []apportioner.Member
	for i, member := range c.simulation.members {
		if !removed || !c.off[i] {
			listed = append(listed, member)
		}
	}
	return listed
}

// setRemoved removes the instances that are cut off from the lists of the others, or adds
// them again.
func (c *cut) setRemoved(removed bool) {
	s := c.simulation
	listed := c.listed(removed)
	s.unlisted = nil
	if removed {
		s.unlisted = c.off
	}
	for i := range c.off {
		if reservation, reserves := s.instances[0].ReservationFor(s.members[i].Name, s.now); removed && reserves {
			c.recorded = append(c.recorded, reservation)
		}
	}
	for i, instance := range s.instances {
		if c.off[i] && removed {
			continue
		}
		instance.SetMembers(listed, s.now)
	}
	for i := range s.broadcasts {
		for j := range s.members {
			if c.off[i] == c.off[j] || s.broadcasts[i].unconfirmed == nil {
				continue
			}
			if removed && !c.off[i] {
				delete(s.broadcasts[i].unconfirmed, j)
			} else if !removed {
				s.broadcasts[i].unconfirmed[j] = true
			}
		}
	}
}

// TestCutOffInstancesKeepWhatIsReserved checks that the fractions of both sides of a cut, which
// lasts for longer than it takes to remove the instances that are cut off, add up to at most 1 and
// the overshoot that limits allow, whatever the demand. It guards against two instances
// that use the same part of a limit: one with what it was given before the cut, the other with
// what it took over.
func TestCutOffInstancesKeepWhatIsReserved(t *testing.T) {
	// overshoot is how much more than its limit a team may use in all.
	const overshoot = 0.1
	cases := []struct {
		name string
		// jumps is the probability that the demand of an instance jumps in a step.
		jumps float64
	}{
		{
			name: "steady demand",
		},
		{
			name:  "jumping demand",
			jumps: 0.3,
		},
	}
	for _, c := range cases {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 17))
			s := newSimulation(2 + random.IntN(11))
			s.setHolderCount(1 + random.IntN(len(s.instances)))
			s.latency = func() time.Duration { return time.Duration(random.Int64N(int64(200 * time.Millisecond))) }
			demand := make([]float64, len(s.instances))
			for i := range demand {
				demand[i] = random.Float64() * 40
			}
			off := map[int]bool{}
			for i := range s.instances {
				off[i] = i > 0 && random.IntN(2) == 0
			}
			playCut(t, c.name, seed, newCut(s, off, false), func() []float64 {
				if random.Float64() < c.jumps {
					demand[random.IntN(len(demand))] = random.Float64() * 250
				}
				return demand
			}, 1+overshoot)
		}
	}
}

// playCut plays a cut, and checks the sum of the fractions in each step.
func playCut(t *testing.T, name string, seed uint64, c *cut, demand func() []float64, most float64) {
	t.Helper()
	s := c.simulation
	begin := s.now.Add(12 * time.Second)
	events := []struct {
		at    time.Time
		apply func()
	}{
		{
			at:    begin,
			apply: func() { c.lasts = true },
		},
		{
			at: begin.Add(lossDelay),
			apply: func() {
				c.each(func(instance *apportioner.Apportioner, other string) { instance.MarkLost(other) })
			},
		},
		{
			at: begin.Add(lapseDelay),
			apply: func() {
				for i, instance := range s.instances {
					if c.off[i] {
						instance.Lapse(s.now)
					}
				}
			},
		},
		{
			at:    begin.Add(removalDelay),
			apply: func() { c.setRemoved(true) },
		},
		{
			at: begin.Add(cutTime),
			apply: func() {
				c.lasts = false
				c.each(func(instance *apportioner.Apportioner, other string) { instance.MarkLinked(other) })
				for i, instance := range s.instances {
					if c.off[i] {
						instance.Regain()
					}
				}
			},
		},
		{
			at:    begin.Add(cutTime + relistDelay),
			apply: func() { c.setRemoved(false) },
		},
	}
	sum := 0.0
	for end := begin.Add(cutTime + healedTime); s.now.Before(end); {
		for len(events) > 0 && !s.now.Before(events[0].at) {
			events[0].apply()
			events = events[1:]
		}
		if sum = s.advance(demand()); sum > most {
			t.Fatalf("%s, seed %d: got fractions that add up to %v at %v after the cut, want at most %v", name, seed, sum, s.now.Sub(begin), most)
		}
	}
	for i, instance := range s.instances {
		if instance.Lapsed() {
			t.Fatalf("%s, seed %d: instance %d still keeps what is reserved %v after the cut", name, seed, i, healedTime)
		}
	}
}

// TestBothSidesOfACutServeTheirUsualDemand checks how much of a limit each side of a cut can
// use while it lasts, and how much the others can use of it if the instances have ended. The
// demand is two thirds of the limit.
func TestBothSidesOfACutServeTheirUsualDemand(t *testing.T) {
	const perSecond = 120.0
	cases := []struct {
		name   string
		demand []float64
		off    map[int]bool
		// dead reports that the instances have ended; their demand goes to the others then.
		dead bool
	}{
		{
			name:   "one of three regions",
			demand: []float64{27, 27, 27},
			off: map[int]bool{
				2: true,
			},
		},
		{
			name:   "the region with most of the demand",
			demand: []float64{13, 13, 54},
			off: map[int]bool{
				2: true,
			},
		},
		{
			name:   "two of three regions",
			demand: []float64{27, 27, 27},
			off: map[int]bool{
				1: true,
				2: true,
			},
		},
		{
			name:   "one instance dies",
			demand: []float64{16, 16, 16, 16, 16},
			off: map[int]bool{
				4: true,
			},
			dead: true,
		},
	}
	for _, c := range cases {
		s := newSimulation(len(c.demand))
		partition := newCut(s, c.off, c.dead)
		for range 48 {
			s.advance(c.demand)
		}
		partition.lasts = true
		partition.each(func(instance *apportioner.Apportioner, other string) { instance.MarkLost(other) })
		demand := c.demand
		if c.dead {
			demand = make([]float64, len(c.demand))
			for i := range demand {
				if !c.off[i] {
					demand[i] = c.demand[i] * float64(len(demand)) / float64(len(demand)-len(c.off))
				}
			}
		}
		for range 36 {
			s.advance(demand)
		}
		for i := range c.off {
			s.instances[i].Lapse(s.now)
		}
		partition.setRemoved(true)
		for range 60 {
			s.advance(demand)
		}
		for i, instance := range s.instances {
			if c.dead && c.off[i] {
				continue
			}
			if got := instance.Fraction(resource, s.now) * perSecond; got < demand[i] {
				t.Errorf("%s: instance %d may serve %.1f requests per second, want at least %v", c.name, i, got, demand[i])
			}
		}
	}
}

// TestReservationsEnd checks that what is reserved for an instance is used again once it has
// announced its stop, or reserveTime has passed.
func TestReservationsEnd(t *testing.T) {
	cases := []struct {
		name  string
		left  bool
		after time.Duration
		want  float64
	}{
		{
			name:  "lost",
			after: time.Minute,
			want:  0.6,
		},
		{
			name:  "lost long ago",
			after: 11 * time.Minute,
			want:  1,
		},
		{
			name:  "announced its stop",
			left:  true,
			after: time.Minute,
			want:  1,
		},
	}
	for _, c := range cases {
		s := newSimulation(2)
		for range 48 {
			s.advance([]float64{10, 10})
		}
		if c.left {
			s.instances[0].MarkLeft(s.members[1].Name)
		}
		s.instances[0].MarkLost(s.members[1].Name)
		s.instances[0].SetMembers(s.members[:1], s.now)
		s.instances[0].Fraction(resource, s.now.Add(apportioner.DrainWait))
		got := s.instances[0].Fraction(resource, s.now.Add(apportioner.DrainWait+c.after))
		if got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("%s: got fraction %.3f after %v, want %.2f", c.name, got, c.after, c.want)
		}
	}
}
