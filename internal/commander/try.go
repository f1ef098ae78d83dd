package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/internal/loader"
	"github.com/hemlockport/hemlockport/internal/query/sizer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

type tryCommand struct {
	Output
	Once    bool   `help:"Run a scripted session, print it and exit."`
	Objects string `type:"path" placeholder:"PATH" help:"Objects to run, scaled down, instead of the built-in ones."`
	Verbose bool   `help:"Also print the instances' logs."`
}

// Run starts a local cluster in this process and stops it again at a signal, or after the
// scripted session.
func (c *tryCommand) Run(s *invocation) error {
	document, err := c.document()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(s.ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	machine := sizer.Process()
	limitMemory(configurer.Defaults().WithMachine(machine))
	cluster, err := launcher.Start(groupCtx, group, document, c.log(s.stderr), launcher.WithMachine(machine))
	var refused *publisher.RefusedError
	if errors.As(err, &refused) {
		return reportFaults(s, c.Output, refused.Faults)
	}
	if err == nil {
		err = c.serve(ctx, s.stdout, cluster)
	}
	cancel()
	return errors.Join(err, group.Wait())
}

// serve runs the scripted session if the flag --once is set. Otherwise it publishes the
// objects, prints the addresses of the cluster and waits for a signal.
func (c *tryCommand) serve(ctx context.Context, out io.Writer, cluster *launcher.Cluster) error {
	if c.Once {
		return launcher.NewSession(cluster, out).Run(ctx)
	}
	accepted, err := cluster.Publish(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d is in force on %d instances\n\n", accepted.Revision, len(cluster.Instances))
	cluster.Explain(out)
	<-ctx.Done()
	fmt.Fprintln(out, "\nstopping: every instance drains")
	return nil
}

func (c *tryCommand) document() (declarer.Document, error) {
	if c.Objects == "" {
		return launcher.BuiltInDocument()
	}
	return loader.Load(c.Objects)
}

func (c *tryCommand) log(w io.Writer) zerolog.Logger {
	if !c.Verbose {
		return zerolog.Nop()
	}
	return newLog(w, configurer.Log{
		Level: "info",
		Form:  "text",
	})
}
