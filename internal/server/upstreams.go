package server

import (
	"context"
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/prober"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// probeUpstreams asks all upstreams for their health again and again.
func (s *Server) probeUpstreams(ctx context.Context) error {
	interval := time.Duration(s.settings.Upstreams.ProbeMillis) * time.Millisecond
	for {
		_ = s.prober.Round(ctx, s.plans.Load().Upstreams(), func(change prober.Change) {
			s.announce("Upstream"+change.After.String(), change.Upstream.Address(), "was "+change.Before.String())
		})
		if retrier.Sleep(ctx, interval) != nil {
			return nil
		}
	}
}

// suspected is told of an upstream that has just failed a request.
func (s *Server) suspected(upstream *admitter.Upstream, refusal *arbiter.Refusal) {
	s.gauges.suspicions.Inc(1)
	s.announce("UpstreamSuspect", upstream.Address(), fmt.Sprintf("%s: %s", refusal.Reason, refusal.Detail))
}
