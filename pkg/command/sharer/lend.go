package sharer

import "time"

// lendPart lends as much of a part as is spare.
func (a *Account[Q]) lendPart(ask Ask[Q], spare Q, now time.Time) Grant[Q] {
	var none Q
	part := ask.Part.Least(spare).Least(a.own(now))
	grant := Grant[Q]{
		Serial: ask.Serial,
	}
	if part == none {
		grant.WaitMillis = int(PartTerm.Milliseconds() / 4)
		return grant
	}
	grant.Part = part
	grant.Units = a.vessel.Draw(ask.Units, now)
	a.debit(grant, part, PartTerm, now)
	return grant
}

// Divisible is a quantity whose single units can be lent by themselves.
type Divisible[Q any] interface {
	// Units returns the quantity that makes room for that many units.
	Units(units int) Q
	// Count returns how many units the quantity has room for.
	Count() int
}

// lendUnits lends single units out of the stock, with the room for them.
func (a *Account[Q]) lendUnits(ask Ask[Q], now time.Time) Grant[Q] {
	grant := Grant[Q]{
		Serial: ask.Serial,
	}
	own := a.own(now)
	divisible, ok := any(own).(Divisible[Q])
	if !ok {
		return grant
	}
	grant.Units = a.vessel.Draw(min(ask.Units, divisible.Count()), now)
	if grant.Units == 0 {
		grant.WaitMillis = a.waitMillis(now)
		return grant
	}
	a.debit(grant, divisible.Units(grant.Units), UnitTerm, now)
	return grant
}

// waitMillis is how long it takes until a unit is in stock, as far as is known.
func (a *Account[Q]) waitMillis(now time.Time) int {
	next := a.vessel.Next(now)
	if next.IsZero() {
		return int(UnitTerm.Milliseconds())
	}
	return int(next.Sub(now).Milliseconds()) + 1
}

// debit keeps a part back until the borrower has surely stopped.
func (a *Account[Q]) debit(grant Grant[Q], part Q, term time.Duration, now time.Time) {
	a.lent[grant.Serial] = debit[Q]{
		part:     part,
		grant:    grant,
		resumeAt: now.Add(term + term*driftPerMille/1000),
	}
	a.apply(now)
}

// own returns what is owned and not lent at an instant.
func (a *Account[Q]) own(at time.Time) Q {
	left := a.owned
	for _, debit := range a.lent {
		if at.Before(debit.resumeAt) {
			left = left.Minus(debit.part)
		}
	}
	return left
}

// loans returns what is borrowed and still usable at an instant.
func (a *Account[Q]) loans(at time.Time) Q {
	var sum Q
	for _, credit := range a.borrowed {
		if at.Before(credit.stopAt.Add(-early)) {
			sum = sum.Plus(credit.part)
		}
	}
	return sum
}

// expire ends what has ended and applies the rest.
func (a *Account[Q]) expire(now time.Time) {
	for number, credit := range a.borrowed {
		if !now.Before(credit.stopAt.Add(-early)) {
			delete(a.borrowed, number)
		}
	}
	for serial, debit := range a.lent {
		if !now.Before(debit.resumeAt) {
			delete(a.lent, serial)
		}
	}
	a.apply(now)
}

// apply sets the vessel's limit to what the account may use.
func (a *Account[Q]) apply(now time.Time) {
	limit := a.own(now).Plus(a.loans(now))
	until := a.firstEnd()
	if limit == a.applied && until.Equal(a.until) {
		return
	}
	a.applied = limit
	a.until = until
	a.vessel.SetLimit(limit, until, now)
}

// firstEnd returns the end of the borrowed part that ends first, or zero.
func (a *Account[Q]) firstEnd() time.Time {
	var first time.Time
	for _, credit := range a.borrowed {
		if first.IsZero() || credit.stopAt.Before(first) {
			first = credit.stopAt
		}
	}
	return first
}
