// Package prober reads the health endpoints of upstreams.
package prober

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

const (
	// path is an upstream's health endpoint: status 200 means live and 503 leaving.
	path = "/health"
	// answerLimit bounds one probe.
	answerLimit = time.Second
	// parallel bounds the probes at once.
	parallel = 16
)

// Prober probes upstreams. Used by one goroutine.
type Prober struct {
	client *http.Client
}

// New returns a prober.
func New() *Prober {
	return &Prober{
		client: &http.Client{
			Timeout: answerLimit,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
			},
		},
	}
}

// Change is a change of an upstream's health.
type Change struct {
	Upstream *admitter.Upstream
	Before   admitter.Health
	After    admitter.Health
}

// Round probes each upstream once, hands the reports over, and calls changed for
// each upstream whose health is now another.
func (p *Prober) Round(ctx context.Context, upstreams []*admitter.Upstream, changed func(Change)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for _, upstream := range upstreams {
		group.Go(func() error {
			reported, known := p.probe(ctx, upstream.Address())
			if !known {
				return nil
			}
			before, after := upstream.Report(reported, time.Now())
			if before != after {
				changed(Change{
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

// probe asks one upstream. It returns false if the probe itself was cancelled.
func (p *Prober) probe(ctx context.Context, address string) (admitter.Health, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return admitter.Suspect, true
	}
	response, err := p.client.Do(request)
	if err != nil {
		return admitter.Suspect, ctx.Err() == nil
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return admitter.Live, true
	case http.StatusServiceUnavailable:
		return admitter.Leaving, true
	default:
		return admitter.Suspect, true
	}
}
