// Package usagereporter carries out the duty to report the usage of teams: it counts requests,
// exchanges counts and the record of the duty with the other instances, and makes the calls to
// the store and to the platform. Who holds the duty and when it may act is decided by package
// leaser, and what is reported by package meter.
//
// Counts go from each instance to the first instances of its failure domain, which sum them and
// send the sums to the holder. The record goes the other way.
package usagereporter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// ErrRejected means that the platform refuses a report for good.
var ErrRejected = errors.New("the platform has rejected the report")

// ErrUnanswered means that the platform may have received a call that got no answer.
var ErrUnanswered = errors.New("the platform has not answered")

// Call is one call that reports a window.
type Call struct {
	Holder string
	Token  uint64
	Window int64
	Counts meter.Counts
	// Permitted reports whether the call may be sent now. It is to be asked right before.
	Permitted func() bool
}

// CallFunc makes a call. Its error wraps ErrRejected if the call is not to be repeated, and
// ErrUnanswered if the platform may have received it.
type CallFunc func(ctx context.Context, call Call) error

// RecordStore reads and writes the object that says who holds the duty. Its errors are those of
// package storer.
type RecordStore interface {
	// Read returns the object's value and its position; the revision is 0 if there is none.
	Read(ctx context.Context) (value []byte, position storer.Position, err error)
	// Write writes the object on the condition that its last write has the revision, or that
	// it does not exist if that is 0. The position has the era of the store's answer.
	Write(ctx context.Context, value []byte, revision uint64) (storer.Position, error)
}

// Fleet is what an instance knows of the others.
type Fleet struct {
	// Eligible says that this instance can hold the duty as far as the others go: their list is
	// known, enough of them are linked, and it is not leaving.
	Eligible bool
	// Leaving says that this instance is stopping.
	Leaving bool
	// Rank is how many linked instances precede this one in taking the duty over.
	Rank int
	// Place is the failure domain of this instance, and Places are all of them in which an
	// instance is listed.
	Place  Place
	Places []Place
	// Changes differs from an earlier number if links have changed.
	Changes uint64
}

// Place is a failure domain with the instances in it that are linked or this one and not leaving,
// in the order of their names. It may have none.
type Place struct {
	Name    string
	Members []registrar.Member
}

// leadersPerPlace is how many instances of a failure domain sum its counts. With two, one that
// dies loses nothing that the others had sent.
const leadersPerPlace = 2

// Leaders returns the instances that sum the counts of the failure domain.
func (p Place) Leaders() []registrar.Member {
	return p.Members[:min(len(p.Members), leadersPerPlace)]
}

