package steerer

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/closer"
	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/gatekeeper"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

const (
	// writeTimeoutMillis bounds the writing of a response whose request set no deadline
	// of its own, in milliseconds.
	writeTimeoutMillis = 60_000
	// maxPipelined is how many requests of one connection are processed concurrently.
	maxPipelined = 16
	// lingeringPart is the part of the connections of a listener that may linger at the
	// same time: one in lingeringPart.
	lingeringPart = 8
	// boundLogMillis is the least time between two log lines about the bounds of one
	// listener, in milliseconds.
	boundLogMillis = 10_000
)

// refusedConnection is the event of a connection that was refused because there were too
// many, beside those of pipeliner.
const refusedConnection pipeliner.Event = "RefusedConnection"

// boundsOf returns the bounds for the machine in the settings.
func boundsOf(settings configurer.Settings) bounder.Bounds {
	machine := bounder.Machine{
		MemoryMB:    settings.Capacity.MemoryMB,
		Descriptors: settings.Capacity.Descriptors,
	}
	return machine.Bounds()
}

// maxInFlight returns how many requests run at the same time: as many as the settings say,
// and no more than the machine has descriptors for.
func maxInFlight(settings configurer.Settings) int {
	limit := settings.Callers.MaxInFlight
	if bound := boundsOf(settings).InFlight; bound > 0 {
		limit = min(limit, bound)
	}
	return limit
}

// publicListener is a listener that strangers reach. It bounds the connections, and the
// bytes that their requests hold together.
type publicListener struct {
	net.Listener
	connections *gatekeeper.Listener
	lingering   *closer.Listener
	budget      *bounder.Budget
	events      *boundEvents
}

func newPublicListener(
	name string,
	listener net.Listener,
	share bounder.Share,
	receiveBytes int,
	registry metrics.Registry,
	log zerolog.Logger,
) publicListener {
	events := newBoundEvents(name, registry, log)
	connections := gatekeeper.New(listener, share.Connections, receiveBytes, func() { events.add(refusedConnection) })
	lingering := closer.New(connections).WithMaxLingering(share.Connections / lingeringPart)
	budget := bounder.NewBudget(share.HeldBytes)
	_ = registry.Register(
		fmt.Sprintf("hemlockport_held_bytes{listener=%q}", name),
		metrics.NewFunctionalGauge(budget.Held),
	)
	_ = registry.Register(
		fmt.Sprintf("hemlockport_connections{listener=%q}", name),
		metrics.NewFunctionalGauge(func() int64 { return int64(connections.Open()) }),
	)
	return publicListener{
		Listener:    lingering,
		connections: connections,
		lingering:   lingering,
		budget:      budget,
		events:      events,
	}
}

// servePublic serves a handler on a listener that strangers reach.
func (s *Steerer) servePublic(group *errgroup.Group, listener publicListener, handler http.Handler) *pipeliner.Server {
	server := pipeliner.New(
		handler,
		pipeliner.Limits{
			HeaderBytes:       s.settings.Callers.MaxHeaderBytes,
			HeaderMillis:      s.settings.Callers.HeaderMillis,
			IdleMillis:        s.settings.Callers.IdleMillis,
			WriteMillis:       writeTimeoutMillis,
			BufferedBodyBytes: forwarder.MaxBufferedBytes,
			MaxPipelined:      maxPipelined,
		},
		func(reason any) { s.log.Error().Interface("Reason", reason).Msg("HandlerPanicked") },
		pipeliner.WithBudget(listener.budget),
		pipeliner.WithEvents(listener.events.add),
	)
	listener.connections.OnFull(server.CloseWaiting)
	group.Go(func() error { return server.Serve(listener) })
	return server
}

// boundEvents counts what a listener does because a bound is reached, and logs it from time
// to time. It is safe for concurrent use and takes no lock.
type boundEvents struct {
	listener string
	log      zerolog.Logger
	// counters holds a counter for each event.
	counters map[pipeliner.Event]metrics.Counter
	// loggedAt is when the last line was written, in nanoseconds since the Unix epoch.
	loggedAt atomic.Int64
}

func newBoundEvents(listener string, registry metrics.Registry, log zerolog.Logger) *boundEvents {
	events := &boundEvents{
		listener: listener,
		log:      log,
		counters: map[pipeliner.Event]metrics.Counter{},
	}
	for _, event := range append(pipeliner.Events(), refusedConnection) {
		name := fmt.Sprintf("hemlockport_bounds_total{listener=%q,event=%q}", listener, event)
		events.counters[event] = metrics.GetOrRegisterCounter(name, registry)
	}
	return events
}

// add counts an event. The first one, and then the first one after boundLogMillis, writes
// a line with the counts so far. A refusal of one request because of its own form counts
// without a line.
func (e *boundEvents) add(event pipeliner.Event) {
	e.counters[event].Inc(1)
	switch event {
	case pipeliner.RefusedHeader, pipeliner.RefusedSlow, pipeliner.RefusedMalformed:
		return
	}
	now := time.Now()
	logged := e.loggedAt.Load()
	if now.UnixNano()-logged < int64(boundLogMillis*time.Millisecond) || !e.loggedAt.CompareAndSwap(logged, now.UnixNano()) {
		return
	}
	line := e.log.Warn().Str("Listener", e.listener).Str("Event", string(event))
	for event, counter := range e.counters {
		if count := counter.Count(); count > 0 {
			line = line.Int64(string(event), count)
		}
	}
	line.Msg("BoundReached")
}
