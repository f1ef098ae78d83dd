package meter_test

import (
	"time"
)

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
