package retrier

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings bounds how often the first wait doubles.
const maxDoublings = 20

// Backoff spaces the tries of something that fails, with full jitter, so that
// many instances do not come back at the same moment. Used by one goroutine.
type Backoff struct {
	firstMillis   int
	longestMillis int
	failures      int
}

// NewBackoff returns a backoff between two bounds, in milliseconds.
func NewBackoff(firstMillis, longestMillis int) *Backoff {
	return &Backoff{
		firstMillis:   firstMillis,
		longestMillis: longestMillis,
	}
}

// Reset is called after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// Wait waits before the next try, or until ctx ends, whose error it then returns.
func (b *Backoff) Wait(ctx context.Context) error {
	bound := min(b.firstMillis<<min(b.failures, maxDoublings), b.longestMillis)
	b.failures++
	wait := b.firstMillis/2 + rand.N(bound)
	return Sleep(ctx, time.Duration(wait)*time.Millisecond)
}

// Sleep waits for a time, or until ctx ends, whose error it then returns.
func Sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
