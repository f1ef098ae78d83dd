// Package prober probes the health endpoints of upstreams and reports the results to the
// upstreams, which decide what they mean.
package prober

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/redirector"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

const (
	// healthPath is the path of an upstream's health endpoint. Status 200 means that the
	// upstream is live, 503 that it is leaving.
	healthPath = "/health"
	// probeTimeout is the timeout of one probe.
	probeTimeout = time.Second
	// maxHeaderBytes bounds the header of an answer, in bytes, and maxBodyBytes how much of its
	// body is read. Only whether the body is well formed counts.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 10
	// maxConcurrentProbes limits the number of concurrent probes.
	maxConcurrentProbes = 16
)

// Prober probes upstreams. It must be used by one goroutine at a time.
type Prober struct {
	client *http.Client
}

// New returns a prober.
func New() *Prober {
	dialer := &net.Dialer{}
	return &Prober{
		client: &http.Client{
			Timeout: probeTimeout,
			Transport: inspector.NewDialer(dialer.DialContext).Equip(&http.Transport{
				MaxIdleConnsPerHost:    1,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}),
			// An upstream that redirects its probes is not live.
			CheckRedirect: redirector.FollowNone,
		},
	}
}

// HealthChange is a change of an upstream's health.
type HealthChange struct {
	Upstream *admitter.Upstream
	Before   admitter.Health
	After    admitter.Health
}

// ProbeAll probes each upstream once, reports the result to the upstream, and calls
// changed for each upstream whose health has changed. Calls of changed may be
// concurrent.
func (p *Prober) ProbeAll(ctx context.Context, upstreams []*admitter.Upstream, changed func(HealthChange)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentProbes)
	for _, upstream := range upstreams {
		group.Go(func() error {
			reported, known := p.probe(ctx, upstream.Address())
			if !known {
				return nil
			}
			before, after := upstream.RecordProbe(reported, time.Now())
			if before != after {
				changed(HealthChange{
					Upstream: upstream,
					Before:   before,
					After:    after,
				})
			}
			return nil
		})
	}
	return group.Wait()
}

// probe returns the health of one upstream. An upstream without a valid answer is
// suspect. The second result says whether the health is known: it is false if the probe
// was cancelled.
func (p *Prober) probe(ctx context.Context, address string) (admitter.Health, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return admitter.Suspect, true
	}
	response, err := p.client.Do(request)
	if err != nil {
		return admitter.Suspect, ctx.Err() == nil
	}
	defer response.Body.Close()
	if _, err = io.CopyN(io.Discard, response.Body, maxBodyBytes); err != nil && err != io.EOF {
		return admitter.Suspect, ctx.Err() == nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		return admitter.Live, true
	case http.StatusServiceUnavailable:
		return admitter.Leaving, true
	default:
		return admitter.Suspect, true
	}
}
