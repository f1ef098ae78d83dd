package sharer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

const (
	// maxOpenUnits is how many asks for units a desk has open at once.
	maxOpenUnits = 4
	// maxUnits is how many units one ask is for at most.
	maxUnits = 32
	// maxOpenParts is how many asks for parts a desk has open at once.
	maxOpenParts = 6
	// MaxWaiters is how many requests wait at a desk at most.
	MaxWaiters = 512
	// pumpEvery is the longest time between two pumps while requests wait.
	pumpEvery = 10 * time.Millisecond
)

// Desk admits a team's requests at one instance: from the instance's own part of
// the team's limit, and from what it borrows. It sends nothing itself: Pump and
// Tick return the asks to send. Safe for many goroutines.
type Desk struct {
	// Bucket is what requests take from.
	Bucket *limiter.Bucket
	// Account is the instance's use of the limit.
	Account *Account[limiter.Limit]

	// requests counts the requests that have come.
	requests atomic.Uint64

	// deciding guards all below.
	deciding sync.Mutex
	resource string
	borrower string
	whole    limiter.Limit
	demand   Demand
	// holders are the other instances that own parts, the nearest first.
	holders []string
	// restUntil holds, for each holder that had nothing, when to ask it again.
	restUntil map[string]time.Time
	// turn is the holder whose turn it is.
	turn   int
	number uint64
	// open holds the open asks under their numbers.
	open    map[uint64]Directed
	waiters []waiter
}

// Directed is an ask and whom it is for.
type Directed struct {
	Holder string
	Ask    Ask[limiter.Limit]
}

// Settlement tells a lender that its units are used no longer.
type Settlement struct {
	Holder   string
	Resource string
	Serial   Serial
	// Unused units go back into the lender's stock.
	Unused int
}

// waiter is a request that waits for the team's rate.
type waiter struct {
	deadline time.Time
	// admitted is called once, with the outcome.
	admitted func(bool)
}

// NewDesk returns a desk that owns nothing. Borrower is the incarnation.
func NewDesk(resource, borrower string, now time.Time) *Desk {
	bucket := limiter.NewBucket(limiter.Limit{}, now)
	return &Desk{
		Bucket:    bucket,
		Account:   New[limiter.Limit](bucket),
		resource:  resource,
		borrower:  borrower,
		restUntil: map[string]time.Time{},
		open:      map[uint64]Directed{},
	}
}

// Take admits one request from what is at hand, without lock. If it does not, it
// says when it would, as far as is known.
func (d *Desk) Take(now time.Time) (time.Time, bool) {
	d.requests.Add(1)
	return d.Bucket.Take(now)
}

// SetWhole says what the team's whole limit is, and which other instances own
// parts of it, the nearest first.
func (d *Desk) SetWhole(whole limiter.Limit, holders []string) {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	d.whole = whole
	d.holders = slices.Clone(holders)
	for holder := range d.restUntil {
		if !slices.Contains(holders, holder) {
			delete(d.restUntil, holder)
		}
	}
}

// Join lets a request wait until a deadline for the team's rate. It returns false
// if too many wait already; otherwise admitted is called once.
func (d *Desk) Join(deadline time.Time, admitted func(bool)) bool {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	if len(d.waiters) >= MaxWaiters {
		return false
	}
	d.waiters = append(d.waiters, waiter{
		deadline: deadline,
		admitted: admitted,
	})
	return true
}

// Pump serves the waiting requests as far as it can, and returns the asks to send
// and the instant of the next pump, or zero if nobody waits.
func (d *Desk) Pump(now time.Time) ([]Directed, time.Time) {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	d.expireWaiters(now)
	for len(d.waiters) > 0 {
		if _, ok := d.Bucket.Take(now); !ok {
			break
		}
		d.serve(1)
	}
	if len(d.waiters) == 0 {
		return nil, time.Time{}
	}
	return d.askUnits(now), d.nextPump(now)
}

// Tick looks at the demand, ends loans, and returns the asks for parts to send.
func (d *Desk) Tick(now time.Time) []Directed {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	d.Account.Tick(now)
	d.demand.Observe(d.requests.Load(), now)
	short := d.demand.Shortfall(d.whole, d.Account.Ahead(Horizon(now)))
	if short.IsZero() {
		return nil
	}
	return d.askParts(short, now)
}

// Receive takes in the answer to an ask. It returns a settlement to send to the
// lender, or nil.
func (d *Desk) Receive(grant Grant[limiter.Limit], now time.Time) *Settlement {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	directed, found := d.open[grant.Serial.Number]
	if !found {
		return nil
	}
	delete(d.open, grant.Serial.Number)
	if grant.WaitMillis > 0 {
		d.restUntil[directed.Holder] = now.Add(time.Duration(grant.WaitMillis) * time.Millisecond)
	}
	if directed.Ask.Part != (limiter.Limit{}) {
		d.Account.Receive(grant, now)
		return nil
	}
	return d.receiveUnits(directed, grant, now)
}

// Miss notes that an ask was not answered in time.
func (d *Desk) Miss(number uint64, now time.Time) {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	directed, found := d.open[number]
	if !found {
		return
	}
	delete(d.open, number)
	d.Account.Abandon(number)
	d.restUntil[directed.Holder] = now.Add(UnitTerm)
}

// Lend answers another instance's ask. What the own demand takes up is not spare.
func (d *Desk) Lend(ask Ask[limiter.Limit], now time.Time) Grant[limiter.Limit] {
	d.deciding.Lock()
	owned, _ := d.Account.Owned()
	spare := owned.Minus(d.demand.Need(d.whole))
	d.deciding.Unlock()
	return d.Account.Lend(ask, spare, now)
}

// Waiting returns how many requests wait.
func (d *Desk) Waiting() int {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	return len(d.waiters)
}

// PerSecond returns the demand.
func (d *Desk) PerSecond() float64 {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	return d.demand.PerSecond()
}

func (d *Desk) receiveUnits(directed Directed, grant Grant[limiter.Limit], now time.Time) *Settlement {
	units := d.Account.ReceiveUnits(grant, now)
	if units == 0 {
		return nil
	}
	d.expireWaiters(now)
	used := min(units, len(d.waiters))
	d.serve(used)
	return &Settlement{
		Holder:   directed.Holder,
		Resource: d.resource,
		Serial:   grant.Serial,
		Unused:   units - used,
	}
}

// serve admits the first waiting requests.
func (d *Desk) serve(count int) {
	for _, served := range d.waiters[:count] {
		served.admitted(true)
	}
	d.waiters = slices.Delete(d.waiters, 0, count)
}

// expireWaiters refuses the requests whose deadline has passed.
func (d *Desk) expireWaiters(now time.Time) {
	d.waiters = slices.DeleteFunc(d.waiters, func(waiting waiter) bool {
		expired := !now.Before(waiting.deadline)
		if expired {
			waiting.admitted(false)
		}
		return expired
	})
}

func (d *Desk) nextPump(now time.Time) time.Time {
	next := now.Add(pumpEvery)
	if local := d.Bucket.Next(now); !local.IsZero() && local.Before(next) {
		return local
	}
	return next
}
