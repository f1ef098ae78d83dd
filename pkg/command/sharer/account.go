// Package sharer shares one limit between instances. Each instance owns a disjoint
// part of the limit, and instances lend each other units of their parts for a short
// time without a coordinator.
//
// The owned parts never add up to more than the whole limit. A lender gives up the
// units and lowers its own limit by them before it answers. It raises its limit again
// only when the borrower reports that it uses the units no longer, or when the loan
// has certainly ended. A lost, late or duplicated message therefore makes a small part
// of the limit unusable for a short time, and never lets the limit be exceeded. Lending
// lowers the burst of the lender's limit and leaves its rate.
//
// A holder is an instance that owns a part of the limit; in a loan it is the lender.
// Which part an instance owns is decided by package splitter or apportioner, and when an
// increase takes effect by the caller of Account.Confirm. Package borrower carries the
// messages.
package sharer

import (
	"sync"
	"time"
)

const (
	// LoanTerm is how long a lent unit may be used, counted from the time at which the
	// borrower asked for it.
	LoanTerm = 2 * time.Second
	// driftPerMille is the drift between the clocks of two instances for which
	// Quarantine allows, in thousandths: as a safety margin, ten times the 0.4 per mille
	// by which two clocks drift apart that are each off by 200 parts per million (see
	// splitter.clockMargin).
	driftPerMille = 4
	// Quarantine is the time after which a loan has certainly ended, counted from the
	// lender's grant, by any instance's clock. A part must stay unused for that long
	// after its last owner has stopped.
	Quarantine = LoanTerm + LoanTerm*driftPerMille/1000
)

// Quantity is an amount that can be split, such as a rate with a burst, a number of
// slots, bytes per second or a fraction of requests. Quantities are immutable.
type Quantity[Q any] interface {
	comparable
	// Minus returns the difference, with zero in place of negative results.
	Minus(Q) Q
	// Min returns the smaller of the two amounts in each dimension.
	Min(Q) Q
	// Units returns the amount that allows exactly that many units at once, whatever the
	// receiver is. For a rate limit, it has that burst and no rate.
	Units(units int) Q
	// Count returns how many units the amount allows at once.
	Count() int
}

// Pool holds the units from which requests take. Its limit is what the account
// may use itself. A change of the limit adds nothing to the units in stock.
type Pool[Q any] interface {
	// SetLimit changes the limit at the instant now.
	SetLimit(limit Q, now time.Time)
	// Draw takes up to maxUnits units out of the stock and returns how many it took.
	Draw(maxUnits int, now time.Time) int
	// Deposit adds units to the stock, up to the limit.
	Deposit(units int, now time.Time)
}

// Serial identifies an ask (a loan request). It is never used twice.
type Serial struct {
	// Borrower is the incarnation of the instance that asks.
	Borrower string
	// Number increases with each ask of the borrower.
	Number uint64
}

// loan is what was lent in answer to one ask.
type loan struct {
	units int
	// reclaimAt is the instant from which the lender may use its full part again, even
	// without a settlement.
	reclaimAt time.Time
}

// Account tracks what one instance owns and lends of one resource. It is safe for
// concurrent use. Requests never call it: they take units from its pool.
//
// Invariant: the limit of the pool is the owned amount minus the amount that allows
// the lent units.
type Account[Q Quantity[Q]] struct {
	mu   sync.Mutex
	pool Pool[Q]
	// owned is in force now. target replaces it when Confirm is called.
	owned  Q
	target Q
	loans  map[Serial]loan
	// appliedLimit is the limit that was last set on the pool.
	appliedLimit Q
}

// NewAccount returns an account that owns nothing.
func NewAccount[Q Quantity[Q]](pool Pool[Q]) *Account[Q] {
	return &Account[Q]{
		pool:  pool,
		loans: map[Serial]loan{},
	}
}

// SetOwned sets what the instance is to own. A decrease takes effect at once. An
// increase takes effect only with Confirm, when no other instance can still use it.
func (a *Account[Q]) SetOwned(owned Q, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target = owned
	a.owned = a.owned.Min(owned)
	a.apply(now)
}

// Confirm puts the increases made by SetOwned into force.
func (a *Account[Q]) Confirm(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owned = a.target
	a.apply(now)
}

// Owned returns what the instance owns now and what it owns after Confirm.
func (a *Account[Q]) Owned() (current, target Q) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owned, a.target
}

// Lend takes up to maxUnits units out of the stock, lowers the limit of the pool by
// them and returns how many it lent. A repeated ask gets the answer of the first one
// while that loan lasts. After that it counts as a new ask; a borrower that has received
// the first answer ignores the second one, so that the units of the new loan are
// unusable until it expires.
func (a *Account[Q]) Lend(serial Serial, maxUnits int, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if existing, found := a.loans[serial]; found {
		return existing.units
	}
	a.removeExpired(now)
	units := a.pool.Draw(min(maxUnits, a.available().Count()), now)
	if units == 0 {
		return 0
	}
	a.loans[serial] = loan{
		units:     units,
		reclaimAt: now.Add(Quarantine),
	}
	a.apply(now)
	return units
}

// Settle ends the loan of an ask, which raises the limit of the pool again, and puts
// the unused units back into the stock. The borrower must have stopped using them. A
// repeated or late call changes nothing.
func (a *Account[Q]) Settle(serial Serial, unused int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	existing, found := a.loans[serial]
	if !found {
		return
	}
	delete(a.loans, serial)
	a.removeExpired(now)
	a.pool.Deposit(min(unused, existing.units), now)
}

// ExpireLoans ends the loans whose time is over and raises the limit of the pool by them.
func (a *Account[Q]) ExpireLoans(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeExpired(now)
}

// Idle reports whether the account can be dropped: it owns nothing, is to own nothing,
// and has no loan.
func (a *Account[Q]) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var none Q
	return a.owned == none && a.target == none && len(a.loans) == 0
}

// available returns the owned amount minus the amount that allows the lent units.
func (a *Account[Q]) available() Q {
	left := a.owned
	for _, loan := range a.loans {
		left = left.Minus(left.Units(loan.units))
	}
	return left
}

// removeExpired removes the loans whose time is over and updates the pool. The caller holds mu.
func (a *Account[Q]) removeExpired(now time.Time) {
	for serial, loan := range a.loans {
		if !now.Before(loan.reclaimAt) {
			delete(a.loans, serial)
		}
	}
	a.apply(now)
}

// apply sets the limit of the pool to the available amount, if that has changed.
func (a *Account[Q]) apply(now time.Time) {
	limit := a.available()
	if limit == a.appliedLimit {
		return
	}
	a.appliedLimit = limit
	a.pool.SetLimit(limit, now)
}
