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
	// step is the time between two reports.
	step = 250 * time.Millisecond
	// resource is the team that all ask for.
	resource = "quilters"
	// groups is how many groups the instances stand in.
	groups = 3
)

// fleet is instances that hear each other's reports.
type fleet struct {
	members []apportioner.Member
	// starts names the current start of each instance.
	starts []string
	parts  []*apportioner.Apportioner
	// counted holds the requests of each instance so far.
	counted []float64
	now     time.Time
	// pending are the reports under way, in the order of their sending.
	pending []*pending
	// newest holds the newest report of each instance.
	newest []sent
	// spread is how many instances hold parts.
	spread int
	// lag returns how long a report or its confirmation is under way, and lost
	// whether it never comes.
	lag  func() time.Duration
	lost func(from, to int) bool
}

// pending is a report under way to one instance, or its confirmation.
type pending struct {
	from      int
	to        int
	report    apportioner.Report
	confirms  bool
	deliverAt time.Time
	// missing holds the instances that have not confirmed the report.
	missing map[int]bool
}

// sent is the newest report of an instance, and who has not confirmed it.
type sent struct {
	report  apportioner.Report
	missing map[int]bool
}

func newFleet(count int) *fleet {
	f := &fleet{
		now:     time.Now(),
		counted: make([]float64, count),
		newest:  make([]sent, count),
		spread:  count,
		lag:     func() time.Duration { return 0 },
		lost:    func(int, int) bool { return false },
	}
	for i := range count {
		f.members = append(f.members, apportioner.Member{
			Name:  fmt.Sprintf("entry-%d", i),
			Group: fmt.Sprintf("region-%d", i%groups),
		})
	}
	for _, member := range f.members {
		part := apportioner.New(member.Name, "1")
		part.SetMembers(f.members, f.now)
		f.starts = append(f.starts, "1")
		f.parts = append(f.parts, part)
	}
	return f
}

// setSpread says how many instances hold parts.
func (f *fleet) setSpread(holders int) {
	f.spread = holders
	for _, part := range f.parts {
		part.SetSpread(resource, holders)
	}
}

// restart starts an instance anew: it knows nothing of before.
func (f *fleet) restart(i int) {
	f.starts[i] += "1"
	f.parts[i] = apportioner.New(f.members[i].Name, f.starts[i])
	f.parts[i].Restart()
	// The others see that it is another start, and tell it what they told before.
	for other := range f.newest {
		if other != i && f.newest[other].missing != nil {
			f.newest[other].missing[i] = true
		}
	}
	f.parts[i].SetMembers(f.members, f.now)
	f.parts[i].SetSpread(resource, f.spread)
	f.newest[i] = sent{}
	// Its links end, with all that is under way on them.
	f.pending = slices.DeleteFunc(f.pending, func(on *pending) bool { return on.from == i || on.to == i })
}

// play lets each instance get requests for one step, and returns the sum of all
// parts after it.
func (f *fleet) play(perSecond []float64) float64 {
	f.now = f.now.Add(step)
	f.deliver()
	for i, part := range f.parts {
		f.counted[i] += perSecond[i] * step.Seconds()
		part.Measure(resource, uint64(f.counted[i]), f.now)
		if report, changed := part.Report(f.now); changed {
			f.newest[i] = f.addressed(i, report)
		}
		f.send(i)
	}
	f.deliver()
	sum := 0.0
	for _, part := range f.parts {
		sum += part.Part(resource, f.now)
	}
	return sum
}

// addressed returns a report to all others.
func (f *fleet) addressed(from int, report apportioner.Report) sent {
	missing := map[int]bool{}
	for to := range f.parts {
		if to != from {
			missing[to] = true
		}
	}
	return sent{
		report:  report,
		missing: missing,
	}
}

// send puts a report on its way to all that have not confirmed it.
func (f *fleet) send(from int) {
	newest := f.newest[from]
	for to := range f.parts {
		if newest.missing[to] {
			f.post(&pending{
				from:    from,
				to:      to,
				report:  newest.report,
				missing: newest.missing,
			})
		}
	}
}

func (f *fleet) post(on *pending) {
	if f.lost(on.from, on.to) {
		return
	}
	on.deliverAt = f.now.Add(f.lag())
	f.pending = append(f.pending, on)
}

// deliver hands over what has come.
func (f *fleet) deliver() {
	for {
		var left []*pending
		due := f.pending
		f.pending = nil
		for _, on := range due {
			if on.deliverAt.After(f.now) {
				left = append(left, on)
				continue
			}
			f.hand(on)
		}
		arrived := len(due) - len(left)
		f.pending = append(left, f.pending...)
		if arrived == 0 {
			return
		}
	}
}

func (f *fleet) hand(on *pending) {
	if on.confirms {
		delete(on.missing, on.from)
		if len(on.missing) == 0 && on.report.Start == f.starts[on.to] {
			f.parts[on.to].Confirm(on.report.Number)
		}
		return
	}
	f.parts[on.to].Hear(f.members[on.from], on.report, f.now)
	f.post(&pending{
		from:     on.to,
		to:       on.from,
		report:   on.report,
		confirms: true,
		missing:  on.missing,
	})
}

