package meter_test

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

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
