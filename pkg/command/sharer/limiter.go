package sharer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

const (
	// PerHolder is the least burst of one owner of a part: smaller limits are owned
	// by few instances, from which the others borrow.
	PerHolder = 16
	// LongestWait is how long a request waits for its team's rate at most.
	LongestWait = time.Second
	// MaxWaiters is how many requests and asks wait at a desk at most.
	MaxWaiters = 512
	// leastWaiters is how many may always wait.
	leastWaiters = 4
	// PumpEvery is the time between two pumps of a desk in use.
	PumpEvery = 10 * time.Millisecond
	// keepFor is how long borrowed units are kept unused.
	keepFor = 300 * time.Millisecond
	// observeEvery is the time between two looks at the demand.
	observeEvery = 50 * time.Millisecond
	// atOnce is a pump that is overdue, in nanoseconds after a desk was made.
	atOnce = 1
	// leastDemand is the demand, in requests a second, below which a desk rests.
	leastDemand = 0.01
)

// Desk admits a team's requests at one instance: from the instance's own part of
// the team's limit, and from units that it borrows. It sends nothing itself: Pump
// and Receive return what to send. Safe for many goroutines.
type Desk struct {
	// Bucket holds the own part, Account lends from it.
	Bucket  *limiter.Bucket
	Account *Account[limiter.Limit]

	// purse holds the borrowed units.
	purse purse
	// requests counts the requests that have come, and guests the units that
	// instances without a part of their own have asked for.
	requests atomic.Uint64
	guests   atomic.Uint64

	// pumped is the count of requests at the last pump.
	pumped atomic.Uint64
	// begun is when the desk was made, and pumpAt when it is to be pumped again
	// whatever the count, in nanoseconds after that; 0 is never.
	begun  time.Time
	pumpAt atomic.Int64

	// deciding guards all below.
	deciding sync.Mutex
	resource string
	borrower string
	demand   demand
	// holders are the other instances that own parts, the nearest first.
	holders []string
	// restUntil holds, for each holder that did not answer or had nothing, when to
	// ask it again.
	restUntil map[string]time.Time
	// empties counts how often in a row each holder had nothing.
	empties map[string]int
	// turn is the holder whose turn it is.
	turn   int
	number uint64
	// open holds the open asks under their numbers.
	open map[uint64]openAsk
	// missed holds, for each ask that was not answered in time, when it is no longer
	// worth while to give a late answer back.
	missed map[uint64]time.Time
	// maxWaiters bounds waiters.
	maxWaiters int
	waiters    []waiter
}

// openAsk is an ask whose answer is waited for.
type openAsk struct {
	directed Directed
	askedAt  time.Time
}

// waiter is a request, here or at a borrower, that waits for the team's rate.
type waiter struct {
	deadline time.Time
	// serve tries to serve the waiter, and says whether it is served.
	serve func(now time.Time) bool
	// refuse ends the waiting without success.
	refuse func()
}

// NewDesk returns a desk that owns nothing. Borrower is the incarnation.
func NewDesk(resource, borrower string, now time.Time) *Desk {
	bucket := limiter.NewBucket(limiter.Limit{}, now)
	return &Desk{
		Bucket:     bucket,
		Account:    New[limiter.Limit](bucket),
		begun:      now,
		resource:   resource,
		borrower:   borrower,
		maxWaiters: leastWaiters,
		restUntil:  map[string]time.Time{},
		empties:    map[string]int{},
		open:       map[uint64]openAsk{},
		missed:     map[uint64]time.Time{},
	}
}

// Take admits one request from what is at hand, without lock. If it does not, it
// says when the own part would, as far as is known.
func (d *Desk) Take(now time.Time) (time.Time, bool) {
	d.requests.Add(1)
	retryAt, ok := d.Bucket.Take(now)
	if ok || d.purse.take(now) {
		return time.Time{}, true
	}
	return retryAt, false
}

// Demanded returns how many units have been asked for here so far: by requests, and by
// instances without a part of their own.
func (d *Desk) Demanded() uint64 {
	return d.requests.Load() + d.guests.Load()
}

// SetHolders says which other instances own parts, the nearest first, and the
// whole rate, by which the number of those who wait is bounded.
func (d *Desk) SetHolders(holders []string, wholePerSecond float64) {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	d.holders = slices.Clone(holders)
	d.maxWaiters = min(leastWaiters+int(wholePerSecond*LongestWait.Seconds()), MaxWaiters)
	for holder := range d.restUntil {
		if !slices.Contains(holders, holder) {
			delete(d.restUntil, holder)
			delete(d.empties, holder)
		}
	}
}

// Join lets a request wait until a deadline for the team's rate. It returns false
// if too many wait already; otherwise admitted is called once.
func (d *Desk) Join(deadline time.Time, admitted func(bool)) bool {
	return d.join(waiter{
		deadline: deadline,
		serve: func(now time.Time) bool {
			if _, ok := d.Bucket.Take(now); !ok && !d.purse.take(now) {
				return false
			}
			admitted(true)
			return true
		},
		refuse: func() { admitted(false) },
	})
}