func TestPartsFollowDemand(t *testing.T) {
	cases := []struct {
		name   string
		demand []float64
		// least is the least part of each instance after ten seconds.
		least []float64
	}{
		{
			name:   "even",
			demand: []float64{10, 10, 10, 10},
			least:  []float64{0.24, 0.24, 0.24, 0.24},
		},
		{
			name:   "one has most",
			demand: []float64{2, 2, 2, 18},
			least:  []float64{0.1, 0.1, 0.1, 0.6},
		},
		{
			name:   "nobody has any",
			demand: make([]float64, 4),
			least:  []float64{0.25, 0.25, 0.25, 0.25},
		},
	}
	for _, c := range cases {
		f := newFleet(len(c.demand))
		for range 40 {
			f.play(c.demand)
		}
		for i, part := range f.parts {
			if got := part.Part(resource, f.now); got < c.least[i] {
				t.Errorf("%s: instance %d has %.3f, want at least %.3f", c.name, i, got, c.least[i])
			}
		}
	}
}

// longestLag is how long a report or a confirmation is under way at most.
const longestLag = 1500 * time.Millisecond

// The sum of parts stays within the whole while demand jumps, reports and
// confirmations lag, overtake one another and are lost, ways are cut, and instances
// start anew, singly and all at once.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	const tolerance = 1e-9
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 11))
		f := newFleet(2 + random.IntN(12))
		f.setSpread(1 + random.IntN(len(f.parts)))
		cut := -1
		startedAt := f.now
		f.lag = func() time.Duration { return time.Duration(random.Int64N(int64(longestLag))) }
		f.lost = func(from, to int) bool {
			return from == cut || to == cut || random.IntN(50) == 0
		}
		demand := make([]float64, len(f.parts))
		for range 80 {
			if random.IntN(4) == 0 {
				demand[random.IntN(len(demand))] = random.Float64() * 100
			}
			settled := f.now.Sub(startedAt) > apportioner.HearWait+2*longestLag
			if random.IntN(20) == 0 && settled {
				cut = random.IntN(len(demand)+1) - 1
			}
			if random.IntN(15) == 0 && cut < 0 {
				startedAt = f.now
				f.restart(random.IntN(len(demand)))
			}
			if random.IntN(100) == 0 && cut < 0 {
				startedAt = f.now
				for i := range f.parts {
					f.restart(i)
				}
			}
			if sum := f.play(demand); sum > 1+tolerance {
				t.Fatalf("seed %d: parts add up to %v", seed, sum)
			}
		}
	}
}

// Within a second of steady demand nearly all of a limit is in use.
func TestPartsUseTheWhole(t *testing.T) {
	f := newFleet(12)
	f.lag = func() time.Duration { return 60 * time.Millisecond }
	demand := make([]float64, len(f.parts))
	for i := range demand {
		demand[i] = float64(1 + i)
	}
	sum := 0.0
	for range 16 {
		sum = f.play(demand)
	}
	if sum < 0.9 {
		t.Fatalf("parts add up to %.3f after four seconds, want 0.9", sum)
	}
}

// An instance has nothing until all others have heard of it.
func TestNewcomerWaits(t *testing.T) {
	now := time.Now()
	part := apportioner.New("entry-0", "1")
	other := apportioner.Member{
		Name: "entry-1",
	}
	part.SetMembers([]apportioner.Member{
		{
			Name: "entry-0",
		},
		other,
	}, now)
	report, changed := part.Report(now)
	if !changed {
		t.Fatal("the first report is not made")
	}
	if got := part.Part(resource, now); got != 0 {
		t.Fatalf("part %v before anybody knows, want 0", got)
	}
	part.Confirm(report.Number)
	if got := part.Part(resource, now); got >= 0.5 {
		t.Fatalf("part %v before the other has reported, want less than 0.5", got)
	}
	part.Hear(other, apportioner.Report{
		Start:  "1",
		Number: 1,
	}, now)
	if got := part.Part(resource, now); got != 0.5 {
		t.Fatalf("part %v, want 0.5", got)
	}
}

// A limit that is split over few holders is split over as many of each group as the
// others let, the same ones at all instances, and used whole.
func TestFewHolders(t *testing.T) {
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
			name:      "one a group",
			instances: 12,
			holders:   groups,
		},
		{
			name:      "all",
			instances: 12,
			holders:   12,
		},
		{
			name:      "of many",
			instances: 85,
			holders:   15,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.instances)
			f.setSpread(c.holders)
			demand := make([]float64, c.instances)
			for i := range demand {
				demand[i] = 2
			}
			sum := 0.0
			for range 24 {
				sum = f.play(demand)
			}
			if sum < 0.9 || sum > 1+1e-9 {
				t.Errorf("parts add up to %v, want nearly 1", sum)
			}
			perGroup := map[string]int{}
			for i, part := range f.parts {
				holders := part.Holders(resource)
				if !slices.Equal(holders, f.parts[0].Holders(resource)) || len(holders) != c.holders {
					t.Fatalf("instance %d names the holders %v", i, holders)
				}
				if part.Part(resource, f.now) > 0 {
					perGroup[f.members[i].Group]++
				}
			}
			for group, count := range perGroup {
				if most := (c.holders + groups - 1) / groups; count > most {
					t.Errorf("%s has %d holders, want at most %d", group, count, most)
				}
			}
		})
	}
}
