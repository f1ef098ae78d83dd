package sharer

import "time"

const (
	// maxOpen is how many asks a desk has open at once.
	maxOpen = 10
	// maxUnits is how many units one ask is for at most.
	maxUnits = 64
	// patience is how long a lender may wait for the units of an ask.
	patience = 800 * time.Millisecond
	// AnswerLimit is how long an answer is waited for: patience and the way.
	AnswerLimit = patience + 300*time.Millisecond
	// restAfterNothing is how long a holder that had nothing is left alone. Each time
	// in a row doubles that, up to as many times this as there are holders: a limit
	// that is used up everywhere is asked for once in this time, whoever is asked, and
	// a single holder is soon asked again.
	restAfterNothing = 50 * time.Millisecond
	// maxRestDoublings bounds the doublings where there are very many holders.
	maxRestDoublings = 6
	// restAfterSilence is how long a holder that did not answer is left alone.
	restAfterSilence = time.Second
)

// asks returns asks for the units that are missing: for those who wait, and for
// the requests to come.
func (d *Desk) asks(now time.Time) []Directed {
	expected := d.purse.left(now)
	for _, asked := range d.open {
		expected += asked.directed.Ask.Units
	}
	missing := len(d.waiters) - expected
	wanted := d.demand.wanted(d.Bucket.Limit().RatePerSecond)
	if missing > 0 || expected < wanted/2 {
		// Asking for more at once takes fewer messages.
		missing += wanted
	}
	var asks []Directed
	for missing > 0 && len(d.open) < maxOpen {
		holder, found := d.nextHolder(now)
		if !found {
			break
		}
		// Several holders are asked at once, each for a part of what is missing.
		units := min(max(missing/4, 1), maxUnits)
		missing -= units
		asks = append(asks, d.ask(holder, units, now))
	}
	return asks
}

// rest returns how long a holder is left alone that had nothing that often in a row.
func (d *Desk) rest(empties int) time.Duration {
	longest := restAfterNothing * time.Duration(max(len(d.holders), 1))
	return min(restAfterNothing<<min(empties, maxRestDoublings), longest)
}

// nextHolder returns the nearest holder that does not rest and is not being asked, or
// else the next one in turn that does not rest.
func (d *Desk) nextHolder(now time.Time) (string, bool) {
	for _, holder := range d.holders {
		if !now.Before(d.restUntil[holder]) && !d.asking(holder) {
			return holder, true
		}
	}
	for range d.holders {
		d.turn++
		holder := d.holders[d.turn%len(d.holders)]
		if !now.Before(d.restUntil[holder]) {
			return holder, true
		}
	}
	return "", false
}

// asking says whether a holder is being asked.
func (d *Desk) asking(holder string) bool {
	for _, asked := range d.open {
		if asked.directed.Holder == holder {
			return true
		}
	}
	return false
}

func (d *Desk) ask(holder string, units int, now time.Time) Directed {
	d.number++
	directed := Directed{
		Holder: holder,
		Ask: Ask{
			Serial: Serial{
				Borrower: d.borrower,
				Number:   d.number,
			},
			Resource:       d.resource,
			Units:          units,
			PatienceMillis: int(patience.Milliseconds()),
		},
	}
	d.open[d.number] = openAsk{
		directed: directed,
		askedAt:  now,
	}
	return directed
}