// Options holds the dependencies and settings of a reporter.
type Options struct {
	Settings configurer.Duty
	Self     registrar.Member
	Hub      *linker.Hub
	Record   RecordStore
	Call     CallFunc
	// Fleet returns what is known of the others. holder is the incarnation that holds the
	// duty; it is left out of Rank. Leaving reports whether this instance is stopping.
	Fleet    func(holder string) Fleet
	Leaving  func() bool
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Reporter carries out the duty. It is safe for concurrent use.
type Reporter struct {
	options  Options
	terms    leaser.Terms
	schedule meter.Schedule
	// now returns the present instant of a clock that counts suspended time.
	now func() leaser.Instant
	// wall returns the time of day of this machine, which may jump.
	wall func() time.Time
	// anchor and counter are used on the path of a request.
	anchor  atomic.Pointer[meter.Anchor]
	counter meter.Counter
	status  *status
	// wake makes the duty's loop decide again.
	wake chan struct{}

	// mu guards the fields below. It is never locked on the path of a request.
	mu     sync.Mutex
	state  leaser.State[meter.Ledger]
	clocks meter.Clocks
	fleet  Fleet
	// fleetUntil is the instant until which fleet counts if nothing changes, and fleetHolder the
	// holder that it was asked for.
	fleetUntil  leaser.Instant
	fleetHolder string
	// term is what this instance has done in its present lease.
	term term
	// abstainUntil is the instant from which this instance may hold the duty again.
	abstainUntil leaser.Instant
	// partedFrom is the instant since which too few of the others are linked; 0 if enough are.
	partedFrom leaser.Instant
	// members holds the counts of the instances of this failure domain, and places, by the name
	// of a failure domain, what its leaders have sent.
	members *meter.Tally
	places  map[string]*placeCounts
	outbox  *meter.Outbox
	// messageNumber is the number of the latest message with counts.
	messageNumber uint64
	// linkChanges is Fleet.Changes at the last exchange.
	linkChanges uint64
	// countsStep, sumsStep and clockStep are the numbers of the last rounds of sending.
	countsStep int64
	sumsStep   int64
	clockStep  int64
	// sentThrough is the latest window that the holder was told to be summed.
	sentThrough map[string]int64
	// incomplete is the latest window whose counts were found to be incomplete.
	incomplete int64
}

// term is what a holder has done since it acquired the lease.
type term struct {
	token    uint64
	progress meter.Progress
	// attempts counts the calls since one was last accepted, and lastErr is why the last one of
	// them failed.
	attempts int
	lastErr  error
	// failedFrom is when the first call began since which none was accepted; 0 if the last one
	// was.
	failedFrom leaser.Instant
	// nextCallAt is the instant before which no call is made.
	nextCallAt leaser.Instant
	// gatherUntil is the instant before which no window is recorded without all counts.
	gatherUntil leaser.Instant
	// releaseReason is why the instance gives the duty up, if it does.
	releaseReason string
}

// placeCounts are the counts of a failure domain, by the leader that has summed them.
type placeCounts struct {
	tally *meter.Tally
	// through is the latest window that a leader has summed to its end.
	through int64
}

const (
	// tickInterval is the time between two rounds of checks.
	tickInterval = 250 * time.Millisecond
	// fleetInterval is the longest time between two looks at the other instances.
	fleetInterval = time.Second
	// renewMargin is how much longer than a window a holder waits for something to record
	// before it renews its lease, and leaseMargin how much longer than that the lease is.
	renewMargin = time.Second
	leaseMargin = time.Second
	// takeOverMargin is how much longer than the lease another instance waits. It covers what
	// the clocks of two machines differ in rate.
	takeOverMargin = 500 * time.Millisecond
	// turnInterval is the time between the turns of two instances: a read and a write at a
	// slow store.
	turnInterval = 700 * time.Millisecond
	// retryInterval is the time between a failed call and the next one.
	retryInterval = 500 * time.Millisecond
	// settleShare is the part of the time until a report is late after which a window is
	// recorded, and settleLatestShare that after which it is recorded without all counts.
	settleShare       = 0.2
	settleLatestShare = 0.4
)

// New returns a reporter and registers the topics of its messages. It must be called before the
// hub runs.
func New(options Options) *Reporter {
	window := seconds(options.Settings.WindowSeconds)
	late := options.Settings.LateSeconds
	boot := newBootClock()
	r := &Reporter{
		options: options,
		terms: leaser.Terms{
			Lease:  window + renewMargin + leaseMargin,
			Quiet:  time.Duration(options.Settings.LeaseMillis) * time.Millisecond,
			Margin: takeOverMargin,
			Turn:   turnInterval,
			Renew:  window + renewMargin,
			Retry:  retryInterval,
		},
		schedule: meter.Schedule{
			Length:       window,
			Settle:       seconds(late * settleShare),
			SettleLatest: seconds(late * settleLatestShare),
		},
		now:         boot.now,
		wall:        time.Now,
		status:      newStatus(options.Log, options.Registry),
		wake:        make(chan struct{}, 1),
		clocks:      meter.NewClocks(time.Now(), boot.now()),
		members:     meter.NewTally(),
		places:      map[string]*placeCounts{},
		outbox:      meter.NewOutbox(),
		sentThrough: map[string]int64{},
	}
	r.state = leaser.New[meter.Ledger](r.terms, leaser.Holder{
		Name:    options.Self.Name,
		Machine: options.Self.Incarnation,
	}, boot.now())
	r.updateAnchor()
	r.registerHandlers()
	return r
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// Count counts a request of a team that was sent at a time. It returns the count from which the
// caller subtracts the request if it has not run, or nil if nothing was counted.
func (r *Reporter) Count(team string, sentAt time.Time) *atomic.Int64 {
	if team == "" {
		return nil
	}
	return r.counter.Begin(meter.WindowAt(r.anchor.Load().At(sentAt), r.schedule.Length), team)
}

// Exchange sends and receives counts, clocks and records until ctx ends.
func (r *Reporter) Exchange(ctx context.Context) error {
	for retrier.Sleep(ctx, tickInterval) == nil {
		r.tick()
	}
	return nil
}

// tick takes what is due at this moment.
func (r *Reporter) tick() {
	r.refreshFleet()
	r.mu.Lock()
	now := r.now()
	r.clocks = r.clocks.WithOwn(r.wall(), now)
	r.updatePartedFrom(now)
	r.updateAnchor()
	messages := r.dueMessages()
	r.status.update(r.state)
	r.mu.Unlock()
	for _, message := range messages {
		message.send(r)
	}
	r.wakeUp()
}

// refreshFleet asks for the fleet again if it may have changed. Most changes show by the links;
// the heartbeats of peers are looked at once in fleetInterval, because that takes a while with
// thousands of instances.
func (r *Reporter) refreshFleet() {
	r.mu.Lock()
	holder := r.state.View().Record.Machine
	known := holder == r.fleetHolder && r.fleet.Changes == r.options.Hub.Changes() &&
		r.fleet.Leaving == r.options.Leaving() && r.now() < r.fleetUntil
	r.mu.Unlock()
	if known {
		return
	}
	fleet := r.options.Fleet(holder)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet = fleet
	r.fleetHolder = holder
	r.fleetUntil = r.now() + fleetInterval
}

// updateAnchor ties the time of requests to true time again. The caller holds mu or is New.
func (r *Reporter) updateAnchor() {
	r.anchor.Store(&meter.Anchor{
		Read: time.Now(),
		True: r.clocks.At(r.now()),
	})
}

// updatePartedFrom notes since when too few of the others are linked. The caller holds mu.
func (r *Reporter) updatePartedFrom(now leaser.Instant) {
	switch {
	case r.fleet.Eligible:
		r.partedFrom = 0
	case r.partedFrom == 0:
		r.partedFrom = now
	}
}

func (r *Reporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
		// The loop will decide again anyway.
	}
}

// trueTime returns the estimate of true time. The caller holds mu.
func (r *Reporter) trueTime() time.Time {
	return r.clocks.At(r.now())
}

// isLeader reports whether this instance sums the counts of its failure domain. The caller holds
// mu.
func (r *Reporter) isLeader() bool {
	leaders := r.fleet.Place.Leaders()
	return len(leaders) == 0 || slices.ContainsFunc(leaders, r.isSelf)
}

func (r *Reporter) isSelf(member registrar.Member) bool {
	return member.Incarnation == r.options.Self.Incarnation
}
