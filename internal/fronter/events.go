package fronter

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// logMillis is the least time between two log lines about the bounds of one listener, in
// milliseconds.
const logMillis = 10_000

// refusedConnection is the event of a connection that was refused because there were too
// many, beside those of pipeliner.
const refusedConnection pipeliner.Event = "RefusedConnection"

// The events of what comes to a listener and is bounded behind it.
const (
	// RefusedFrame is a link that was ended because a frame on it found no room.
	RefusedFrame pipeliner.Event = "RefusedFrame"
	// RefusedCommand is an operator's command that found no room.
	RefusedCommand pipeliner.Event = "RefusedCommand"
)

// events counts what a listener does because a bound is reached, and logs it from time
// to time. It is safe for concurrent use and takes no lock.
type events struct {
	listener string
	registry metrics.Registry
	log      zerolog.Logger
	// counters holds a counter for each event.
	counters map[pipeliner.Event]metrics.Counter
	// loggedAt is when the last line was written, in nanoseconds since the Unix epoch.
	loggedAt atomic.Int64
}

func newEvents(listener string, registry metrics.Registry, log zerolog.Logger) *events {
	created := &events{
		listener: listener,
		registry: registry,
		log:      log,
		counters: map[pipeliner.Event]metrics.Counter{},
	}
	for _, event := range append(pipeliner.Events(), refusedConnection, RefusedFrame, RefusedCommand) {
		name := fmt.Sprintf("hemlockport_bounds_total{listener=%q,event=%q}", listener, event)
		created.counters[event] = metrics.GetOrRegisterCounter(name, registry)
	}
	return created
}

// gauge registers a gauge of the listener.
func (e *events) gauge(name string, value func() int64) {
	// The names are unique, so that registering them does not fail.
	_ = e.registry.Register(fmt.Sprintf("%s{listener=%q}", name, e.listener), metrics.NewFunctionalGauge(value))
}

// add counts an event. The first one, and then the first one after logMillis, writes
// a line with the counts so far. A refusal of one request because of its own form counts
// without a line.
func (e *events) add(event pipeliner.Event) {
	e.counters[event].Inc(1)
	switch event {
	case pipeliner.RefusedHeader, pipeliner.RefusedSlow, pipeliner.RefusedMalformed, pipeliner.RefusedHandshake:
		return
	}
	now := time.Now()
	logged := e.loggedAt.Load()
	if now.UnixNano()-logged < int64(logMillis*time.Millisecond) || !e.loggedAt.CompareAndSwap(logged, now.UnixNano()) {
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
