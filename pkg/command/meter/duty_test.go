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
	"github.com/hemlockport/hemlockport/pkg/storer"
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

type (
	dutyState = leaser.State[meter.Ledger]
	dutyView  = leaser.View[meter.Ledger]
)

// node is one instance. Its boot clock is the world's plus an offset.
type node struct {
	name       string
	machine    int
	boot       time.Duration
	state      dutyState
	progress   meter.Progress
	stopping   bool
	deadUntil  time.Duration
	frozen     time.Duration
	thawedAt   time.Duration
	cutStore   time.Duration
	cutCloud   time.Duration
	cutPeers   time.Duration
	wallStep   time.Duration
	stepUntil  time.Duration
	busy       *operation
	relays     []relay
	callsFrom  time.Duration
	failedFrom time.Duration
}

type relay struct {
	at   time.Duration
	view dutyView
}

// operation is a call in progress. apply runs at applyAt, and answer at answerAt on the node,
// unless it has ended since.
type operation struct {
	applyAt  time.Duration
	answerAt time.Duration
	apply    func(w *world)
	answer   func(w *world, n *node)
}

// arrival is a call that the platform has received.
type arrival struct {
	at      time.Duration
	name    string
	machine string
	token   uint64
	window  int64
	value   int64
	exempt  bool
}

type world struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	view      dutyView
	revision  uint64
	copies    []storeCopy
	late      []*operation
	storeDown time.Duration
	loseStore time.Duration
	delay     time.Duration
	loseCloud time.Duration
	arrivals  []arrival
	// counted makes each computation of a window's counts give another value, so that a
	// window that is computed twice shows.
	counted int64
}

// storeCopy is a copy from which the store may return.
type storeCopy struct {
	at       time.Duration
	view     dutyView
	revision uint64
}

