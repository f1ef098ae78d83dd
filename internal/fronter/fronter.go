// Package fronter opens the front of an instance to strangers: it serves HTTP on a listener
// with a bound on the connections and on the bytes that their requests hold together, counts
// what a bound does, and logs it.
package fronter

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"

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

// Options says what a listener may hold, and where it reports to.
type Options struct {
	// Name names the listener in log lines and metrics.
	Name string
	// Share is what the listener may hold.
	Share bounder.Share
	// ReceiveBytes is the size of the kernel's receive buffer of a connection, in bytes; 0
	// leaves it to the kernel.
	ReceiveBytes int
	Registry     metrics.Registry
	Log          zerolog.Logger
}

// New returns a listener that wraps one that is open.
func New(opened net.Listener, options Options) *Listener {
	events := newEvents(options)
	connections := gatekeeper.New(opened, options.Share.Connections, options.ReceiveBytes, func() { events.add(refusedConnection) })
	lingering := closer.New(connections).WithMaxLingering(options.Share.Connections / lingeringPart)
	budget := bounder.NewBudget(options.Share.HeldBytes)
	// The names are unique, so that registering them does not fail.
	_ = options.Registry.Register(
		fmt.Sprintf("hemlockport_held_bytes{listener=%q}", options.Name),
		metrics.NewFunctionalGauge(budget.Held),
	)
	_ = options.Registry.Register(
		fmt.Sprintf("hemlockport_connections{listener=%q}", options.Name),
		metrics.NewFunctionalGauge(func() int64 { return int64(connections.Open()) }),
	)
	return &Listener{
		Lingering:   lingering,
		served:      lingering,
		connections: connections,
		budget:      budget,
		events:      events,
	}
}

// WithTLS returns a copy that is served over TLS, unless the configuration is nil.
func (l *Listener) WithTLS(config *tls.Config) *Listener {
	secured := *l
	if config != nil {
		secured.served = tls.NewListener(l.Lingering, config)
	}
	return &secured
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

// BoundsOf returns the bounds for a machine with a capacity.
func BoundsOf(capacity configurer.Capacity) bounder.Bounds {
	machine := bounder.Machine{
		MemoryMB:    int(capacity.MemoryMB),
		Descriptors: int(capacity.Descriptors),
	}
	return machine.Bounds()
}

// MaxInFlight returns how many requests run at the same time: as many as the settings say,
// and no more than the machine has descriptors for.
func MaxInFlight(settings configurer.Settings) int {
	limit := settings.Callers.MaxInFlight
	if bound := BoundsOf(settings.Capacity).InFlight; bound > 0 {
		limit = min(limit, bound)
	}
	return limit
}
