// Package retrier decides whether a failed request is sent again, by its verdict, its
// body, its deadline and a budget per service, and spaces attempts by a backoff. What
// counts as a failure, and which upstream is next, is decided by the function that makes
// the attempt.
package retrier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

const (
	// oneRetry is one retry in the fixed-point form of a budget.
	oneRetry = 1000
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

// Budget limits retries to a fraction of the requests, so that retries cannot multiply an
// overload. It is safe for many goroutines and takes no lock.
//
// Invariant: balance is from 0 to reserve.
type Budget struct {
	// The three amounts are in thousandths of a retry (see oneRetry).
	earnedPerRequest int64
	reserve          int64
	balance          atomic.Int64
}

// NewBudget returns a full budget of reserve retries, to which each request adds ratio
// retries.
func NewBudget(ratio float64, reserve int) *Budget {
	budget := &Budget{
		earnedPerRequest: int64(ratio * oneRetry),
		reserve:          int64(reserve) * oneRetry,
	}
	budget.balance.Store(budget.reserve)
	return budget
}

// Earn adds the ratio of NewBudget to the budget, up to the reserve. It is called once
// per request, not per attempt.
func (b *Budget) Earn() {
	for {
		balance := b.balance.Load()
		next := min(balance+b.earnedPerRequest, b.reserve)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}

// Spend takes one retry out of the budget and returns true, or returns false if less than
// one is left.
func (b *Budget) Spend() bool {
	for {
		balance := b.balance.Load()
		if balance < oneRetry {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-oneRetry) {
			return true
		}
	}
}

// Budgets holds a budget for each service, so that requests to one service do not earn
// retries to another. It is safe for many goroutines.
type Budgets struct {
	ratio   float64
	reserve int
	// budgets maps the name of each service to its *Budget.
	budgets sync.Map
}

// NewBudgets returns budgets that are all full.
func NewBudgets(ratio float64, reserve int) *Budgets {
	return &Budgets{
		ratio:   ratio,
		reserve: reserve,
	}
}

// For returns the budget of a service, and creates it if there is none.
func (b *Budgets) For(service string) *Budget {
	if budget, found := b.budgets.Load(service); found {
		return budget.(*Budget)
	}
	budget, _ := b.budgets.LoadOrStore(service, NewBudget(b.ratio, b.reserve))
	return budget.(*Budget)
}

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