func newWorld(seed uint64) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(dutySeed, seed)),
		revision: 100,
	}
	w.view.Position.Era = 1
	for i := range nodeCount {
		n := &node{
			name: fmt.Sprintf("front-%d", i),
			boot: time.Duration(w.random.IntN(1000)) * time.Second,
		}
		n.start(w)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (n *node) start(w *world) {
	n.machine++
	n.state = leaser.New[meter.Ledger](dutyTerms, leaser.Holder{
		Name:    n.name,
		Machine: n.machineName(),
	}, n.clock(w))
	n.progress = meter.Progress{}
	n.busy = nil
	n.relays = nil
	n.stopping = false
	n.callsFrom = 0
	n.failedFrom = 0
}

func (n *node) machineName() string          { return fmt.Sprintf("%s-%d", n.name, n.machine) }
func (n *node) clock(w *world) time.Duration { return w.now + n.boot }
func (n *node) runs(w *world) bool           { return w.now >= n.deadUntil && w.now >= n.frozen }
func (w *world) latency() time.Duration {
	return time.Duration(1+w.random.IntN(120)) * time.Millisecond
}
func (w *world) epoch() time.Time { return time.Unix(1_767_225_600, 0) }
func (w *world) windowNow() int64 { return meter.WindowAt(w.epoch().Add(w.now), window) }
func (w *world) peers(n *node, from *node) bool {
	return n != from && w.now >= n.cutPeers && w.now >= from.cutPeers
}

// trueTime is what the node takes for true time. The median of four clocks bears one that is
// wrong, but an instance that is cut off from its peers has its own only.
func (n *node) trueTime(w *world) time.Time {
	at := w.epoch().Add(w.now)
	if w.now < n.cutPeers && w.now < n.stepUntil {
		at = at.Add(n.wallStep)
	}
	return at
}

// rank is the node's place among those that it knows to run.
func (n *node) rank(w *world) int {
	before := 0
	for _, other := range w.nodes {
		if other.name < n.name && w.peers(n, other) && other.runs(w) && w.now >= other.cutStore {
			before++
		}
	}
	return before
}

func (n *node) step(w *world) {
	if !n.runs(w) {
		return
	}
	if n.deadUntil != 0 {
		n.deadUntil = 0
		n.start(w)
	}
	waiting := n.relays[:0]
	for _, r := range n.relays {
		if w.now < r.at {
			waiting = append(waiting, r)
			continue
		}
		n.state = n.state.Relayed(r.view, n.clock(w))
	}
	n.relays = waiting
	if n.busy != nil {
		if w.now < n.busy.answerAt {
			return
		}
		ended := n.busy
		n.busy = nil
		ended.answer(w, n)
	}
	n.act(w)
}

func (n *node) act(w *world) {
	now := n.clock(w)
	ledger := n.state.View().Record.Value
	if !n.state.Holds() {
		n.progress = meter.Progress{}
		n.failedFrom = 0
	}
	update, due := dutySchedule.Advance(ledger, n.progress, n.trueTime(w), func(int64) (meter.Counts, bool) {
		w.counted++
		return meter.Counts{"team": w.counted}, true
	})
	pending, isPending := n.progress.Next(ledger)
	action := n.state.Decide(leaser.Wants[meter.Ledger]{
		Eligible:  !n.stopping && w.now >= n.callsFrom,
		Rank:      n.rank(w),
		HasUpdate: due,
		Update:    update,
		Pending:   isPending,
		Release:   n.stopping || n.gaveUp(w),
		Adopt: func(recorded meter.Ledger, complete bool) meter.Ledger {
			return recorded.Adopted(meter.WindowAt(n.trueTime(w), window), complete)
		},
	}, now)
	switch action.Step {
	case leaser.Wait:
		if n.stopping && !n.state.Holds() {
			n.deadUntil = w.now + time.Second
		}
	case leaser.Read:
		n.read(w)
	case leaser.Write:
		n.write(w, action, now)
	case leaser.Call:
		n.call(w, action, pending)
	}
}

// gaveUp reports whether the platform's cloud has accepted none of the node's calls for long.
func (n *node) gaveUp(w *world) bool {
	return n.failedFrom != 0 && w.now-n.failedFrom > 3*time.Second
}

func (n *node) read(w *world) {
	lost := w.now < n.cutStore
	down := false
	var seen dutyView
	n.busy = &operation{
		applyAt:  w.now + w.latency(),
		answerAt: w.now + w.latency() + 150*time.Millisecond,
		apply: func(w *world) {
			down = w.now < w.storeDown
			seen = w.view
		},
		answer: func(w *world, n *node) {
			if lost || down {
				n.state = n.state.Failed(false, n.clock(w))
				return
			}
			n.state = n.state.Read(seen, n.clock(w))
		},
	}
}

func (n *node) write(w *world, action leaser.Action[meter.Ledger], startedAt time.Duration) {
	cut := w.now < n.cutStore
	loses := w.now < w.loseStore && w.random.IntN(2) == 0
	delayed := w.now < w.delay && w.random.IntN(2) == 0
	var down, refused bool
	var position storer.Position
	released := action.Record.Released
	op := &operation{
		applyAt:  w.now + w.latency(),
		answerAt: w.now + w.latency() + 150*time.Millisecond,
		apply: func(w *world) {
			down = w.now < w.storeDown
			refused = action.Revision != w.view.Position.Revision
			if down || cut || refused {
				return
			}
			w.revision++
			position = storer.Position{
				Era:      w.view.Position.Era,
				Revision: w.revision,
			}
			w.view = dutyView{
				Position: position,
				Record:   action.Record,
			}
		},
	}
	op.answer = func(w *world, n *node) {
		now := n.clock(w)
		switch {
		case cut || loses || delayed:
			n.state = n.state.Failed(true, now)
		case down:
			n.state = n.state.Failed(false, now)
		case refused:
			n.state = n.state.Refused(now)
		default:
			n.state = n.state.Written(action.Record, position, startedAt, now)
			if released {
				n.callsFrom = w.now + 10*time.Second
			}
			if view := n.state.View(); view.Position == position {
				w.spread(n, view)
			}
		}
	}
	if cut || loses || delayed {
		op.answerAt = w.now + storeLimit
	}
	if delayed {
		// The call is carried out after its client has given up.
		w.late = append(w.late, &operation{
			applyAt: w.now + storeLimit + time.Duration(w.random.IntN(4000))*time.Millisecond,
			apply:   op.apply,
		})
		op.apply = func(*world) {}
	}
	n.busy = op
}

func (w *world) spread(from *node, view dutyView) {
	for _, n := range w.nodes {
		if w.peers(n, from) {
			n.relays = append(n.relays, relay{
				at:   w.now + w.latency(),
				view: view,
			})
		}
	}
}

func (n *node) call(w *world, action leaser.Action[meter.Ledger], report meter.WindowCounts) {
	cut := w.now < n.cutCloud
	loses := w.now < w.loseCloud && w.random.IntN(2) == 0
	token := n.state.Token()
	machine := n.machineName()
	end := w.now + min(callLimit, action.Until-n.clock(w))
	op := &operation{
		applyAt: w.now + w.latency(),
	}
	arrived := false
	op.apply = func(w *world) {
		if cut || w.now > end {
			return
		}
		arrived = true
		w.arrivals = append(w.arrivals, arrival{
			at:      w.now,
			name:    n.name,
			machine: machine,
			token:   token,
			window:  report.Window,
			value:   report.Counts["team"],
			exempt:  w.now < n.frozen || n.thawedAt != 0 && w.now-n.thawedAt < 300*time.Millisecond,
		})
	}
	op.answerAt = op.applyAt + w.latency()
	if cut || loses {
		op.answerAt = end
	}
	op.answer = func(w *world, n *node) {
		if arrived && !loses {
			n.progress = n.progress.WithAccepted(report.Window)
			n.failedFrom = 0
			return
		}
		n.progress = n.progress.WithUnanswered(report.Window)
		if n.failedFrom == 0 {
			n.failedFrom = w.now
		}
	}
	n.busy = op
}

// holder returns the node that holds the duty, or any.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.state.Holds() && n.runs(w) {
			return n
		}
	}
	return w.nodes[w.random.IntN(nodeCount)]
}

