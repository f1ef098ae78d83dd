package retrier

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings limits how often the bound is doubled, so that the shift cannot overflow.
const maxDoublings = 20

// Backoff spaces the attempts of an operation that fails. Each wait is half of
// firstMillis plus a random time below a bound. The bound is firstMillis at first,
// doubles with each failure and is at most longestMillis. The random part keeps many
// instances from retrying at the same moment. Backoff is used by one goroutine.
type Backoff struct {
	firstMillis   int
	longestMillis int
	failures      int
}

// NewBackoff returns a backoff whose bound grows from firstMillis to longestMillis.
func NewBackoff(firstMillis, longestMillis int) *Backoff {
	return &Backoff{
		firstMillis:   firstMillis,
		longestMillis: longestMillis,
	}
}

// Reset sets the bound to firstMillis again. It is called after a success.
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
