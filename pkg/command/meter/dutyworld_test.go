package meter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

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

func newWorld(base, seed uint64) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(base, seed)),
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
