// Package timeliner collects the events of all processes into one timeline.
package timeliner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/merger"
)

// eventsTopic is the topic on which peers are queried for their events.
const eventsTopic = "Events"

// gatherTimeout limits the wait for the answers of the peers.
const gatherTimeout = time.Second

// Timeline holds the events of many processes in causal order.
type Timeline struct {
	Events []recorder.Event
	// Missing lists the names of the peers that did not answer.
	Missing []string
}

// Timeliner is the query for the timeline.
type Timeliner struct {
	hub      *linker.Hub
	recorder *recorder.Recorder
}

var (
	filterCodec = encoder.CBOR[merger.Filter]{}
	eventsCodec = encoder.CBOR[[]recorder.Event]{}
)

// New returns the query and registers a handler with the hub, with which this process
// answers the peers' queries for its events. It must be called before the hub runs.
func New(hub *linker.Hub, ownRecorder *recorder.Recorder) *Timeliner {
	timeliner := &Timeliner{
		hub:      hub,
		recorder: ownRecorder,
	}
	ownQuery := handler.QueryFunc[merger.Filter, []recorder.Event](timeliner.ownEvents)
	linker.Handle(hub, eventsTopic, ownQuery, filterCodec, eventsCodec)
	return timeliner
}

// Ask returns the events of this process and of all linked peers that match a filter.
func (t *Timeliner) Ask(ctx context.Context, filter merger.Filter) (Timeline, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var mu sync.Mutex
	var timeline Timeline
	sources := [][]recorder.Event{t.recorder.Events()}
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range t.hub.Peers() {
		group.Go(func() error {
			peerEvents, err := linker.Call(ctx, t.hub, peer.Member.Incarnation, eventsTopic, filter, filterCodec, eventsCodec)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				timeline.Missing = append(timeline.Missing, peer.Member.Name)
				return nil
			}
			sources = append(sources, peerEvents)
			return nil
		})
	}
	err := group.Wait()
	timeline.Events = merger.Merge(filter, sources...)
	return timeline, err
}

// ownEvents returns the events of this process that match a filter.
func (t *Timeliner) ownEvents(_ context.Context, filter merger.Filter) ([]recorder.Event, error) {
	return merger.Merge(filter, t.recorder.Events()), nil
}
