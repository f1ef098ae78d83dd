package meter_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

const (
	// dutyRounds is how often each order of three failures is run, with other times.
	dutyRounds = 6
	// dutySeed makes every run check the same schedules.
	dutySeed = 20261206
	// The platform's bounds, as the specification has them.
	leaseTime  = 3 * time.Second
	usageLate  = 10 * time.Second
	window     = 5 * time.Second
	nodeCount  = 4
	tick       = 50 * time.Millisecond
	failFrom   = 12 * time.Second
	failUntil  = 34 * time.Second
	runTime    = 75 * time.Second
	callLimit  = 1500 * time.Millisecond
	storeLimit = 2 * time.Second
)

var dutyTerms = leaser.Terms{
	Lease:  7 * time.Second,
	Quiet:  leaseTime,
	Margin: 500 * time.Millisecond,
	Turn:   700 * time.Millisecond,
	Renew:  6 * time.Second,
	Retry:  500 * time.Millisecond,
}

var dutySchedule = meter.Schedule{
	Length:       window,
	Settle:       2 * time.Second,
	SettleLatest: 4 * time.Second,
}

// runDuty runs one schedule with three failures and returns what it has broken.
func runDuty(base, seed uint64, order [3]int) error {
	w := newWorld(base, seed)
	type start struct {
		at      time.Duration
		failure int
	}
	var starts []start
	at := failFrom
	for _, failure := range order {
		// A third of the failures begin together with the one before.
		if w.random.IntN(3) > 0 {
			at += time.Duration(w.random.IntN(int((failUntil-failFrom)/3/time.Millisecond))) * time.Millisecond
		}
		starts = append(starts, start{
			at:      at,
			failure: failure,
		})
	}
	for ; w.now < runTime; w.now += tick {
		if w.now%(500*time.Millisecond) == 0 {
			w.copies = append(w.copies, storeCopy{
				at:       w.now,
				view:     w.view,
				revision: w.revision,
			})
		}
		for len(starts) > 0 && w.now >= starts[0].at {
			until := w.now + time.Duration(500+w.random.IntN(10_000))*time.Millisecond
			dutyFailures[starts[0].failure].begin(w, w.holder(), until)
			starts = starts[1:]
		}
		w.applyDue()
		for _, n := range w.nodes {
			n.step(w)
		}
	}
	return w.check()
}

func (w *world) applyDue() {
	waiting := w.late[:0]
	for _, op := range w.late {
		if w.now < op.applyAt {
			waiting = append(waiting, op)
			continue
		}
		op.apply(w)
	}
	w.late = waiting
	for _, n := range w.nodes {
		if n.busy != nil && n.busy.apply != nil && w.now >= n.busy.applyAt {
			apply := n.busy.apply
			n.busy.apply = nil
			apply(w)
		}
	}
}

func (w *world) check() error {
	values := map[int64]int64{}
	inTime := map[int64]bool{}
	machines := map[uint64]string{}
	var highest uint64
	var counted []arrival
	for _, got := range w.arrivals {
		if value, found := values[got.window]; found && value != got.value {
			return fmt.Errorf("window %d has the reports %d and %d, the second from %s", got.window, value, got.value, got.machine)
		}
		values[got.window] = got.value
		inTime[got.window] = inTime[got.window] || w.epoch().Add(got.at).Before(meter.EndOf(got.window, window).Add(usageLate))
		if machine, found := machines[got.token]; found && machine != got.machine {
			return fmt.Errorf("token %d was used by %s and %s", got.token, machine, got.machine)
		}
		machines[got.token] = got.machine
		if got.exempt {
			continue
		}
		if got.token < highest {
			return fmt.Errorf("token %d after %d at %v", got.token, highest, got.at)
		}
		highest = got.token
		counted = append(counted, got)
	}
	for i, last := range counted {
		between := false
		for j := i - 1; j >= 0 && last.at-counted[j].at < leaseTime; j-- {
			if counted[j].name == last.name && between {
				return fmt.Errorf("%s acted again at %v, after another one", last.name, last.at)
			}
			between = between || counted[j].name != last.name
		}
	}
	for missing := w.windowNow() - 4; missing < w.windowNow()-2; missing++ {
		if !inTime[missing] {
			return fmt.Errorf("window %d, after all failures, was not reported in time", missing)
		}
	}
	return nil
}

