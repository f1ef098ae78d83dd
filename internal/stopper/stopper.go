// Package stopper runs the tasks of an instance from its start to its end: until it has
// drained after the context of Run ended, until it is halted, or until a task fails. It
// decides only the order of these steps; what starts and how the instance drains is
// passed in.
package stopper

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// ErrHalted means that the instance was halted before it had drained.
var ErrHalted = errors.New("halted before the drain was complete; requests in flight were aborted")

// errStopped is the cause with which requests are aborted at the end of a drain.
var errStopped = arbiter.Fail(arbiter.RequestAborted, "the instance stopped before the upstream answered")

// StopServing stops a server: its requests may finish until the context ends; those that
// have not finished by then are aborted with the context's cause. If the context has ended
// by its deadline, they are still answered.
type StopServing func(ctx context.Context)

// Stopper controls the lifecycle of one instance. It is safe for concurrent use, but Run
// must be called only once.
type Stopper struct {
	// work is the parent context of all tasks; halt cancels it.
	work context.Context
	halt context.CancelCauseFunc
}

// New returns a stopper for an instance that hasn't been started.
func New() *Stopper {
	s := &Stopper{}
	s.work, s.halt = context.WithCancelCause(context.Background())
	return s
}

// Work returns the parent context of all tasks.
func (s *Stopper) Work() context.Context {
	return s.work
}

// Halt stops the instance immediately, without a drain or in the middle of one; Run
// returns ErrHalted, unless the drain was complete.
func (s *Stopper) Halt() {
	s.halt(ErrHalted)
}

// Run starts the tasks of an instance and serves until ctx ends. Then it drains the
// instance and returns nil. It returns ErrHalted if Halt is called before the drain is
// complete, and the error of a task that fails.
//
// The tasks run in the group passed to start and must return when the work context ends.
// That context ends when the drain is complete, when Halt is called or when a task fails.
func (s *Stopper) Run(
	ctx context.Context,
	start func(group *errgroup.Group, work context.Context) StopServing,
	drain func(work context.Context, stopServing StopServing),
) error {
	group, work := errgroup.WithContext(s.work)
	stopServing := start(group, work)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			drain(work, stopServing)
			s.halt(nil)
		case <-work.Done():
			stopServing(work)
		}
		return nil
	})
	err := group.Wait()
	if errors.Is(context.Cause(s.work), ErrHalted) {
		return ErrHalted
	}
	return err
}

// ServeThenStop serves until the schedule's ServeUntil, then calls stopServing with a context
// that ends at the schedule's End, and returns true. If the work context ends before
// ServeUntil, it aborts the requests and returns false.
func ServeThenStop(work context.Context, schedule drainer.Schedule, stopServing StopServing) bool {
	if retrier.Sleep(work, time.Until(schedule.ServeUntil)) != nil {
		stopServing(work)
		return false
	}
	ctx, cancel := context.WithDeadlineCause(work, schedule.End, errStopped)
	defer cancel()
	stopServing(ctx)
	return true
}
