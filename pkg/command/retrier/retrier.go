// Package retrier decides whether a failed request is sent again, by its verdict, its
// body, its deadline and a budget per service, and spaces attempts by a backoff. What
// counts as a failure, and which upstream is next, is decided by the function that makes
// the attempt.
package retrier

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

const (
	// DefaultRatio is how many retries each request adds to its budget.
	DefaultRatio = 0.1
	// DefaultReserve is how many retries a budget holds at most.
	DefaultReserve = 20
	// DefaultAttempts is the maximum number of attempts for one request.
	DefaultAttempts = 3
	// maxUnsent is how many attempts of one request may fail before a byte of it is sent
	// without counting as attempts. The second of them is on a new connection.
	maxUnsent = 2
)

// Policy holds the conditions under which one request may be sent again.
type Policy struct {
	// Idempotent reports that the request may be repeated after MayHaveRun.
	Idempotent bool
	// Replayable reports whether the body is still available to be sent again.
	Replayable func() bool
	// Attempts is the maximum number of attempts; at least 1.
	Attempts int
	// Deadline is the time from which on the request is not sent again.
	Deadline time.Time
}

// Run sends a request until it succeeds or may not be sent again. It sends a request
// again only if the verdict of the last attempt allows that, ctx has not ended, the body
// is available, attempts are left, the deadline has not passed and the budget holds at
// least one retry. An attempt that failed before a byte was sent (arbiter.IsUnsent) has put
// no load on an upstream: it takes neither an attempt nor a retry, up to maxUnsent times.
func Run[R any](ctx context.Context, budget *Budget, policy Policy, attempt func(number int) (R, error)) (R, error) {
	budget.Earn()
	unsent := 0
	for number := 1; ; {
		result, err := attempt(number)
		if err == nil {
			return result, nil
		}
		if !mayRetry(ctx, policy, err) {
			return result, err
		}
		if unsent < maxUnsent && arbiter.IsUnsent(err) {
			unsent++
			continue
		}
		if number >= policy.Attempts || !budget.Spend() {
			return result, err
		}
		number++
	}
}

// mayRetry reports whether ctx, the deadline, the body and the verdict of err allow that
// the request is sent again. The caller checks the number of attempts and the budget.
func mayRetry(ctx context.Context, policy Policy, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(policy.Deadline) {
		return false
	}
	if !policy.Replayable() {
		return false
	}
	return arbiter.VerdictOf(err).MayRepeat(policy.Idempotent)
}
