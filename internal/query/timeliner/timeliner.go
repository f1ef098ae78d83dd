// Package timeliner gathers the events of all processes into one time line.
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

// topic is the name under which peers are asked for their events.
const topic = "Events"

// gatherLimit bounds the wait for the peers.
const gatherLimit = time.Second

// TimeLine is the events of many processes in causal order.
type TimeLine struct {
	Events []recorder.Event
	// Missing names the peers that did not answer.
	Missing []string
}

// Timeliner is the query for the time line.
type Timeliner struct {
	hub      *linker.Hub
	recorder *recorder.Recorder
}

var (
	filters = encoder.CBOR[merger.Filter]{}
	events  = encoder.CBOR[[]recorder.Event]{}
)

// New returns the query and lets peers ask this process for its events.
func New(hub *linker.Hub, own *recorder.Recorder) *Timeliner {
	timeliner := &Timeliner{
		hub:      hub,
		recorder: own,
	}
	ownEvents := handler.QueryFunc[merger.Filter, []recorder.Event](timeliner.own)
	linker.Handle(hub, topic, ownEvents, filters, events)
	return timeliner
}

// Ask gathers the events that a filter takes, from this process and all linked
// peers.
func (t *Timeliner) Ask(ctx context.Context, filter merger.Filter) (TimeLine, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherLimit)
	defer cancel()
	var gathering sync.Mutex
	var line TimeLine
	sources := [][]recorder.Event{t.recorder.Events()}
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range t.hub.Peers() {
		group.Go(func() error {
			theirs, err := linker.Ask(ctx, t.hub, peer.Member.Incarnation, topic, filter, filters, events)
			gathering.Lock()
			defer gathering.Unlock()
			if err != nil {
				line.Missing = append(line.Missing, peer.Member.Name)
				return nil
			}
			sources = append(sources, theirs)
			return nil
		})
	}
	err := group.Wait()
	line.Events = merger.Merge(filter, sources...)
	return line, err
}

func (t *Timeliner) own(_ context.Context, filter merger.Filter) ([]recorder.Event, error) {
	return merger.Merge(filter, t.recorder.Events()), nil
}
