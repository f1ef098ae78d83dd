// Package replicator copies the events of one process to two others, so that the
// time line still tells them once the process has gone.
package replicator

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/stamper"
)

const (
	// topic is the name under which peers take copies.
	topic = "Keep"
	// copies is how many peers hold each event.
	copies = 2
	// interval is the time between two rounds.
	interval = 500 * time.Millisecond
	// sendLimit bounds one copying.
	sendLimit = time.Second
)

// Taken is a peer's answer to a copy.
type Taken struct {
	Events int
}

var (
	events = encoder.CBOR[[]recorder.Event]{}
	takens = encoder.CBOR[Taken]{}
)

// Replicator copies the events of a recorder. Safe for many goroutines.
type Replicator struct {
	hub      *linker.Hub
	recorder *recorder.Recorder
	// flushing orders the copies and guards sent.
	flushing sync.Mutex
	// sent is the last event copied.
	sent stamper.Stamp
}

// New returns a replicator and lets peers leave copies with this process.
func New(hub *linker.Hub, own *recorder.Recorder) *Replicator {
	keep := handler.CommandFunc[[]recorder.Event, Taken](
		func(_ context.Context, copied []recorder.Event) (Taken, error) {
			own.Keep(copied)
			return Taken{
				Events: len(copied),
			}, nil
		},
	)
	linker.HandleCommand(hub, topic, keep, events, takens)
	return &Replicator{
		hub:      hub,
		recorder: own,
	}
}

// Run copies new events again and again until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	for retrier.Sleep(ctx, interval) == nil {
		r.Flush(ctx)
	}
	return nil
}

// Flush copies the events that have come since the last copy that arrived.
func (r *Replicator) Flush(ctx context.Context) {
	r.flushing.Lock()
	defer r.flushing.Unlock()
	var fresh []recorder.Event
	for _, event := range r.recorder.Own() {
		if event.At > r.sent {
			fresh = append(fresh, event)
		}
	}
	if len(fresh) == 0 || !r.send(ctx, fresh) {
		return
	}
	r.sent = fresh[len(fresh)-1].At
}

// send copies events to the next peers and says whether one of them took them.
func (r *Replicator) send(ctx context.Context, fresh []recorder.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	taken := 0
	for _, peer := range r.hub.Successors() {
		_, err := linker.Ask(ctx, r.hub, peer.Member.Incarnation, topic, fresh, events, takens)
		if err == nil {
			taken++
		}
		if taken == copies {
			break
		}
	}
	return taken > 0
}
