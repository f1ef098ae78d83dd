// Package coalescer runs a task once for a burst of requests, so that the cost of the task
// follows time and not the number of requests.
package coalescer

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// Coalescer runs a task after it was requested: immediately after the first request, and once
// at the end of the interval for all requests that come within it. It is safe for concurrent
// use.
type Coalescer struct {
	// intervalMillis is the shortest time between the end of a run and the next one, in
	// milliseconds.
	intervalMillis int
	task           func()
	// requests holds a value while a request has not been served.
	requests chan struct{}
}

// New returns a coalescer of a task. The interval is in milliseconds.
func New(intervalMillis int, task func()) *Coalescer {
	return &Coalescer{
		intervalMillis: intervalMillis,
		task:           task,
		requests:       make(chan struct{}, 1),
	}
}

// Request requests a run. It does not block.
func (c *Coalescer) Request() {
	select {
	case c.requests <- struct{}{}:
	default:
		// The run that is due serves this request as well.
	}
}

// Run runs the task whenever it was requested, until ctx ends. It returns nil.
func (c *Coalescer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.requests:
		}
		c.task()
		if retrier.Sleep(ctx, time.Duration(c.intervalMillis)*time.Millisecond) != nil {
			return nil
		}
	}
}
