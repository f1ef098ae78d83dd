package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// Health is the health of an upstream as far as an instance knows it.
type Health uint32

const (
	// initialSuspicion is the time after the first failure in a row during which a
	// report of Live cannot clear the suspicion.
	initialSuspicion = 500 * time.Millisecond
	// maxSuspicionDoublings limits how often that time doubles.
	maxSuspicionDoublings = 6
	// silentAfter is the number of requests in a row that must end at their deadlines,
	// without any answer of the upstream in between, before the upstream is at fault. A
	// loaded upstream also lets deadlines pass, but it answers other requests.
	silentAfter = 3
)

// The health states of an upstream.
const (
	// Live means that the upstream receives requests.
	Live Health = iota
	// Suspect means that the upstream is at fault for a failed attempt or probe. It
	// receives requests only when no live upstream is left.
	Suspect
	// Leaving means that the upstream has announced, in its registration or in an answer,
	// that it stops (it is draining). It receives no new requests.
	Leaving
)

// healthNames holds the name of each state.
var healthNames = [...]string{
	Live:    "Live",
	Suspect: "Suspect",
	Leaving: "Leaving",
}

// String returns the state's name.
func (h Health) String() string {
	return healthNames[h]
}

// applyLeaving updates the health by the state that the upstream has registered. An
// upstream that has withdrawn the announcement that it leaves is live again; one that has
// announced it only in its answers stays Leaving. The previous declaration is nil for a new
// upstream.
func (u *Upstream) applyLeaving(previous *declarer.Upstream, declared declarer.Upstream) {
	switch {
	case declared.Leaving:
		u.health.Store(uint32(Leaving))
	case previous != nil && previous.Leaving:
		u.setLeaving(false)
		u.health.CompareAndSwap(uint32(Leaving), uint32(Live))
	}
}

// Health returns the health state.
func (u *Upstream) Health() Health {
	return Health(u.health.Load())
}

// RecordRefusal records what the refusal of an attempt shows about the upstream, and
// reports whether the upstream was live until now and is at fault. A caller's deadline that
// is shorter than the route's shows nothing when it passes; deadlineFromCaller says that
// the attempt had such a deadline. Of other deadlines silentAfter must pass in a row. The
// report is what the upstream tells with the refusal, if it has answered.
func (u *Upstream) RecordRefusal(
	refusal *arbiter.Refusal,
	report registrar.Report,
	deadlineFromCaller bool,
	now time.Time,
) bool {
	switch refusal.Reason {
	case arbiter.UpstreamUnreached:
		u.failedDials.Add(1)
		return u.recordFailure(now)
	case arbiter.UpstreamBroken, arbiter.AnswerMalformed, arbiter.UpstreamReplaced:
		return u.recordFailure(now)
	case arbiter.DeadlineExceeded:
		return !deadlineFromCaller && u.recordTimeout(now)
	case arbiter.NotRunUnproved:
		u.RecordLoad(report, now)
		return u.RecordFailedAnswer(now)
	case arbiter.UpstreamShed:
		u.recordAnswer()
		u.recordShed(report, now)
	}
	return false
}

// recordTimeout records that a request has passed its deadline, and reports whether the
// upstream was live until now and is at fault. The request still holds its slot.
func (u *Upstream) recordTimeout(now time.Time) bool {
	u.loadBound.recordTimeout(u.loadAt(now))
	return u.timeouts.Add(1) >= silentAfter && u.recordFailure(now)
}

// recordAnswer records that the upstream has answered a request, in whatever way.
func (u *Upstream) recordAnswer() {
	if u.timeouts.Load() != 0 {
		u.timeouts.Store(0)
	}
}

// recordFailure records that the upstream is at fault for a failed attempt, and reports
// whether it was live until now. The failures that this instance observes count more than
// the upstream's reports, so each failure in a row doubles the time before a report of
// Live can clear the suspicion.
func (u *Upstream) recordFailure(now time.Time) bool {
	failures := u.failures.Add(1)
	wait := initialSuspicion << min(failures-1, maxSuspicionDoublings)
	u.suspectUntil.Store(now.Add(wait).UnixNano())
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
}

// RecordFailedAnswer records that the upstream has answered, and that callers cannot use the
// answer: it has a 5xx status other than that of an expired deadline, or is not passed on. It
// reports whether the upstream was live until now. An upstream that is not probed is then
// suspect for initialSuspicion. The time does not double, because the answer shows that the
// upstream is running. RecordFailedAnswer has no effect on an upstream that is probed.
func (u *Upstream) RecordFailedAnswer(now time.Time) bool {
	u.recordAnswer()
	if !u.unprobed {
		return false
	}
	u.suspectUntil.Store(now.Add(initialSuspicion).UnixNano())
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
}

// RecordExpiredAnswer records that the upstream has answered that a request's deadline passed
// there. That shows its load, as a deadline without an answer does, and that it is running.
// deadlineFromCaller is as for RecordRefusal.
func (u *Upstream) RecordExpiredAnswer(deadlineFromCaller bool, now time.Time) {
	u.recordAnswer()
	if !deadlineFromCaller {
		u.loadBound.recordTimeout(u.loadAt(now))
	}
}

// RecordSuccess records that the upstream has answered a request, and resets the counts
// of failed attempts and connections. An upstream that was unreachable is assumed to be
// cold for ColdMillis from now on. The suspicion of an upstream that is not probed is
// cleared. The request still holds its slot.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.recordAnswer()
	u.loadBound.recordAnswer(u.loadAt(now))
	if u.isUnreachable() {
		cold := time.Duration(u.declared.Load().ColdMillis) * time.Millisecond
		u.coldUntil.Store(now.Add(cold).UnixNano())
	}
	if u.failedDials.Load() != 0 {
		u.failedDials.Store(0)
	}
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	if u.unprobed {
		u.health.CompareAndSwap(uint32(Suspect), uint32(Live))
	}
}

// RecordProbe records the state that the upstream's health endpoint reports, or
// Suspect if the endpoint does not answer, and returns the state before and after. A
// report of Live does not clear a suspicion before suspectUntil.
func (u *Upstream) RecordProbe(reported Health, now time.Time) (before, after Health) {
	before = u.Health()
	underSuspicion := before == Suspect && now.UnixNano() < u.suspectUntil.Load()
	if reported == Live && underSuspicion {
		return before, before
	}
	u.health.Store(uint32(reported))
	return before, reported
}

// suspicionExpired reports whether the suspicion of an upstream that is not probed has
// expired.
func (u *Upstream) suspicionExpired(now time.Time) bool {
	return u.unprobed && now.UnixNano() >= u.suspectUntil.Load()
}

// unreachableAfter is the number of connection attempts in a row that must fail before
// an upstream counts as unreachable. When such an upstream returns it is cold, but it
// reports that only some time later.
const unreachableAfter = 2

// isUnreachable reports whether so many connection attempts in a row have failed that
// the upstream counts as unreachable.
func (u *Upstream) isUnreachable() bool {
	return u.failedDials.Load() >= unreachableAfter
}
