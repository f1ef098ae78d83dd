package commander

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
)

// drainedInstance is an instance that ends as soon as it is drained.
type drainedInstance struct{}

func (drainedInstance) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (drainedInstance) Halt() {}

func (drainedInstance) Reload(configurer.Settings) {}

// TestStopSignalIsNotLostBehindReloads guards against a SIGTERM that is lost because many SIGHUP
// wait while the settings are read, so that the instance is killed without a drain.
func TestStopSignalIsNotLostBehindReloads(t *testing.T) {
	// reloads is more than the signals that can wait.
	const reloads = 20
	const pause = 5 * time.Millisecond
	signals := notifySignals()
	defer signals.stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	release := make(chan struct{})
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(ended)
		return runUntilSignalled(&invocation{
			ctx:    ctx,
			stderr: io.Discard,
		}, drainedInstance{}, signals, func() error {
			<-release
			return nil
		})
	})
	for range reloads {
		raise(t, syscall.SIGHUP)
		time.Sleep(pause)
	}
	raise(t, syscall.SIGTERM)
	time.Sleep(pause)
	close(release)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the instance runs 2s after SIGTERM, want it drained")
		cancel()
	}
	_ = group.Wait()
}

// raise sends a signal to the process of the test.
func raise(t *testing.T, signal os.Signal) {
	t.Helper()
	process, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if err = process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}
