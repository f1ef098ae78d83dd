// Package fronter opens the front of an instance to strangers: it serves HTTP on a listener
// with a bound on the connections and on the bytes that their requests hold together, counts
// what a bound does, and logs it.
package fronter

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

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
)

// Listener is a listener that strangers reach.
type Listener struct {
	// Lingering is the listener whose connections linger when they are closed.
	Lingering   *closer.Listener
	served      net.Listener
	connections *gatekeeper.Listener
	budget      *bounder.Budget
	events      *events
}

// newListener returns a listener that wraps one that is open.
func newListener(opened net.Listener, spec Spec, events *events) *Listener {
	connections := gatekeeper.New(opened, spec.Share.Connections, func() { events.add(refusedConnection) })
	lingering := closer.New(connections).WithMaxLingering(spec.Share.Connections / lingeringPart)
	created := &Listener{
		Lingering:   lingering,
		served:      lingering,
		connections: connections,
		budget:      bounder.NewBudget(spec.Share.HeldBytes),
		events:      events,
	}
	if spec.TLS != nil {
		created.served = tls.NewListener(lingering, spec.TLS)
	}
	events.gauge("hemlockport_held_bytes", created.budget.Held)
	events.gauge("hemlockport_connections", func() int64 { return int64(connections.Open()) })
	return created
}

// Addr returns the address that the listener is open at.
func (l *Listener) Addr() net.Addr {
	return l.served.Addr()
}

// Count counts an event of what came to the listener.
func (l *Listener) Count(event pipeliner.Event) {
	l.events.add(event)
}

// ServeUntil serves a handler in a goroutine of the group until work ends.
func (l *Listener) ServeUntil(
	work context.Context,
	group *errgroup.Group,
	handler http.Handler,
	settings configurer.Callers,
	onPanic func(reason any),
	opts ...pipeliner.Option,
) {
	server := l.Serve(group, handler, settings, onPanic, opts...)
	context.AfterFunc(work, func() {
		// The error says that work has ended, which is why the server is closed.
		_ = server.Shutdown(work)
	})
}

// Serve serves a handler in a goroutine of the group, until the server that it returns is
// shut down.
func (l *Listener) Serve(
	group *errgroup.Group,
	handler http.Handler,
	settings configurer.Callers,
	onPanic func(reason any),
	opts ...pipeliner.Option,
) *pipeliner.Server {
	opts = append(opts, pipeliner.WithBudget(l.budget), pipeliner.WithEvents(l.events.add))
	server := pipeliner.New(
		handler,
		pipeliner.Limits{
			HeaderBytes:       settings.MaxHeaderBytes,
			HeaderMillis:      settings.HeaderMillis,
			IdleMillis:        settings.IdleMillis,
			WriteMillis:       writeTimeoutMillis,
			BufferedBodyBytes: forwarder.MaxBufferedBytes,
			MaxPipelined:      maxPipelined,
		},
		onPanic,
		opts...,
	)
	l.connections.OnFull(server.CloseWaiting)
	group.Go(func() error { return server.Serve(l.served) })
	return server
}
