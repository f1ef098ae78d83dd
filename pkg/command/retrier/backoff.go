package retrier

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff spaces the tries of something that fails, with full jitter, so that
// many instances do not come back at the same moment. Used by one goroutine.
type Backoff struct {
	first    time.Duration
	longest  time.Duration
	failures int
}

// NewBackoff returns a backoff between two bounds, in milliseconds.
func NewBackoff(firstMillis, longestMillis int) *Backoff {
	return &Backoff{
		first:   time.Duration(firstMillis) * time.Millisecond,
		longest: time.Duration(longestMillis) * time.Millisecond,
	}
}

// Reset is called after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// Wait waits before the next try, or until ctx ends, whose error it then returns.
func (b *Backoff) Wait(ctx context.Context) error {
	bound := min(b.first<<min(b.failures, 20), b.longest)
	b.failures++
	return Sleep(ctx, b.first/2+rand.N(bound))
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
