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
	// MinHolderBurst is the smallest burst of a part that a holder owns. A limit too
	// small to give every instance that much has few holders, from which the others
	// borrow.
	MinHolderBurst = 16
	// MaxWait is the longest time for which a request waits for its team's rate.
	MaxWait = time.Second
	// MaxWaiters is the largest number of requests and asks that wait at one limiter.
	MaxWaiters = 512
	// minWaiters is how many requests and asks may wait whatever the team's rate.
	minWaiters = 4
	// PollInterval is the time between two polls of a limiter that has waiters.
	PollInterval = 10 * time.Millisecond
	// returnUnusedAfter is how long borrowed units are kept before those that are still
	// unused are given back.
	returnUnusedAfter = 300 * time.Millisecond
	// observeInterval is the time between two measurements of the demand.
	observeInterval = 50 * time.Millisecond
	// pollImmediately is a value of pollAt that is always in the past: one nanosecond
	// after the limiter was created.
	pollImmediately = 1
	// minDemand is the demand, in requests per second, up to which an idle limiter is
	// not polled.
	minDemand = 0.01
)

// Limiter admits a team's requests at one instance, from the instance's own part of the
// team's limit and from units that it borrows. It sends no messages itself: Poll and
// Receive return those to send, and Lend passes its grant to a function. It is safe for
// concurrent use.
type Limiter struct {
	// Bucket holds the instance's own part, and Account lends units from it.
	Bucket  *limiter.Bucket
	Account *Account[limiter.Limit]

	borrowed borrowedUnits
	// requests counts the requests received here. remoteDemand counts the units that
	// instances without a part of their own have asked for.
	requests     atomic.Uint64
	remoteDemand atomic.Uint64

	// requestsAtPoll is the value of requests at the last poll.
	requestsAtPoll atomic.Uint64
	// createdAt is when the limiter was created. pollAt is the time of the next poll
	// that is due whatever the count of requests, in nanoseconds after createdAt; 0
	// means that none is due.
	createdAt time.Time
	pollAt    atomic.Int64

	// mu guards all fields below.
	mu sync.Mutex
	// retirement is inUse while a plan contains the limiter for its team. Otherwise nobody
	// waits at it.
	retirement retirement
	resource   string
	borrower   *Borrower
	demand     demand
	// holders are the other instances that own parts, nearest first.
	holders []string
	// backoffUntil holds the end of the backoff of each holder that did not answer in
	// time or had nothing to lend.
	backoffUntil map[string]time.Time
	// emptyGrants counts the consecutive empty grants of each holder.
	emptyGrants map[string]int
	// roundRobinIndex selects the holder to ask while each one outside backoff has an
	// open ask.
	roundRobinIndex int
	// openAsks holds the unanswered asks by number.
	openAsks map[uint64]openAsk
	// timedOut holds the asks that were not answered in time, by number. The value is
	// the instant from which a late grant need not be given back any more.
	timedOut map[uint64]time.Time
	// maxWaiters is the largest number of waiters.
	maxWaiters int
	waiters    []waiter
	// lastRefusedAt is when a waiter was last refused; the zero time if none was.
	// overloadedSince is since when there has been no pause of serviceWindow between refusals.
	overloadedSince time.Time
	lastRefusedAt   time.Time
	// served counts the waiters that were served, and serviceRate is the moving average of
	// their rate.
	served      uint64
	serviceRate demand
}

// openAsk is an ask that has not been answered yet.
type openAsk struct {
	directed DirectedAsk
	askedAt  time.Time
}

// NewLimiter returns a limiter that owns nothing. All limiters of an instance must have the
// same borrower.
func NewLimiter(resource string, borrower *Borrower, now time.Time) *Limiter {
	bucket := limiter.NewBucket(limiter.Limit{}, now)
	return &Limiter{
		Bucket:       bucket,
		Account:      NewAccount[limiter.Limit](bucket),
		createdAt:    now,
		resource:     resource,
		borrower:     borrower,
		maxWaiters:   minWaiters,
		backoffUntil: map[string]time.Time{},
		emptyGrants:  map[string]int{},
		openAsks:     map[uint64]openAsk{},
		timedOut:     map[uint64]time.Time{},
	}
}

// Take admits one request and returns true if a unit of the instance's own part or a
// borrowed one is available. Otherwise it returns false and the instant at which the
// own part would admit the request, or the zero time if that is not known. It takes no
// lock.
func (l *Limiter) Take(now time.Time) (time.Time, bool) {
	l.requests.Add(1)
	retryAt, ok := l.Bucket.Take(now)
	if ok || l.borrowed.take(now) {
		return time.Time{}, true
	}
	return retryAt, false
}

// Peek returns what Take would return. It takes no unit and counts no request.
func (l *Limiter) Peek(now time.Time) (time.Time, bool) {
	retryAt, ok := l.Bucket.Peek(now)
	if ok || l.borrowed.remaining(now) > 0 {
		return time.Time{}, true
	}
	return retryAt, false
}

// TotalDemand returns how many units have been requested here so far, by requests and by
// instances without a part of their own.
func (l *Limiter) TotalDemand() uint64 {
	return l.requests.Load() + l.remoteDemand.Load()
}