// TestDutyUnderAllOrdersOfFailures checks that no window has two different reports, that fencing
// tokens only rise and have one machine each, that holders do not alternate inside the lease, and
// that windows are reported in time again after the failures, in every order of three failures.
func TestDutyUnderAllOrdersOfFailures(t *testing.T) {
	kinds := len(dutyFailures)
	runs := dutyRounds * kinds * kinds * kinds
	var group errgroup.Group
	group.SetLimit(runtime.NumCPU())
	var failed atomic.Int64
	for seed := range runs {
		order := orderOf(seed)
		group.Go(func() error {
			if err := runDuty(dutySeed, uint64(seed), order); err != nil && failed.Add(1) < 10 {
				t.Errorf("seed %d, %s, %s, %s: %v", seed, dutyFailures[order[0]].name, dutyFailures[order[1]].name, dutyFailures[order[2]].name, err)
			}
			return nil
		})
	}
	_ = group.Wait()
	t.Logf("%d runs of %d orders, %d failed", runs, kinds*kinds*kinds, failed.Load())
}

// orderOf returns the failures of a run.
func orderOf(seed int) [3]int {
	kinds := len(dutyFailures)
	return [3]int{seed % kinds, seed / kinds % kinds, seed / kinds / kinds % kinds}
}

// TestDutyRegressions runs schedules that have failed before.
func TestDutyRegressions(t *testing.T) {
	cases := []struct {
		base  uint64
		seeds []int
		cause string
	}{
		{
			base:  777,
			seeds: []int{8434, 30_895, 34_354, 39_010, 42_986, 46_449},
			cause: "a write of the era before took effect after a restore, and its reports were sent although the lease went on without them",
		},
	}
	for _, c := range cases {
		for _, seed := range c.seeds {
			if err := runDuty(c.base, uint64(seed), orderOf(seed)); err != nil {
				t.Errorf("seed %d (%s): %v", seed, c.cause, err)
			}
		}
	}
}

// TestFailureFreeDuty checks that each window is reported in time by one holder without failures.
func TestFailureFreeDuty(t *testing.T) {
	w := newWorld(dutySeed, 0)
	for ; w.now < runTime; w.now += tick {
		w.applyDue()
		for _, n := range w.nodes {
			n.step(w)
		}
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
	tokens := map[uint64]bool{}
	for _, got := range w.arrivals {
		tokens[got.token] = true
	}
	writes := w.revision - 100
	if len(tokens) != 1 || writes > uint64(runTime/window)+2 {
		t.Fatalf("got %d tokens and %d writes in %v, want 1 token and about a write a window", len(tokens), writes, runTime)
	}
}

// TestRepeatsCountOnce checks that the sums of cumulative counts are those of the instances,
// also if messages are lost and repeated, and that requests that have not run are subtracted.
func TestRepeatsCountOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(dutySeed, 1))
	counters := make([]meter.Counter, 5)
	outboxes := make([]*meter.Outbox, len(counters))
	for i := range outboxes {
		outboxes[i] = meter.NewOutbox()
	}
	want := map[int64]meter.Counts{}
	tally := meter.NewTally()
	for step := range 2000 {
		sender, current := random.IntN(len(counters)), int64(100+step/500)
		team := fmt.Sprint("team-", random.IntN(3))
		count := counters[sender].Begin(current, team)
		if random.IntN(10) == 0 {
			count.Add(-1)
		} else {
			if want[current] == nil {
				want[current] = meter.Counts{}
			}
			want[current][team]++
		}
		if random.IntN(20) == 0 {
			outboxes[sender].ForgetAll()
		}
		for _, changed := range outboxes[sender].Take("leader", counters[sender].Windows(0)) {
			for range 1 + random.IntN(2) {
				tally.Set(fmt.Sprint(sender), uint64(step), changed)
			}
		}
	}
	for number, counts := range want {
		if got := tally.Sum(number); !maps.Equal(got, counts) {
			t.Errorf("window %d: got %v, want %v", number, got, counts)
		}
	}
}
