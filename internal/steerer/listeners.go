package steerer

import (
	"context"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// metricsPath is the path at which collectors read the metrics.
const metricsPath = "/metrics"

// listeners are the open listeners of an instance.
type listeners struct {
	callers   *fronter.Listener
	lookups   *fronter.Listener
	readiness *fronter.Listener
	peers     *fronter.Listener
	operators *fronter.Listener
}

// openListeners opens the listeners at the addresses in the settings.
func openListeners(settings configurer.Settings, registry metrics.Registry, log zerolog.Logger) (listeners, error) {
	bounds := fronter.BoundsOf(settings)
	opened, err := fronter.Open(registry, log,
		fronter.CallersSpec(settings, bounds),
		fronter.LookupsSpec(settings, bounds),
		fronter.ReadinessSpec(settings, bounds),
		fronter.PeersSpec(settings, bounds),
		fronter.OperatorsSpec(settings, bounds),
	)
	if err != nil {
		return listeners{}, err
	}
	return listeners{
		callers:   opened[0],
		lookups:   opened[1],
		readiness: opened[2],
		peers:     opened[3],
		operators: opened[4],
	}, nil
}

// startListeners serves all listeners. The function that it returns stops serving
// callers, whose requests may finish until its context ends. The other listeners are
// closed when work ends.
func (s *Steerer) startListeners(group *errgroup.Group, work context.Context) func(context.Context) {
	s.callerServer = s.listeners.callers.Serve(group, s.receiver, s.settings.Callers, s.logPanic,
		pipeliner.WithUnsafe(s.receiver.IsUnsafe))
	endpoints := []struct {
		listener *fronter.Listener
		handler  http.Handler
		opts     []pipeliner.Option
	}{
		{
			listener: s.listeners.lookups,
			handler:  s.platform.NewLookupHandler(s.lookup),
		},
		{
			listener: s.listeners.readiness,
			handler:  s.platform.NewReadinessHandler(s.ready),
		},
		{
			listener: s.listeners.peers,
			handler:  s.linkHandler(),
			opts:     []pipeliner.Option{pipeliner.WithUpgrades()},
		},
		{
			listener: s.listeners.operators,
			handler:  s.operatorHandler(),
		},
	}
	for _, endpoint := range endpoints {
		endpoint.listener.ServeUntil(work, group, endpoint.handler, s.settings.Callers, s.logPanic, endpoint.opts...)
	}
	return func(ctx context.Context) {
		if err := s.callerServer.Shutdown(ctx); err != nil {
			s.log.Warn().Err(err).Int("InFlight", s.inFlight.Count()).Msg("RequestsBrokenOff")
		}
		s.listeners.callers.Lingering.Wait()
	}
}

// linkHandler returns the handler of links from peers.
func (s *Steerer) linkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+linker.Path, s.hub)
	return mux
}

// operatorHandler returns the handler of what operators and collectors of metrics ask.
func (s *Steerer) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, s.serveMetrics)
	mux.Handle("GET "+responder.PathRoute, responder.RouteHandler(previewer.New(s.settings.Name, admitter.New(s.plans, s.freshness))))
	return mux
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
