// Package sharer lets instances use disjoint parts of one limit, and lend them to
// one another for a while, without asking anybody else.
//
// Owned parts never add up to more than the whole. A lender gives up a part before
// it answers, and resumes it only after the borrower has surely stopped, so a lost,
// late or doubled message costs a little of the limit for a while and never breaks
// it.
package sharer

import (
	"sync"
	"time"
)

const (
	// PartTerm is how long a lent part may be used, from the asking on.
	PartTerm = 2 * time.Second
	// UnitTerm is how long single lent units may be used, from the asking on.
	UnitTerm = 400 * time.Millisecond
	// driftPerMille is how far two clocks may run apart, and ten times that to
	// spare, in thousandths.
	driftPerMille = 4
	// early is how long before its end a borrowed part is given up, so that the end
	// never stops a bucket in use.
	early = 150 * time.Millisecond
)

// Quantity is an amount that can be split: a rate and burst, slots, bytes a
// second, a fraction of requests. Quantities are immutable.
type Quantity[Q any] interface {
	comparable
	// Plus returns the sum.
	Plus(Q) Q
	// Minus returns the difference, and nothing where that would be below zero.
	Minus(Q) Q
	// Least returns the lower amount, in each dimension.
	Least(Q) Q
}

// Vessel holds what an account may use and is what requests take from. A change
// of limit adds nothing to its stock.
type Vessel[Q any] interface {
	// SetLimit changes the limit. From until on, unless that is zero, nothing may be
	// taken before the next change.
	SetLimit(limit Q, until, now time.Time)
	// Draw takes up to that many units out of the stock and returns how many.
	Draw(most int, now time.Time) int
	// Deposit adds units to the stock, up to the limit.
	Deposit(units int, now time.Time)
	// Next returns the instant at which a unit will be in stock, or zero.
	Next(now time.Time) time.Time
}

// Serial names an ask. It is never used twice.
type Serial struct {
	// Borrower is the asking incarnation.
	Borrower string
	// Number grows with each ask of the borrower.
	Number uint64
}

// Ask is a question for a part or for single units of a resource.
type Ask[Q any] struct {
	Serial Serial
	// Resource names what is shared, such as a team.
	Resource string
	// Part, if not zero, is asked for, for PartTerm.
	Part Q
	// Units is how many units are asked for: beside a part, or by themselves for
	// UnitTerm.
	Units int
}

// Grant is the answer to an ask.
type Grant[Q any] struct {
	Serial Serial
	// Part may be used until PartTerm after the asking.
	Part Q
	// Units came out of the lender's stock.
	Units int
	// WaitMillis is after how long asking again is worth while, if nothing was
	// granted; in milliseconds.
	WaitMillis int
}

// debit is a part that is lent.
type debit[Q any] struct {
	part  Q
	grant Grant[Q]
	// resumeAt is the instant at which the lender has it back.
	resumeAt time.Time
}

// credit is a part that is borrowed.
type credit[Q any] struct {
	part Q
	// stopAt is the instant from which it must not be used.
	stopAt time.Time
}

// Account is one instance's use of one resource. Safe for many goroutines;
// requests take from its vessel and never from it.
//
// Invariant: the vessel's limit is owned, less what is lent, plus what is
// borrowed and has not ended.
type Account[Q Quantity[Q]] struct {
	changing sync.Mutex
	vessel   Vessel[Q]
	// owned is used now; due is owned once Confirm is called.
	owned Q
	due   Q
	// asked holds the instant of each open ask under its serial's number.
	asked    map[uint64]time.Time
	lent     map[Serial]debit[Q]
	borrowed map[uint64]credit[Q]
	applied  Q
	until    time.Time
}

// New returns an account that owns nothing.
func New[Q Quantity[Q]](vessel Vessel[Q]) *Account[Q] {
	return &Account[Q]{
		vessel:   vessel,
		asked:    map[uint64]time.Time{},
		lent:     map[Serial]debit[Q]{},
		borrowed: map[uint64]credit[Q]{},
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

// Owned returns what the instance owns now and what it will own.
func (a *Account[Q]) Owned() (now, due Q) {
	a.changing.Lock()
	defer a.changing.Unlock()
	return a.owned, a.due
}

// Ahead returns what the vessel's limit will be at an instant if nothing else is
// borrowed.
func (a *Account[Q]) Ahead(at time.Time) Q {
	a.changing.Lock()
	defer a.changing.Unlock()
	return a.own(at).Plus(a.loans(at))
}

// Lend answers an ask. It keeps back the part that is given, and lends no more of
// a part than spare. A repeated ask gets the same answer.
func (a *Account[Q]) Lend(ask Ask[Q], spare Q, now time.Time) Grant[Q] {
	a.changing.Lock()
	defer a.changing.Unlock()
	if before, found := a.lent[ask.Serial]; found {
		return before.grant
	}
	a.expire(now)
	var none Q
	if ask.Part != none {
		return a.lendPart(ask, spare, now)
	}
	return a.lendUnits(ask, now)
}

// Settle takes back what was lent by an ask, and puts unused units back into the
// stock. The borrower uses it no longer. A repeated or late call changes nothing.
func (a *Account[Q]) Settle(serial Serial, unused int, now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	before, found := a.lent[serial]
	if !found {
		return
	}
	delete(a.lent, serial)
	a.apply(now)
	a.vessel.Deposit(min(unused, before.grant.Units), now)
}

// Begin notes that an ask is about to be sent.
func (a *Account[Q]) Begin(number uint64, now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	a.asked[number] = now
}

// Abandon forgets an ask whose answer is not waited for any longer. An answer
// that comes later changes nothing.
func (a *Account[Q]) Abandon(number uint64) {
	a.changing.Lock()
	defer a.changing.Unlock()
	delete(a.asked, number)
}

// Receive takes in the answer to an ask for a part. A late, doubled or unasked
// answer changes nothing.
func (a *Account[Q]) Receive(grant Grant[Q], now time.Time) bool {
	a.changing.Lock()
	defer a.changing.Unlock()
	askedAt, found := a.asked[grant.Serial.Number]
	delete(a.asked, grant.Serial.Number)
	stopAt := askedAt.Add(PartTerm - early)
	var none Q
	if !found || grant.Part == none || !now.Before(stopAt) {
		return false
	}
	a.borrowed[grant.Serial.Number] = credit[Q]{
		part:   grant.Part,
		stopAt: askedAt.Add(PartTerm),
	}
	a.apply(now)
	a.vessel.Deposit(grant.Units, now)
	return true
}

// ReceiveUnits takes in the answer to an ask for single units and returns how
// many the asking request may use at once: 0 for a late, doubled or unasked
// answer. They do not go into the vessel.
func (a *Account[Q]) ReceiveUnits(grant Grant[Q], now time.Time) int {
	a.changing.Lock()
	defer a.changing.Unlock()
	askedAt, found := a.asked[grant.Serial.Number]
	delete(a.asked, grant.Serial.Number)
	if !found || !now.Before(askedAt.Add(UnitTerm)) {
		return 0
	}
	return grant.Units
}

// Tick gives up borrowed parts that are about to end and resumes lent ones that
// have ended.
func (a *Account[Q]) Tick(now time.Time) {
	a.changing.Lock()
	defer a.changing.Unlock()
	a.expire(now)
}