// SetHolders sets the other instances that own parts, nearest first. The rate of the
// whole limit, wholePerSecond, bounds the number of waiters.
func (l *Limiter) SetHolders(holders []string, wholePerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders = slices.Clone(holders)
	l.maxWaiters = min(minWaiters+int(wholePerSecond*MaxWait.Seconds()), MaxWaiters)
	for holder := range l.backoffUntil {
		if !slices.Contains(holders, holder) {
			delete(l.backoffUntil, holder)
			delete(l.emptyGrants, holder)
		}
	}
}

// Lend answers an ask of another instance: at once if units are in stock and there are
// no waiters, otherwise when its turn comes or its wait limit ends.
func (l *Limiter) Lend(ask Ask, now time.Time, answer func(Grant)) {
	l.countRemoteDemand(ask)
	serve := func(now time.Time) bool {
		units := l.Account.Lend(ask.Serial, ask.Units, now)
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
	if l.Waiting() == 0 && serve(now) {
		return
	}
	enqueued := ask.LenderWaitMillis > 0 && l.addWaiter(waiter{
		deadline: now.Add(time.Duration(ask.LenderWaitMillis) * time.Millisecond),
		serve:    serve,
		refuse:   refuse,
		retire:   func(retirement) { refuse() },
	})
	if !enqueued {
		refuse()
	}
}

// countRemoteDemand adds the units of the ask to remoteDemand if the borrower is not a
// holder. The demand of a holder is in its own reports (package apportioner) and must
// not be counted twice.
func (l *Limiter) countRemoteDemand(ask Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.holders, ask.Serial.Borrower) {
		l.remoteDemand.Add(uint64(ask.Units))
	}
}

// Poll polls the limiter: it serves waiters as far as units are available, asks for
// units for the other waiters and for expected requests, and returns the messages to
// send.
func (l *Limiter) Poll(now time.Time) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	var work Work
	l.requestsAtPoll.Store(l.requests.Load())
	l.Account.ExpireLoans(now)
	if now.Sub(l.demand.observedAt) >= observeInterval {
		l.demand.observe(l.requests.Load(), now)
		l.serviceRate.observe(l.served, now)
	}
	l.serveWaiters(now)
	l.borrowed.sweep(now, func(b *batch, unused int) {
		work.Settlements = append(work.Settlements, l.newSettlement(b, unused))
	})
	maps.DeleteFunc(l.timedOut, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	work.Asks = l.newAsks(now)
	work.Next = l.pollTimeAfter(now)
	l.pollAt.Store(0)
	if !work.Next.IsZero() {
		l.pollAt.Store(int64(work.Next.Sub(l.createdAt)))
	}
	return work
}

// pollTimeAfter returns the time of the poll that follows one at now: after PollInterval while
// there are waiters; after observeInterval while an ask is open, borrowed units are left,
// or there is demand to measure; otherwise the zero time.
func (l *Limiter) pollTimeAfter(now time.Time) time.Time {
	switch {
	case len(l.waiters) > 0:
		return now.Add(PollInterval)
	case len(l.openAsks) > 0 || l.borrowed.remaining(now) > 0 || l.demand.perSecond > minDemand:
		return now.Add(observeInterval)
	default:
		return time.Time{}
	}
}

// Receive handles the grant that answers an ask and serves waiters with it. If the grant
// comes too late, or maxBatches grants are held already, Receive returns the settlement
// to send, which gives the units back unused. An unsolicited or repeated grant changes
// nothing, because giving it back could give back units that are in use.
func (l *Limiter) Receive(holder string, grant Grant, now time.Time) []Settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := grant.Serial.Number
	open, found := l.openAsks[number]
	_, late := l.timedOut[number]
	delete(l.openAsks, number)
	delete(l.timedOut, number)
	if !found && !late {
		return nil
	}
	if grant.Units == 0 {
		l.backoffUntil[holder] = now.Add(l.backoff(l.emptyGrants[holder]))
		l.emptyGrants[holder]++
		return nil
	}
	delete(l.emptyGrants, holder)
	b := &batch{
		holder:    holder,
		serial:    grant.Serial,
		expiresAt: open.askedAt.Add(LoanTerm),
		returnAt:  now.Add(returnUnusedAfter),
	}
	b.remaining.Store(int64(grant.Units))
	if late || !now.Before(b.expiresAt) || !l.borrowed.add(b) {
		return []Settlement{l.newSettlement(b, grant.Units)}
	}
	l.serveWaiters(now)
	return nil
}

// TimeOut records that an ask was not answered in time. The units of a later answer are
// given back.
func (l *Limiter) TimeOut(number uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open, found := l.openAsks[number]
	if !found {
		return
	}
	delete(l.openAsks, number)
	l.timedOut[number] = now.Add(LoanTerm)
	l.backoffUntil[open.directed.Holder] = now.Add(timeoutBackoff)
}

// NextPoll returns when the limiter is to be polled next. It returns the zero time if
// no request has come since the last poll and no poll is scheduled. It takes no lock.
func (l *Limiter) NextPoll(now time.Time) time.Time {
	next := l.pollAt.Load()
	switch {
	case next != 0:
		return l.createdAt.Add(time.Duration(next))
	case l.requests.Load() != l.requestsAtPoll.Load():
		return now
	default:
		return time.Time{}
	}
}

// newSettlement returns the settlement of a batch.
func (l *Limiter) newSettlement(b *batch, unused int) Settlement {
	return Settlement{
		Holder:   b.holder,
		Resource: l.resource,
		Serial:   b.serial,
		Unused:   unused,
	}
}
