package steerer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/binder"
	"github.com/hemlockport/hemlockport/internal/closer"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

const (
	// writeTimeoutMillis bounds the writing of a response whose request set no deadline
	// of its own, in milliseconds.
	writeTimeoutMillis = 60_000
	// maxPipelined is how many requests of one connection are processed concurrently.
	maxPipelined = 16
)

// metricsPath is the path at which collectors read the metrics.
const metricsPath = "/metrics"

// listeners are the open listeners of an instance.
type listeners struct {
	callers   *closer.Listener
	peers     net.Listener
	operators net.Listener
	lookups   net.Listener
	readiness net.Listener
}

// openListeners opens the listeners at the addresses in the settings.
func openListeners(settings configurer.Settings) (listeners, error) {
	var opened listeners
	var callers net.Listener
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
			Listener: &opened.lookups,
		},
		binder.Binding{
			Setting:  "Readiness.Listen",
			Address:  settings.Readiness.Listen,
			Listener: &opened.readiness,
		},
	)
	opened.callers = closer.New(callers)
	return opened, err
}

// startListeners serves all listeners. The function that it returns stops serving
// callers, whose requests may finish until its context ends. The other listeners are
// closed when work ends.
func (s *Steerer) startListeners(group *errgroup.Group, work context.Context) func(context.Context) {
	s.callerServer = pipeliner.New(s.receiver, pipeliner.Limits{
		HeaderBytes:  s.settings.Callers.MaxHeaderBytes,
		HeaderMillis: s.settings.Callers.HeaderMillis,
		IdleMillis:   s.settings.Callers.IdleMillis,
		WriteMillis:  writeTimeoutMillis,
		MaxPipelined: maxPipelined,
	}, func(reason any) { s.log.Error().Interface("Reason", reason).Msg("HandlerPanicked") })
	group.Go(func() error { return s.callerServer.Serve(s.listeners.callers) })
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
		{
			handler:  s.platform.NewLookupHandler(s.lookup),
			listener: s.listeners.lookups,
		},
		{
			handler:  s.platform.NewReadinessHandler(s.ready),
			listener: s.listeners.readiness,
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
		s.listeners.callers.Wait()
	}
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
