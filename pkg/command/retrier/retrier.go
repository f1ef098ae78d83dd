// Package retrier decides whether a failed request is sent again.
package retrier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

const (
	// unit is one retry, in the fixed-point form of the budget.
	unit = 1000
	// DefaultRatio is how many retries a request earns.
	DefaultRatio = 0.1
	// DefaultReserve is how many retries can be saved up.
	DefaultReserve = 20
	// DefaultAttempts is how often one request is sent at most.
	DefaultAttempts = 3
)

// Budget bounds retries to a share of the requests, so that retries cannot
// multiply an overload. Safe for many goroutines; takes no lock.
//
// Invariant: saved is between 0 and reserve.
type Budget struct {
	earned  int64
	reserve int64
	saved   atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget(ratio float64, reserve int) *Budget {
	budget := &Budget{
		earned:  int64(ratio * unit),
		reserve: int64(reserve) * unit,
	}
	budget.saved.Store(budget.reserve)
	return budget
}

// Earn adds what one first attempt is worth.
func (b *Budget) Earn() {
	for {
		saved := b.saved.Load()
		next := min(saved+b.earned, b.reserve)
		if next == saved || b.saved.CompareAndSwap(saved, next) {
			return
		}
	}
}

// Spend pays for one retry if there is enough.
func (b *Budget) Spend() bool {
	for {
		saved := b.saved.Load()
		if saved < unit {
			return false
		}
		if b.saved.CompareAndSwap(saved, saved-unit) {
			return true
		}
	}
}

// Budgets holds a budget for each service, so that retries to one are not paid for
// by requests to another. Safe for many goroutines.
type Budgets struct {
	ratio   float64
	reserve int
	// budgets holds a *Budget under each service's name.
	budgets sync.Map
}

// NewBudgets returns budgets that are all full.
func NewBudgets(ratio float64, reserve int) *Budgets {
	return &Budgets{
		ratio:   ratio,
		reserve: reserve,
	}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	if budget, found := b.budgets.Load(service); found {
		return budget.(*Budget)
	}
	budget, _ := b.budgets.LoadOrStore(service, NewBudget(b.ratio, b.reserve))
	return budget.(*Budget)
}

// Policy says when a request is sent again.
type Policy struct {
	// Idempotent says that the request may be repeated after MayHaveRun.
	Idempotent bool
	// Replayable says that the body is still at hand.
	Replayable func() bool
	// Attempts is how often the request is sent at most; at least 1.
	Attempts int
	// Deadline ends the trying.
	Deadline time.Time
}

// Run sends a request until it succeeds or may not be sent again. A request is
// repeated only where its last verdict allows it, its body is at hand, its
// deadline lies ahead and the budget pays.
func Run[R any](ctx context.Context, budget *Budget, policy Policy, attempt func(number int) (R, error)) (R, error) {
	budget.Earn()
	for number := 1; ; number++ {
		result, err := attempt(number)
		if err == nil {
			return result, nil
		}
		if number >= policy.Attempts || !again(ctx, policy, err) || !budget.Spend() {
			return result, err
		}
	}
}

func again(ctx context.Context, policy Policy, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(policy.Deadline) {
		return false
	}
	if !policy.Replayable() {
		return false
	}
	return arbiter.Of(err).MayRepeat(policy.Idempotent)
}
