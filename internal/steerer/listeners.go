package steerer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/binder"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// metricsPath is the path at which collectors read the metrics.
const metricsPath = "/metrics"

// listeners are the open listeners of an instance. Strangers reach all but those of peers
// and operators.
type listeners struct {
	callers   *fronter.Listener
	lookups   *fronter.Listener
	readiness *fronter.Listener
	peers     net.Listener
	operators net.Listener
}

// openListeners opens the listeners at the addresses in the settings.
func openListeners(settings configurer.Settings, registry metrics.Registry, log zerolog.Logger) (listeners, error) {
	var opened listeners
	var callers, lookups, readiness net.Listener
	err := binder.Open(
		binder.Binding{
			Setting:  "Callers.Listen",
			Address:  settings.Callers.Listen,
			Listener: &callers,
		},
		binder.Binding{
			Setting:  "Peers.Listen",
			Address:  settings.Peers.Listen,
			Listener: &opened.peers,
		},
		binder.Binding{
			Setting:  "Operators.Listen",
			Address:  settings.Operators.Listen,
			Listener: &opened.operators,
		},
		binder.Binding{
			Setting:  "Lookups.Listen",
			Address:  settings.Lookups.Listen,
			Listener: &lookups,
		},
		binder.Binding{
			Setting:  "Readiness.Listen",
			Address:  settings.Readiness.Listen,
			Listener: &readiness,
		},
	)
	if err != nil {
		return opened, err
	}
	bounds := fronter.BoundsOf(settings.Capacity)
	front := func(name string, listener net.Listener, share bounder.Share) *fronter.Listener {
		return fronter.New(listener, fronter.Options{
			Name:         name,
			Share:        share,
			ReceiveBytes: bounds.ReceiveBytes,
			Registry:     registry,
			Log:          log,
		})
	}
	opened.callers = front("callers", callers, bounds.Callers)
	opened.lookups = front("lookups", lookups, bounds.Lookups)
	opened.readiness = front("readiness", readiness, bounds.Readiness)
	return opened, nil
}

// startListeners serves all listeners. The function that it returns stops serving
// callers, whose requests may finish until its context ends. The other listeners are
// closed when work ends.
func (s *Steerer) startListeners(group *errgroup.Group, work context.Context) func(context.Context) {
	s.callerServer = s.listeners.callers.Serve(group, s.receiver, s.settings.Callers, s.logPanic,
		pipeliner.WithUnsafe(s.receiver.IsUnsafe))
	lookups := s.platform.NewLookupHandler(s.lookup)
	lookupServer := s.listeners.lookups.Serve(group, lookups, s.settings.Callers, s.logPanic)
	readiness := s.platform.NewReadinessHandler(s.ready)
	readinessServer := s.listeners.readiness.Serve(group, readiness, s.settings.Callers, s.logPanic)
	context.AfterFunc(work, func() {
		// The error says that work has ended, which is why the servers are closed.
		_ = lookupServer.Shutdown(work)
		_ = readinessServer.Shutdown(work)
	})
	linkMux := http.NewServeMux()
	linkMux.Handle("GET "+linker.Path, s.hub)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+metricsPath, s.serveMetrics)
	metricsMux.Handle("GET "+responder.PathRoute, responder.RouteHandler(previewer.New(s.settings.Name, admitter.New(s.plans, s.freshness))))
	endpoints := []struct {
		handler  http.Handler
		listener net.Listener
	}{
		{
			handler:  linkMux,
			listener: s.listeners.peers,
		},
		{
			handler:  metricsMux,
			listener: s.listeners.operators,
		},
	}
	for _, endpoint := range endpoints {
		server := s.httpServer(endpoint.handler)
		binder.Serve(group, server, endpoint.listener)
		context.AfterFunc(work, func() { server.Close() })
	}
	return func(ctx context.Context) {
		if err := s.callerServer.Shutdown(ctx); err != nil {
			s.log.Warn().Err(err).Int("InFlight", s.inFlight.Count()).Msg("RequestsBrokenOff")
		}
		s.listeners.callers.Lingering.Wait()
	}
}

// The largest limits that raiseLimits takes over from a declaration.
const (
	maxDeclaredHeaderBytes = 1_000_000
	maxDeclaredMillis      = 3_600_000
)

// raiseLimits raises the limits of callers' connections to those of a declaration, so that
// none of a caller that keeps to them is refused or closed. Limits of the settings that are
// higher stay.
func (s *Steerer) raiseLimits(declared declarer.Limits) {
	if s.callerServer == nil {
		// The listeners are not served yet, which happens only in tests.
		return
	}
	limits := s.callerServer.Limits()
	limits.HeaderBytes = max(s.settings.Callers.MaxHeaderBytes, min(declared.HeaderBytes, maxDeclaredHeaderBytes))
	limits.HeaderMillis = max(s.settings.Callers.HeaderMillis, min(declared.HeaderMillis, maxDeclaredMillis))
	limits.IdleMillis = max(s.settings.Callers.IdleMillis, min(declared.IdleMillis, maxDeclaredMillis))
	s.callerServer.SetLimits(limits)
}

// logPanic logs a panic of a handler.
func (s *Steerer) logPanic(reason any) {
	s.log.Error().Interface("Reason", reason).Msg("HandlerPanicked")
}

func (s *Steerer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := exporter.Write(w, s.registry); err != nil {
		s.log.Warn().Err(err).Msg("MetricsUnsent")
	}
}

func (s *Steerer) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(s.settings.Callers.HeaderMillis) * time.Millisecond,
		MaxHeaderBytes:    s.settings.Callers.MaxHeaderBytes,
		IdleTimeout:       time.Duration(s.settings.Callers.IdleMillis) * time.Millisecond,
		// The log holds only changes of state; broken connections are counted instead.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
