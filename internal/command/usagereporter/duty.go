package usagereporter

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// storeTimeout bounds a call to the store, and callTimeout one to the platform, so that
	// one that gets no answer leaves time for another before a report is late.
	storeTimeout = 2 * time.Second
	callTimeout  = 1500 * time.Millisecond
	// patience is how long a holder goes on if none of its calls is accepted, before it gives
	// the duty up to one that may reach the platform. With a first call 2 s after a window's
	// end and calls that take callTimeout, the successor's first call comes 8 to 9 s after it,
	// before the report is late. It doubles with each holder in sequence that has failed, up
	// to maxPatienceDoublings times, because then the fault is the platform's.
	patience             = 2 * time.Second
	maxPatienceDoublings = 3
	// partedPatience is how long a holder goes on while too few of the others are linked.
	partedPatience = 2 * time.Second
	// gatherTime is how long a new holder records no window without all counts. The other failure
	// domains have sent their sums to the holder before it, and send them again in the round
	// after they have got its record. It is below the usual lease_ms, so that no call waits for it.
	gatherTime = 2 * time.Second
	// abstention is the time in which an instance that gave the duty up does not take it again.
	abstention = 10 * time.Second
	// rateMargin is the factor by which calls stay under the rate that the platform accepts.
	rateMargin = 2
)

// Run carries out the duty whenever this instance holds it, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		for ctx.Err() == nil && r.act(ctx) {
		}
	}
}

// act takes one step, and returns whether another may follow at once.
func (r *Reporter) act(ctx context.Context) bool {
	r.mu.Lock()
	now := r.now()
	if r.state.Token() != r.term.token {
		r.beginTerm(now)
	}
	wants := r.wants(now)
	action := r.state.Decide(wants, now)
	pending, _ := r.term.progress.Next(r.state.View().Record.Value)
	r.mu.Unlock()
	switch action.Step {
	case leaser.Read:
		return r.read(ctx)
	case leaser.Write:
		return r.write(ctx, action)
	case leaser.Call:
		r.call(ctx, pending, action.Until)
		return true
	default:
		return false
	}
}

// beginTerm notes that this instance has acquired or lost the lease. The caller holds mu.
func (r *Reporter) beginTerm(now leaser.Instant) {
	r.term = term{
		token: r.state.Token(),
	}
	if r.state.CallFrom() > now {
		r.term.gatherUntil = now + gatherTime
	}
}

// wants returns what this instance has to do. The caller holds mu.
func (r *Reporter) wants(now leaser.Instant) leaser.Wants[meter.Ledger] {
	ledger := r.state.View().Record.Value
	trueTime := r.trueTime()
	current := meter.WindowAt(trueTime, r.schedule.Length)
	_, pending := r.term.progress.Next(ledger)
	wants := leaser.Wants[meter.Ledger]{
		Eligible: r.fleet.Eligible && now >= r.abstainUntil,
		Rank:     r.fleet.Rank,
		Pending:  pending && now >= r.term.nextCallAt,
		Adopt: func(recorded meter.Ledger, complete bool) meter.Ledger {
			return recorded.Adopted(current, complete)
		},
	}
	if !r.state.Holds() {
		return wants
	}
	wants.Update, wants.HasUpdate = r.schedule.Advance(ledger, r.term.progress, trueTime, r.fleetCounts)
	if r.term.progress.HasAccepted() {
		wants.Update = wants.Update.WithFailures(0)
	}
	reason := r.releaseReason(ledger, now)
	if reason == "" {
		return wants
	}
	r.term.releaseReason = reason
	wants.Release = true
	wants.HasUpdate = true
	if reason == releasedUnreached {
		wants.Update = wants.Update.WithFailures(ledger.Failures + 1)
	}
	return wants
}

// The reasons for which a holder gives the duty up.
const (
	releasedStopping  = "Stopping"
	releasedUnreached = "PlatformUnreached"
	releasedParted    = "PeersUnlinked"
)

// releaseReason returns why this instance has to give the duty up, or "". The caller holds mu.
func (r *Reporter) releaseReason(ledger meter.Ledger, now leaser.Instant) string {
	doublings := min(ledger.Failures, maxPatienceDoublings)
	switch {
	case r.fleet.Leaving:
		return releasedStopping
	case r.term.failedFrom != 0 && now-r.term.failedFrom >= patience<<doublings:
		return releasedUnreached
	case r.partedFrom != 0 && now-r.partedFrom > partedPatience:
		return releasedParted
	default:
		return ""
	}
}

