package sharer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

// askUnits asks holders for the units that waiting requests need and no open ask
// is for.
func (d *Desk) askUnits(now time.Time) []Directed {
	open, expected := 0, 0
	for _, directed := range d.open {
		if directed.Ask.Part == (limiter.Limit{}) {
			open++
			expected += directed.Ask.Units
		}
	}
	var asks []Directed
	for missing := len(d.waiters) - expected; missing > 0 && open < maxOpenUnits; open++ {
		holder, found := d.nextHolder(now)
		if !found {
			break
		}
		units := min(missing, maxUnits)
		missing -= units
		asks = append(asks, d.ask(holder, limiter.Limit{}, units, now))
	}
	return asks
}

// askParts asks several holders for an equal part of a shortfall each.
func (d *Desk) askParts(short limiter.Limit, now time.Time) []Directed {
	open := 0
	for _, directed := range d.open {
		if directed.Ask.Part != (limiter.Limit{}) {
			open++
			short = short.Minus(directed.Ask.Part)
		}
	}
	if short.IsZero() {
		return nil
	}
	count := min(maxOpenParts-open, len(d.holders))
	if count <= 0 {
		return nil
	}
	each := limiter.Limit{
		RatePerSecond: short.RatePerSecond / float64(count),
		Burst:         (short.Burst + count - 1) / count,
	}
	var asks []Directed
	for range count {
		holder, found := d.nextHolder(now)
		if !found {
			break
		}
		asks = append(asks, d.ask(holder, each, each.Burst, now))
	}
	return asks
}

// nextHolder returns the next holder in turn that does not rest.
func (d *Desk) nextHolder(now time.Time) (string, bool) {
	for range d.holders {
		d.turn++
		holder := d.holders[d.turn%len(d.holders)]
		if !now.Before(d.restUntil[holder]) {
			return holder, true
		}
	}
	return "", false
}

func (d *Desk) ask(holder string, part limiter.Limit, units int, now time.Time) Directed {
	d.number++
	directed := Directed{
		Holder: holder,
		Ask: Ask[limiter.Limit]{
			Serial: Serial{
				Borrower: d.borrower,
				Number:   d.number,
			},
			Resource: d.resource,
			Part:     part,
			Units:    units,
		},
	}
	d.open[d.number] = directed
	d.Account.Begin(d.number, now)
	return directed
}
