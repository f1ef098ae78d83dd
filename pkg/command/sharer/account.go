// Package sharer lets instances use disjoint parts of one limit, and lend units of
// them to one another for a moment, without asking anybody else.
//
// Owned parts never add up to more than the whole. A lender gives up the units and
// the room for them before it answers, and takes the room back only when the
// borrower says that it has used them or has surely stopped. So a lost, late or
// doubled message costs a little of the limit for a moment and never breaks it.
package sharer

import (
	"sync"
	"time"
)

const (
	// UnitTerm is how long a lent unit may be used, from the asking on.
	UnitTerm = 2 * time.Second
	// driftPerMille is how far two clocks may run apart, and ten times that to
	// spare, in thousandths.
	driftPerMille = 4
	// Quarantine is how long a part is left alone after its last owner has stopped:
	// until all that it has lent has ended.
	Quarantine = UnitTerm + UnitTerm*driftPerMille/1000
)

// Quantity is an amount that can be split: a rate and burst, slots, bytes a
// second, a fraction of requests. Quantities are immutable.
type Quantity[Q any] interface {
	comparable
	// Minus returns the difference, and nothing where that would be below zero.
	Minus(Q) Q
	// Least returns the lower amount, in each dimension.
	Least(Q) Q
	// Units returns the amount that makes room for that many units.
	Units(units int) Q
	// Count returns how many units the amount has room for.
	Count() int
}

// Vessel holds what an account may use and is what requests take from. A change
// of limit adds nothing to its stock.
type Vessel[Q any] interface {
	// SetLimit changes the limit.
	SetLimit(limit Q, now time.Time)
	// Draw takes up to that many units out of the stock and returns how many.
	Draw(most int, now time.Time) int
	// Deposit adds units to the stock, up to the limit.
	Deposit(units int, now time.Time)
}

// Serial names an ask. It is never used twice.
type Serial struct {
	// Borrower is the asking incarnation.
	Borrower string
	// Number grows with each ask of the borrower for the resource.
	Number uint64
}

// debit is what is lent by one ask.
type debit struct {
	units int
	// resumeAt is the instant at which the lender has the room back.
	resumeAt time.Time
}

// Account is one instance's part of one resource. Safe for many goroutines;
// requests take from its vessel and never from it.
//
// Invariant: the vessel's limit is what is owned, less the room for what is lent.
type Account[Q Quantity[Q]] struct {
	changing sync.Mutex
	vessel   Vessel[Q]
	// owned is used now; due is owned once Confirm is called.
	owned Q
	due   Q
	lent  map[Serial]debit
	// applied is the vessel's limit.
	applied Q
}

// New returns an account that owns nothing.
func New[Q Quantity[Q]](vessel Vessel[Q]) *Account[Q] {
	return &Account[Q]{
		vessel: vessel,
		lent:   map[Serial]debit{},
	}
}

// SetOwned says what the instance is to own. A decrease is in force at once, an
// increase only from Confirm on, when nobody else can still use it.
func (a *Account[Q]) SetOwned(owned Q, now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	a.due = owned
	a.owned = a.owned.Least(owned)
	a.apply(now)
}

// Confirm puts the increases of SetOwned in force.
func (a *Account[Q]) Confirm(now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	a.owned = a.due
	a.apply(now)
}

// Owned returns what the instance owns now and what it is to own.
func (a *Account[Q]) Owned() (now, due Q) {
	a.changing.Lock()
	defer a.changing.Unlock()
	return a.owned, a.due
}

// Lend takes up to that many units out of the stock, keeps back the room for
// them, and returns how many. A repeated ask gets what the first one got.
func (a *Account[Q]) Lend(serial Serial, most int, now time.Time) int {
	a.changing.Lock()
	defer a.changing.Unlock()
	if before, found := a.lent[serial]; found {
		return before.units
	}
	a.expire(now)
	units := a.vessel.Draw(min(most, a.own().Count()), now)
	if units == 0 {
		return 0
	}
	a.lent[serial] = debit{
		units:    units,
		resumeAt: now.Add(Quarantine),
	}
	a.apply(now)
	return units
}

// Settle takes back the room for what was lent by an ask, and puts unused units
// back into the stock. The borrower uses them no longer. A repeated or late call
// changes nothing.
func (a *Account[Q]) Settle(serial Serial, unused int, now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	before, found := a.lent[serial]
	if !found {
		return
	}
	delete(a.lent, serial)
	a.expire(now)
	a.vessel.Deposit(min(unused, before.units), now)
}

// Tick takes back the room for what was lent and has ended.
func (a *Account[Q]) Tick(now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	a.expire(now)
}

// Idle says whether nothing is owned, due or lent.
func (a *Account[Q]) Idle() bool {
	a.changing.Lock()
	defer a.changing.Unlock()
	var none Q
	return a.owned == none && a.due == none && len(a.lent) == 0
}

// own returns what is owned, less the room for what is lent.
func (a *Account[Q]) own() Q {
	left := a.owned
	for _, debit := range a.lent {
		left = left.Minus(left.Units(debit.units))
	}
	return left
}

func (a *Account[Q]) expire(now time.Time) {
	for serial, debit := range a.lent {
		if !now.Before(debit.resumeAt) {
			delete(a.lent, serial)
		}
	}
	a.apply(now)
}

// apply sets the vessel's limit to what the account may use.
func (a *Account[Q]) apply(now time.Time) {
	limit := a.own()
	if limit == a.applied {
		return
	}
	a.applied = limit
	a.vessel.SetLimit(limit, now)
}
