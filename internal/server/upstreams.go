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

// probeUpstreams probes the health of all upstreams at regular intervals.
func (s *Server) probeUpstreams(ctx context.Context) error {
	interval := time.Duration(s.settings.Upstreams.ProbeMillis) * time.Millisecond
	for {
		_ = s.prober.ProbeAll(ctx, s.plans.Load().Upstreams(), func(change prober.HealthChange) {
			s.recordEvent("Upstream"+change.After.String(), change.Upstream.Address(), "was "+change.Before.String())
		})
		if retrier.Sleep(ctx, interval) != nil {
			return nil
		}
	}
}

// upstreamSuspected records that a live upstream has become suspect, because an attempt
// at it has failed.
func (s *Server) upstreamSuspected(upstream *admitter.Upstream, refusal *arbiter.Refusal) {
	s.metrics.suspicions.Inc(1)
	s.recordEvent("UpstreamSuspect", upstream.Address(), fmt.Sprintf("%s: %s", refusal.Reason, refusal.Detail))
}
