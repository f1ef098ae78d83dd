// Package timeliner collects the events of this instance and of all linked ones into
// one timeline. Package merger decides their order, and package recorder which events
// are kept.
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

// gatherTimeout is the timeout of the wait for the answers of the peers.
const gatherTimeout = time.Second

// Timeline holds the events of several instances in causal order.
type Timeline struct {
	Events []recorder.Event
	// Missing lists the names of the linked peers that did not answer in time or answered
	// with an error. Instances without a link are not listed.
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

// New returns the query and registers a handler with the hub, with which this instance
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

// Ask returns the events of this instance and of all linked peers that match a filter.
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

// ownEvents returns the events of this instance that match a filter.
func (t *Timeliner) ownEvents(_ context.Context, filter merger.Filter) ([]recorder.Event, error) {
	return merger.Merge(filter, t.recorder.Events()), nil
}
