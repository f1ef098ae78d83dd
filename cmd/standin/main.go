// Command standin runs a fake platform or a fake upstream for trials and tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

const description = `Small fakes of the platform and of upstreams, for trials and tests; not for
production.`

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("standin"), kong.Description(description), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