// dutyFailures are the failures that the specification lists, each at the present holder.
var dutyFailures = []struct {
	name  string
	begin func(w *world, n *node, until time.Duration)
}{
	{
		name: "killed",
		begin: func(w *world, n *node, until time.Duration) {
			n.deadUntil = w.now + time.Duration(300+w.random.IntN(3000))*time.Millisecond
		},
	},
	{
		name: "frozen",
		begin: func(w *world, n *node, _ time.Duration) {
			n.frozen = w.now + 10*time.Second
			n.thawedAt = n.frozen
		},
	},
	{
		name:  "cut off from the store",
		begin: func(_ *world, n *node, until time.Duration) { n.cutStore = until },
	},
	{
		name:  "cut off from the cloud",
		begin: func(_ *world, n *node, until time.Duration) { n.cutCloud = until },
	},
	{
		name:  "cut off from its peers",
		begin: func(_ *world, n *node, until time.Duration) { n.cutPeers = until },
	},
	{
		name:  "store down",
		begin: func(w *world, _ *node, until time.Duration) { w.storeDown = until },
	},
	{
		name:  "answers of the store lost",
		begin: func(w *world, _ *node, until time.Duration) { w.loseStore = until },
	},
	{
		name:  "writes carried out later",
		begin: func(w *world, _ *node, until time.Duration) { w.delay = until },
	},
	{
		name:  "answers of the cloud lost",
		begin: func(w *world, _ *node, until time.Duration) { w.loseCloud = until },
	},
	{
		name: "clock step",
		begin: func(w *world, n *node, until time.Duration) {
			n.wallStep = time.Duration(w.random.IntN(8000)-4000) * time.Millisecond
			n.stepUntil = until
		},
	},
	{
		name: "store restored",
		begin: func(w *world, _ *node, _ time.Duration) {
			age := time.Duration(500+w.random.IntN(7000)) * time.Millisecond
			chosen := w.copies[0]
			for _, kept := range w.copies {
				if w.now-kept.at >= age {
					chosen = kept
				}
			}
			era := w.view.Position.Era + 1
			w.view = chosen.view
			w.view.Position.Era = era
			w.revision = chosen.revision
		},
	},
	{
		name:  "planned stop",
		begin: func(_ *world, n *node, _ time.Duration) { n.stopping = true },
	},
}

// runDuty runs one schedule with three failures and returns what it has broken.
func runDuty(seed uint64, order [3]int) error {
	w := newWorld(seed)
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
		order := [3]int{seed % kinds, seed / kinds % kinds, seed / kinds / kinds % kinds}
		group.Go(func() error {
			if err := runDuty(uint64(seed), order); err != nil && failed.Add(1) < 10 {
				t.Errorf("seed %d, %s, %s, %s: %v", seed, dutyFailures[order[0]].name, dutyFailures[order[1]].name, dutyFailures[order[2]].name, err)
			}
			return nil
		})
	}
	_ = group.Wait()
	t.Logf("%d runs of %d orders, %d failed", runs, kinds*kinds*kinds, failed.Load())
}

// TestFailureFreeDuty checks that each window is reported in time by one holder without failures.
func TestFailureFreeDuty(t *testing.T) {
	w := newWorld(0)
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
				tally.Set(fmt.Sprint(sender), changed)
			}
		}
	}
	for number, counts := range want {
		if got := tally.Sum(number); !maps.Equal(got, counts) {
			t.Errorf("window %d: got %v, want %v", number, got, counts)
		}
	}
}
