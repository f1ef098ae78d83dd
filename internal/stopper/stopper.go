// Package stopper runs the tasks of an instance until it drains or is halted.
package stopper

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// ErrHalted means that the instance was ended before its drain was done.
var ErrHalted = errors.New("halted before the drain was done; requests were broken off")

// StopServing lets callers finish until a context ends, and then breaks off.
type StopServing func(ctx context.Context)

// Stopper is the life of one instance. Safe for many goroutines; Run is called once.
type Stopper struct {
	// work is the life of all tasks; halt ends it.
	work context.Context
	halt context.CancelCauseFunc
}

// New returns the life of an instance that has not begun.
func New() *Stopper {
	s := &Stopper{}
	s.work, s.halt = context.WithCancelCause(context.Background())
	return s
}

// Work returns the life of all tasks.
func (s *Stopper) Work() context.Context {
	return s.work
}

// Halt ends the instance at once; Run returns ErrHalted.
func (s *Stopper) Halt() {
	s.halt(ErrHalted)
}

// Run starts the tasks of an instance, which end with the given life, and serves until
// ctx ends. Then it drains and returns nil, or ErrHalted if Halt came first.
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

// Finish goes on serving until an instant, and then stops within a limit. It returns
// false if work ended first, so that requests were broken off.
func Finish(work context.Context, serveUntil time.Time, limitMillis int, stopServing StopServing) bool {
	if retrier.Sleep(work, time.Until(serveUntil)) != nil {
		stopServing(work)
		return false
	}
	ctx, cancel := context.WithTimeout(work, time.Duration(limitMillis)*time.Millisecond)
	defer cancel()
	stopServing(ctx)
	return true
}
