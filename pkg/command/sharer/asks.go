package sharer

import "time"

const (
	// maxOpenAsks is how many asks of one limiter may be unanswered at once.
	maxOpenAsks = 10
	// maxUnitsPerAsk is the largest number of units that one ask requests.
	maxUnitsPerAsk = 64
	// lenderWaitLimit is how long a lender may hold back its answer to an ask while it
	// waits for units.
	lenderWaitLimit = 800 * time.Millisecond
	// AnswerTimeout is how long the borrower waits for an answer: lenderWaitLimit plus an
	// allowance for the messages' time on the network.
	AnswerTimeout = lenderWaitLimit + 300*time.Millisecond
	// emptyGrantBackoff is the backoff after a holder's first empty grant. Each further
	// empty grant in a row doubles it, up to emptyGrantBackoff times the number of
	// holders. While the limit is used up everywhere, all holders together are thus
	// asked about once per emptyGrantBackoff, and a single holder has no longer backoff
	// than that.
	emptyGrantBackoff = 50 * time.Millisecond
	// maxBackoffDoublings bounds the doublings where there are very many holders.
	maxBackoffDoublings = 6
	// timeoutBackoff is the backoff after a holder did not answer in time.
	timeoutBackoff = time.Second
)

// newAsks returns asks for the units that are missing, both for the waiters and for
// the requests expected during borrowHorizon.
func (l *Limiter) newAsks(now time.Time) []DirectedAsk {
	// covered counts the units that are borrowed or asked for.
	covered := l.borrowed.remaining(now)
	for _, open := range l.openAsks {
		covered += open.directed.Ask.Units
	}
	missing := len(l.waiters) - covered
	wanted := l.demand.wantedUnits(l.Bucket.Limit().RatePerSecond)
	if missing > 0 || covered < wanted/2 {
		// Ask for the expected requests too, so that not each of them needs an ask of
		// its own.
		missing += wanted
	}
	var asks []DirectedAsk
	for missing > 0 && len(l.openAsks) < maxOpenAsks {
		holder, found := l.nextHolder(now)
		if !found {
			break
		}
		// Spread the missing units over several holders, which are asked at once.
		units := min(max(missing/4, 1), maxUnitsPerAsk)
		missing -= units
		asks = append(asks, l.newAsk(holder, units, now))
	}
	return asks
}

// backoff returns how long a holder is not asked that already had emptyGrants empty
// grants in a row before the present one.
func (l *Limiter) backoff(emptyGrants int) time.Duration {
	longestBackoff := emptyGrantBackoff * time.Duration(max(len(l.holders), 1))
	return min(emptyGrantBackoff<<min(emptyGrants, maxBackoffDoublings), longestBackoff)
}

// nextHolder returns the nearest holder that is neither in backoff nor has an open
// ask. If there is none, it returns the next holder in round-robin order that is not in
// backoff.
func (l *Limiter) nextHolder(now time.Time) (string, bool) {
	for _, holder := range l.holders {
		if !now.Before(l.backoffUntil[holder]) && !l.hasOpenAsk(holder) {
			return holder, true
		}
	}
	for range l.holders {
		l.roundRobinIndex++
		holder := l.holders[l.roundRobinIndex%len(l.holders)]
		if !now.Before(l.backoffUntil[holder]) {
			return holder, true
		}
	}
	return "", false
}

// hasOpenAsk reports whether an ask to the holder is unanswered.
func (l *Limiter) hasOpenAsk(holder string) bool {
	for _, open := range l.openAsks {
		if open.directed.Holder == holder {
			return true
		}
	}
	return false
}

// newAsk makes an ask to the holder and records it as open.
func (l *Limiter) newAsk(holder string, units int, now time.Time) DirectedAsk {
	directed := DirectedAsk{
		Holder: holder,
		Ask: Ask{
			Serial:           l.borrower.nextSerial(),
			Resource:         l.resource,
			Units:            units,
			LenderWaitMillis: int(lenderWaitLimit.Milliseconds()),
		},
	}
	l.openAsks[directed.Ask.Serial.Number] = openAsk{
		directed: directed,
		askedAt:  now,
	}
	return directed
}
