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

// stopLimit bounds the time in which a stand-in finishes what runs.
const stopLimit = 5 * time.Second

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Run a platform: object API, faults by PUT /faults, list of instances."`
	Upstream upstreamCommand `cmd:"" help:"Run an upstream: slots, health, faults by PUT /.standin/faults."`
}

type platformCommand struct {
	Listen    string   `default:"127.0.0.1:7000" help:"IP number and port (${default})."`
	Instances []string `placeholder:"ADDRESS" help:"Operators' listeners of the entry instances, whose health makes the list."`
}

// Run runs a platform until the context ends.
func (c *platformCommand) Run(ctx context.Context) error {
	kept := memstorer.New()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return platformer.NewInstancePoller(kept).Run(ctx, c.Instances) })
	group.Go(func() error { return serve(ctx, c.Listen, platformer.New(kept)) })
	return group.Wait()
}

type upstreamCommand struct {
	Listen       string `default:"127.0.0.1:9000" help:"IP number and port (${default})."`
	Name         string `default:"upstream" help:"Name in the answers."`
	Slots        int    `default:"4" help:"Requests that run at once; one more is shed."`
	WorkMillis   int    `default:"5" help:"Time a request takes, in milliseconds."`
	WarmRequests int    `default:"0" help:"Requests after a start that take three times as long."`
}

// Run runs an upstream until the context ends.
func (c *upstreamCommand) Run(ctx context.Context) error {
	if c.Slots < 1 || c.WorkMillis < 0 || c.WarmRequests < 0 {
		return errors.New("--slots: want 1 or more; --work-millis and --warm-requests: 0 or more")
	}
	return serve(ctx, c.Listen, upstreamer.New(upstreamer.Settings{
		Name:         c.Name,
		Slots:        c.Slots,
		WorkMillis:   c.WorkMillis,
		WarmRequests: c.WarmRequests,
	}))
}

// serve serves until the context ends, then finishes what runs.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: stopLimit,
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
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
		defer cancel()
		return server.Shutdown(ending)
	})
	return group.Wait()
}
