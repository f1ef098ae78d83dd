package retrier

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings bounds how often the first wait is doubled.
const maxDoublings = 20

// Backoff spaces the attempts of an operation that fails by exponentially growing waits
// with full jitter, so that many instances do not retry at the same moment. It is used
// by one goroutine.
type Backoff struct {
	firstMillis   int
	longestMillis int
	failures      int
}

// NewBackoff returns a backoff whose waits grow from a first to a longest bound, in
// milliseconds.
func NewBackoff(firstMillis, longestMillis int) *Backoff {
	return &Backoff{
		firstMillis:   firstMillis,
		longestMillis: longestMillis,
	}
}

// Reset starts the waits anew with the first bound. It is called after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// Wait waits before the next attempt. If ctx ends first, it returns the error of ctx.
func (b *Backoff) Wait(ctx context.Context) error {
	bound := min(b.firstMillis<<min(b.failures, maxDoublings), b.longestMillis)
	b.failures++
	wait := b.firstMillis/2 + rand.N(bound)
	return Sleep(ctx, time.Duration(wait)*time.Millisecond)
}

// Sleep waits for the given time. If ctx ends first, it returns the error of ctx.
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
