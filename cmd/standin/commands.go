package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/standin/platformer"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
)

// shutdownTimeout is the time that requests in flight get after the signal to stop. It is
// also the read timeout for the header of a request.
const shutdownTimeout = 5 * time.Second

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Run a fake platform: object API, list of instances, faults set by PUT /faults."`
	Upstream upstreamCommand `cmd:"" help:"Run a fake upstream: slots, health, faults set by PUT /.standin/faults."`
}

type platformCommand struct {
	Listen    string   `default:"127.0.0.1:7000" help:"IP address and port (${default})."`
	Instances []string `placeholder:"ADDRESS" help:"Operator listeners of the entry instances; the list of instances is built from their health."`
}

// Run runs a fake platform until the context ends.
func (c *platformCommand) Run(ctx context.Context) error {
	store := memstorer.New()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return platformer.NewInstancePoller(store).Run(ctx, c.Instances) })
	group.Go(func() error { return serve(ctx, c.Listen, platformer.New(store)) })
	return group.Wait()
}

type upstreamCommand struct {
	Listen       string `default:"127.0.0.1:9000" help:"IP address and port (${default})."`
	Name         string `default:"upstream" help:"Name that the answers contain."`
	Slots        int    `default:"4" help:"Number of requests that run concurrently; further ones are shed."`
	WorkMillis   int    `default:"5" help:"Duration of a request, in milliseconds."`
	WarmRequests int    `default:"0" help:"Number of requests after a start that take three times as long."`
}

// Run runs a fake upstream until the context ends.
func (c *upstreamCommand) Run(ctx context.Context) error {
	if c.Slots < 1 || c.WorkMillis < 0 || c.WarmRequests < 0 {
		return fmt.Errorf("--slots %d, --work-millis %d, --warm-requests %d: want at least 1, 0 and 0",
			c.Slots, c.WorkMillis, c.WarmRequests)
	}
	return serve(ctx, c.Listen, upstreamer.New(upstreamer.Settings{
		Name:         c.Name,
		Slots:        c.Slots,
		WorkMillis:   c.WorkMillis,
		WarmRequests: c.WarmRequests,
	}))
}

// serve serves until the context ends. It then waits up to shutdownTimeout for the
// requests in flight.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: shutdownTimeout,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		fmt.Println("listening on", address)
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
	return group.Wait()
}
