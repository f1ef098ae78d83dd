// Package replicator copies the events of one instance to two peers, so that the
// timeline still shows them after the instance's process has ended.
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
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

const (
	// topicKeep is the topic on which peers accept copies.
	topicKeep = "Keep"
	// copiesPerEvent is how many peers hold a copy of each event.
	copiesPerEvent = 2
	// copyInterval is the time between two rounds of copying.
	copyInterval = 500 * time.Millisecond
	// sendTimeout is the timeout of one round of copying.
	sendTimeout = time.Second
)

// Acknowledgement is a peer's answer to copies: how many events it has accepted.
type Acknowledgement struct {
	Events int
}

var (
	eventsCodec          = encoder.CBOR[[]recorder.Event]{}
	acknowledgementCodec = encoder.CBOR[Acknowledgement]{}
)

// Replicator copies the events of a recorder to peers. It is safe for concurrent use.
type Replicator struct {
	hub      *linker.Hub
	recorder *recorder.Recorder
	// mutex serializes the rounds of copying and guards lastCopied.
	mutex sync.Mutex
	// lastCopied is the stamp of the last event copied.
	lastCopied timestamper.Timestamp
}

// New returns a replicator and registers the topic on which peers copy their events
// to this instance.
func New(hub *linker.Hub, own *recorder.Recorder) *Replicator {
	keep := handler.CommandFunc[[]recorder.Event, Acknowledgement](
		func(_ context.Context, copied []recorder.Event) (Acknowledgement, error) {
			own.AddCopies(copied)
			return Acknowledgement{
				Events: len(copied),
			}, nil
		},
	)
	linker.HandleCommand(hub, topicKeep, keep, eventsCodec, acknowledgementCodec)
	return &Replicator{
		hub:      hub,
		recorder: own,
	}
}

// Run copies new events at regular intervals until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	for retrier.Sleep(ctx, copyInterval) == nil {
		r.Flush(ctx)
	}
	return nil
}

// Flush copies the events recorded since the last successful round of copying.
func (r *Replicator) Flush(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var uncopied []recorder.Event
	for _, event := range r.recorder.OwnEvents() {
		if event.At > r.lastCopied {
			uncopied = append(uncopied, event)
		}
	}
	if len(uncopied) == 0 || !r.send(ctx, uncopied) {
		return
	}
	r.lastCopied = uncopied[len(uncopied)-1].At
}

// send copies events to the next peers until copiesPerEvent of them have accepted
// the events, and reports whether any of them did.
func (r *Replicator) send(ctx context.Context, uncopied []recorder.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	accepted := 0
	for _, peer := range r.hub.Successors() {
		_, err := linker.Call(ctx, r.hub, peer.Member.Incarnation, topicKeep, uncopied, eventsCodec, acknowledgementCodec)
		if err == nil {
			accepted++
		}
		if accepted == copiesPerEvent {
			break
		}
	}
	return accepted > 0
}