// read reads the record, and returns whether that succeeded.
func (r *Reporter) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.status.reads.Inc(1)
	value, position, err := r.options.Record.Read(ctx)
	view := leaser.View[meter.Ledger]{
		Position: position,
	}
	if err == nil && position.Revision != 0 {
		view.Record, err = recordCodec.Decode(value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.status.storeFailed("Read", err)
		r.state = r.state.Failed(false, r.now())
		return false
	}
	r.state = r.state.Read(view, r.now())
	r.status.update(r.state)
	return true
}

// write writes a record, and returns whether that succeeded.
func (r *Reporter) write(ctx context.Context, action leaser.Action[meter.Ledger]) bool {
	value, err := recordCodec.Encode(action.Record)
	if err != nil {
		r.status.storeFailed("Write", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.status.writes.Inc(1)
	startedAt := r.now()
	position, err := r.options.Record.Write(ctx, value, action.Revision)
	r.mu.Lock()
	now := r.now()
	if err != nil {
		r.writeFailed(err, now)
		r.mu.Unlock()
		return false
	}
	before := r.state
	r.state = r.state.Written(action.Record, position, startedAt, now)
	messages := r.written(before, action.Record, now)
	r.mu.Unlock()
	for _, message := range messages {
		message.send(r)
	}
	return true
}

// writeFailed records a write that has failed. The caller holds mu.
func (r *Reporter) writeFailed(err error, now leaser.Instant) {
	r.status.storeFailed("Write", err)
	switch {
	case errors.Is(err, storer.ErrConflict):
		r.state = r.state.Refused(now)
	default:
		r.state = r.state.Failed(!storer.OutcomeKnown(err), now)
	}
}

// written records what a write has changed, and returns the messages to the others. The caller
// holds mu.
func (r *Reporter) written(before leaser.State[meter.Ledger], record leaser.Record[meter.Ledger], now leaser.Instant) []message {
	if r.state.View().Record.Token != record.Token || r.state.View().Record.Sequence != record.Sequence {
		// The store is in another era.
		return nil
	}
	if record.Released {
		if !r.fleet.Leaving {
			r.abstainUntil = now + abstention
		}
		r.status.released(record.Token, r.term.releaseReason, r.term.lastErr)
	}
	if r.state.Holds() && before.Token() != record.Token {
		r.status.acquired(r.state, before, r.state.CallFrom()-now)
	}
	r.status.recorded(recordedWindows{
		before:     before.View().Record.Value,
		record:     record,
		now:        r.trueTime(),
		length:     r.schedule.Length,
		incomplete: r.incomplete,
		progress:   r.term.progress,
	})
	r.status.update(r.state)
	return r.holderMessages()
}

// call makes the call for a window.
func (r *Reporter) call(ctx context.Context, report meter.WindowCounts, until leaser.Instant) {
	r.mu.Lock()
	token := r.state.Token()
	now := r.now()
	startedAt := now
	r.term.nextCallAt = now + seconds(rateMargin/r.options.Settings.CallsPerSecond)
	r.term.attempts++
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, until-now))
	defer cancel()
	err := r.options.Call(ctx, Call{
		Holder: r.options.Self.Name,
		Token:  token,
		Window: report.Window,
		Counts: report.Counts,
		Permitted: func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.state.Token() == token && r.state.MayCall(r.now())
		},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term.token != token {
		return
	}
	now = r.now()
	if err != nil && !errors.Is(err, ErrRejected) {
		r.term.progress = r.term.progress.WithFailed()
		if errors.Is(err, ErrUnanswered) {
			r.term.progress = r.term.progress.WithUnanswered(report.Window)
		}
		r.term.lastErr = err
		r.term.nextCallAt = now + retryInterval
		if r.term.failedFrom == 0 {
			r.term.failedFrom = startedAt
		}
		r.status.callFailed(report.Window, token, err)
		return
	}
	r.status.reported(report, token, r.term, err, r.age(report.Window), seconds(r.options.Settings.LateSeconds))
	r.term = term{
		token:       token,
		progress:    r.term.progress.WithAccepted(report.Window),
		nextCallAt:  r.term.nextCallAt,
		gatherUntil: r.term.gatherUntil,
	}
}

// age returns the time since a window's end. The caller holds mu.
func (r *Reporter) age(window int64) time.Duration {
	return r.trueTime().Sub(meter.EndOf(window, r.schedule.Length))
}
