package steerer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/lingerer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/opener"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
)

const (
	// writeMillis bounds the writing of an answer whose request set no deadline of
	// its own, in milliseconds.
	writeMillis = 60_000
	// aheadOnConnection is how many requests of one connection are worked on at once.
	aheadOnConnection = 16
)

// pathMetrics is where collectors read counters.
const pathMetrics = "/metrics"

// listeners are the open listeners of an instance.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	lookups   net.Listener
	readiness net.Listener
}

// listen opens the listeners that settings name.
func listen(settings configurer.Settings) (listeners, error) {
	var opened listeners
	err := opener.Open(
		opener.Wanted{
			Field:   "Callers.Listen",
			Address: settings.Callers.Listen,
			Into:    &opened.callers,
		},
		opener.Wanted{
			Field:   "Peers.Listen",
			Address: settings.Peers.Listen,
			Into:    &opened.peers,
		},
		opener.Wanted{
			Field:   "Operators.Listen",
			Address: settings.Operators.Listen,
			Into:    &opened.operators,
		},
		opener.Wanted{
			Field:   "Lookups.Listen",
			Address: settings.Lookups.Listen,
			Into:    &opened.lookups,
		},
		opener.Wanted{
			Field:   "Readiness.Listen",
			Address: settings.Readiness.Listen,
			Into:    &opened.readiness,
		},
	)
	return opened, err
}

// startListeners serves all listeners and returns how to stop: callers get until
// the context's end to finish, the others are closed when work ends.
func (s *Steerer) startListeners(group *errgroup.Group, work context.Context) func(context.Context) {
	s.callers = pipeliner.New(s.receiver, pipeliner.Limits{
		HeaderBytes:  s.settings.Callers.MaxHeaderBytes,
		HeaderMillis: s.settings.Callers.HeaderMillis,
		IdleMillis:   s.settings.Callers.IdleMillis,
		WriteMillis:  writeMillis,
		Ahead:        aheadOnConnection,
	}, func(reason any) { s.log.Error().Interface("Reason", reason).Msg("HandlerPanicked") })
	lingering := lingerer.New(s.listeners.callers)
	group.Go(func() error { return s.callers.Serve(lingering) })
	links := http.NewServeMux()
	links.Handle("GET "+linker.Path, s.hub)
	counters := http.NewServeMux()
	counters.HandleFunc("GET "+pathMetrics, s.serveMetrics)
	others := []struct {
		handler  http.Handler
		listener net.Listener
	}{
		{
			handler:  links,
			listener: s.listeners.peers,
		},
		{
			handler:  counters,
			listener: s.listeners.operators,
		},
		{
			handler:  s.platform.Lookups(s.lookup),
			listener: s.listeners.lookups,
		},
		{
			handler:  s.platform.Readiness(s.ready),
			listener: s.listeners.readiness,
		},
	}
	for _, other := range others {
		server := s.httpServer(other.handler)
		opener.Serve(group, server, other.listener)
		context.AfterFunc(work, func() { server.Close() })
	}
	return func(ctx context.Context) {
		if err := s.callers.Shutdown(ctx); err != nil {
			s.log.Warn().Err(err).Int("InFlight", s.flights.Count()).Msg("RequestsBrokenOff")
		}
		lingering.Wait()
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
		IdleTimeout:       time.Duration(s.settings.Callers.IdleMillis) * time.Millisecond,
		// Lines are for changes of state only; broken connections are counted.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
