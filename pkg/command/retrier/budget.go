package retrier

import (
	"sync"
	"sync/atomic"
)

// oneRetry is one retry in the fixed-point form of a budget.
const oneRetry = 1000

// Budget limits retries to a fraction of the requests, so that retries cannot multiply an
// overload. It is safe for many goroutines and takes no lock.
//
// Invariant: balance is from 0 to the highest reserve so far.
type Budget struct {
	// The three amounts are in thousandths of a retry (see oneRetry).
	earnedPerRequest int64
	reserve          atomic.Int64
	balance          atomic.Int64
}

// NewBudget returns a full budget of reserve retries, to which each request adds ratio
// retries.
func NewBudget(ratio float64, reserve int) *Budget {
	budget := newEmptyBudget(ratio, int64(reserve)*oneRetry)
	budget.balance.Store(budget.reserve.Load())
	return budget
}

// newEmptyBudget returns a budget without retries. The reserve is in thousandths of a retry.
func newEmptyBudget(ratio float64, reserve int64) *Budget {
	budget := &Budget{
		earnedPerRequest: int64(ratio * oneRetry),
	}
	budget.reserve.Store(reserve)
	return budget
}

// Earn adds the ratio of NewBudget to the budget, up to the reserve. It is called once
// per request, not per attempt.
func (b *Budget) Earn() {
	for {
		balance := b.balance.Load()
		next := min(balance+b.earnedPerRequest, b.reserve.Load())
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
	ratio float64
	// reserve is that of each budget, in thousandths of a retry.
	reserve atomic.Int64
	// emptied says that a budget that is created has no retries.
	emptied atomic.Bool
	// budgets maps the name of each service to its *Budget.
	budgets sync.Map
}

// NewBudgets returns budgets that are all full.
func NewBudgets(ratio float64, reserve int) *Budgets {
	budgets := &Budgets{
		ratio: ratio,
	}
	budgets.reserve.Store(int64(reserve) * oneRetry)
	return budgets
}

// Empty takes all retries out of the budgets, so that they have to be earned by requests. A
// process that was started again calls it, as its earlier start may have spent them.
func (b *Budgets) Empty() {
	b.emptied.Store(true)
	for _, budget := range b.budgets.Range {
		budget.(*Budget).balance.Store(0)
	}
}

// SetReserve changes how many retries each budget holds at most. What a budget holds beyond that
// is lost with its next request.
func (b *Budgets) SetReserve(reserve float64) {
	b.reserve.Store(int64(reserve * oneRetry))
	for _, budget := range b.budgets.Range {
		budget.(*Budget).reserve.Store(b.reserve.Load())
	}
}

// For returns the budget of a service, and creates it if there is none.
func (b *Budgets) For(service string) *Budget {
	if budget, found := b.budgets.Load(service); found {
		return budget.(*Budget)
	}
	created := newEmptyBudget(b.ratio, b.reserve.Load())
	if !b.emptied.Load() {
		created.balance.Store(created.reserve.Load())
	}
	budget, _ := b.budgets.LoadOrStore(service, created)
	stored := budget.(*Budget)
	// SetReserve may have missed the budget.
	stored.reserve.Store(b.reserve.Load())
	return stored
}