// Lend answers another instance's ask: at once if units are in stock and nobody
// waits, otherwise when it is its turn, within its patience.
func (d *Desk) Lend(ask Ask, now time.Time, answer func(Grant)) {
	d.countGuest(ask)
	serve := func(now time.Time) bool {
		units := d.Account.Lend(ask.Serial, ask.Units, now)
		if units > 0 {
			answer(Grant{
				Serial: ask.Serial,
				Units:  units,
			})
		}
		return units > 0
	}
	refuse := func() {
		answer(Grant{
			Serial: ask.Serial,
		})
	}
	if d.Waiting() == 0 && serve(now) {
		return
	}
	joined := ask.PatienceMillis > 0 && d.join(waiter{
		deadline: now.Add(time.Duration(ask.PatienceMillis) * time.Millisecond),
		serve:    serve,
		refuse:   refuse,
	})
	if !joined {
		refuse()
	}
}

// countGuest counts what is asked for by an instance that is no holder.
func (d *Desk) countGuest(ask Ask) {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	if !slices.Contains(d.holders, ask.Serial.Borrower) {
		d.guests.Add(uint64(ask.Units))
	}
}

// Pump serves those who wait as far as it can, borrows for the rest and for what
// is to come, and returns what to do.
func (d *Desk) Pump(now time.Time) Work {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	var work Work
	d.pumped.Store(d.requests.Load())
	d.Account.Tick(now)
	if now.Sub(d.demand.at) >= observeEvery {
		d.demand.observe(d.requests.Load(), now)
	}
	d.serveWaiters(now)
	d.purse.sweep(now, func(b *batch, unused int) {
		work.Settlements = append(work.Settlements, d.settlement(b, unused))
	})
	maps.DeleteFunc(d.missed, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	work.Asks = d.asks(now)
	work.Next = d.nextPump(now)
	d.pumpAt.Store(0)
	if !work.Next.IsZero() {
		d.pumpAt.Store(int64(work.Next.Sub(d.begun)))
	}
	return work
}

// nextPump returns when to pump again: soon while somebody waits, seldom while there
// is demand to follow, and else never.
func (d *Desk) nextPump(now time.Time) time.Time {
	switch {
	case len(d.waiters) > 0:
		return now.Add(PumpEvery)
	case len(d.open) > 0 || d.purse.left(now) > 0 || d.demand.perSecond > leastDemand:
		return now.Add(observeEvery)
	default:
		return time.Time{}
	}
}

// Receive takes in the answer to an ask and serves those who wait with it. An
// answer that comes too late is given back unused. One that was not asked for, or
// has come already, changes nothing: to give that back would give back what is in
// use.
func (d *Desk) Receive(holder string, grant Grant, now time.Time) []Settlement {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	number := grant.Serial.Number
	asked, found := d.open[number]
	_, late := d.missed[number]
	delete(d.open, number)
	delete(d.missed, number)
	if !found && !late {
		return nil
	}
	if grant.Units == 0 {
		d.restUntil[holder] = now.Add(d.rest(d.empties[holder]))
		d.empties[holder]++
		return nil
	}
	delete(d.empties, holder)
	b := &batch{
		holder:   holder,
		serial:   grant.Serial,
		until:    asked.askedAt.Add(UnitTerm),
		returnAt: now.Add(keepFor),
	}
	b.left.Store(int64(grant.Units))
	if late || !now.Before(b.until) || !d.purse.put(b) {
		return []Settlement{d.settlement(b, grant.Units)}
	}
	d.serveWaiters(now)
	return nil
}

// Miss notes that an ask was not answered in time. An answer that comes later is
// given back.
func (d *Desk) Miss(number uint64, now time.Time) {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	asked, found := d.open[number]
	if !found {
		return
	}
	delete(d.open, number)
	d.missed[number] = now.Add(UnitTerm)
	d.restUntil[asked.directed.Holder] = now.Add(restAfterSilence)
}

// NextPump returns when the desk is to be pumped, and zero while nothing has happened
// since the last pump and nothing has to. It takes no lock.
func (d *Desk) NextPump(now time.Time) time.Time {
	next := d.pumpAt.Load()
	switch {
	case next != 0:
		return d.begun.Add(time.Duration(next))
	case d.requests.Load() != d.pumped.Load():
		return now
	default:
		return time.Time{}
	}
}

// Waiting returns how many requests and asks wait.
func (d *Desk) Waiting() int {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	return len(d.waiters)
}

func (d *Desk) join(joining waiter) bool {
	d.deciding.Lock()
	defer d.deciding.Unlock()
	if len(d.waiters) >= d.maxWaiters {
		return false
	}
	d.waiters = append(d.waiters, joining)
	d.pumpAt.Store(atOnce)
	return true
}

// serveWaiters refuses those whose deadline has passed, then serves the first
// ones, in their order, as far as units are at hand.
func (d *Desk) serveWaiters(now time.Time) {
	d.waiters = slices.DeleteFunc(d.waiters, func(waiting waiter) bool {
		expired := !now.Before(waiting.deadline)
		if expired {
			waiting.refuse()
		}
		return expired
	})
	served := 0
	for served < len(d.waiters) && d.waiters[served].serve(now) {
		served++
	}
	d.waiters = slices.Delete(d.waiters, 0, served)
}

func (d *Desk) settlement(b *batch, unused int) Settlement {
	return Settlement{
		Holder:   b.holder,
		Resource: d.resource,
		Serial:   b.serial,
		Unused:   unused,
	}
}
