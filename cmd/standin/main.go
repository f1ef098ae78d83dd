// Command standin runs the stand-ins for a platform and for upstreams.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

const description = `Small stand-ins for what the system meets outside: for trials and tests, not for
service.`

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("standin"), kong.Description(description), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
