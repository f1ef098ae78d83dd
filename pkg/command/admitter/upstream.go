package admitter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Health is the health of an upstream as far as an instance knows it.
type Health uint32

const (
	// initialSuspicion is the time after the first failure in a row during which a
	// report of Live cannot clear the suspicion.
	initialSuspicion = 500 * time.Millisecond
	// maxSuspicionDoublings limits how often that time doubles.
	maxSuspicionDoublings = 6
)

// The health states of an upstream.
const (
	// Live means that the upstream receives requests.
	Live Health = iota
	// Suspect means that the upstream is at fault for a failed attempt or probe. It
	// receives requests only when no live upstream is left.
	Suspect
	// Leaving means that the upstream has announced that it stops (it is draining). It
	// receives no new requests.
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

// Upstream is this instance's state of one upstream. It is kept when a configuration
// comes into force in which the address and the incarnation are the same. It is safe
// for concurrent use.
type Upstream struct {
	// declared is the upstream's declaration; never nil.
	declared atomic.Pointer[declarer.Upstream]
	// version is the name of the version that the upstream runs; never nil.
	version atomic.Pointer[string]
	// seed identifies the upstream for picker.Hashed.
	seed uint64
	// slots limits the requests that this instance has at the upstream.
	slots *limiter.Slots
	// coldBucket is this instance's part of the rate that the upstream can serve while
	// it is cold.
	coldBucket *limiter.Bucket
	// health is a Health.
	health atomic.Uint32
	// failures is the number of failed attempts that RecordFailure has recorded since the
	// last RecordSuccess. Failed answers and probes do not count.
	failures atomic.Int32
	// suspectUntil is the time before which no report of Live clears a suspicion, in
	// nanoseconds since the Unix epoch.
	suspectUntil atomic.Int64
	// failedDials is the number of connection attempts in a row that have failed.
	failedDials atomic.Int32
	// coldUntil is the time until which the upstream is assumed to be cold because it
	// was unreachable, in nanoseconds since the Unix epoch.
	coldUntil atomic.Int64
	// unprobed reports that nothing probes the upstream's health. Then no report can
	// clear a suspicion, and it expires at suspectUntil instead.
	unprobed bool
	// othersRequests is the number of requests that all other instances have at the
	// upstream, estimated from its answers; nil before the first.
	othersRequests atomic.Pointer[loadObservation]
}

// newUpstream returns the state of an upstream that is live and has no requests.
func newUpstream(declared declarer.Upstream, version string, unprobed bool, now time.Time) *Upstream {
	upstream := &Upstream{
		seed:       hasher.Sum(declared.Name),
		slots:      limiter.NewSlots(declared.Slots),
		coldBucket: limiter.NewBucket(limiter.Limit{}, now),
		unprobed:   unprobed,
	}
	upstream.applyDeclaration(declared, version)
	return upstream
}

// applyLeaving updates the health by the state that the upstream has registered. An
// upstream that has withdrawn the announcement that it leaves is live again. The
// previous declaration is nil for a new upstream.
func (u *Upstream) applyLeaving(previous *declarer.Upstream, declared declarer.Upstream) {
	switch {
	case declared.Leaving:
		u.health.Store(uint32(Leaving))
	case previous != nil && previous.Leaving:
		u.health.CompareAndSwap(uint32(Leaving), uint32(Live))
	}
}

// Declared returns the upstream's declaration.
func (u *Upstream) Declared() declarer.Upstream {
	return *u.declared.Load()
}

// Version returns the name of the version that the upstream runs.
func (u *Upstream) Version() string {
	return *u.version.Load()
}

// Address returns the upstream's IP address and port.
func (u *Upstream) Address() string {
	return u.declared.Load().Address
}

// Seed identifies the upstream for picker.Hashed. It is the same at all instances.
func (u *Upstream) Seed() uint64 {
	return u.seed
}

// hasCapacity reports whether a slot is free and, if the upstream is cold, whether its
// cold rate admits another request.
func (u *Upstream) hasCapacity(now time.Time) bool {
	if u.slots.InUse() >= u.slots.Limit() {
		return false
	}
	if !u.isCold(now) {
		return true
	}
	next := u.coldBucket.Next(now)
	return !next.IsZero() && !next.After(now)
}

// isCold reports whether the upstream can serve only ColdPerSecond now.
func (u *Upstream) isCold(now time.Time) bool {
	declared := u.declared.Load()
	if declared.ColdPerSecond == 0 {
		return false
	}
	return now.Before(declared.ColdUntil) || u.isUnreachable() || now.UnixNano() < u.coldUntil.Load()
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

// RecordFailedDial records that a connection attempt to the upstream has failed.
func (u *Upstream) RecordFailedDial() {
	u.failedDials.Add(1)
}

// takeSlot takes a slot and, while the upstream is cold, one token of its cold rate. If
// either is used up, it takes nothing and returns false.
func (u *Upstream) takeSlot(now time.Time) bool {
	if !u.slots.Acquire() {
		return false
	}
	if !u.isCold(now) {
		return true
	}
	if _, taken := u.coldBucket.Take(now); taken {
		return true
	}
	u.slots.Release()
	return false
}

// suspicionExpired reports whether the suspicion of an upstream that is not probed has
// expired.
func (u *Upstream) suspicionExpired(now time.Time) bool {
	return u.unprobed && now.UnixNano() >= u.suspectUntil.Load()
}

// loadAt returns the estimated number of requests at the upstream relative to its
// slots.
func (u *Upstream) loadAt(now time.Time) float64 {
	others := 0.0
	if observation := u.othersRequests.Load(); observation != nil {
		others = observation.decayedAt(now)
	}
	return (float64(u.slots.InUse()) + others) / float64(u.declared.Load().Slots)
}

// ObserveLoad records how many requests run and wait at the upstream according to one of
// its answers. The answered request still holds its slot.
func (u *Upstream) ObserveLoad(running, waiting int, now time.Time) {
	others := float64(max(running+waiting-u.slots.InUse(), 0))
	if previous := u.othersRequests.Load(); previous != nil {
		others = (others + previous.decayedAt(now)) / 2
	}
	u.othersRequests.Store(&loadObservation{
		requests:   others,
		observedAt: now,
	})
}

// RecordShed records that the upstream had no capacity for a request.
func (u *Upstream) RecordShed(now time.Time) {
	u.othersRequests.Store(&loadObservation{
		requests:   assumedShedLoad * float64(u.declared.Load().Slots),
		observedAt: now,
	})
}

const (
	// observationHalfLife is the time after which half of the requests that were
	// observed at an upstream are assumed to have ended.
	observationHalfLife = time.Second
	// assumedShedLoad is the number of requests that other instances are assumed to have
	// at an upstream that has just shed a request, as a multiple of its slots.
	assumedShedLoad = 4
)

// loadObservation is an estimate of how many requests all other instances have at an
// upstream.
type loadObservation struct {
	// requests is the estimate at the time of the observation.
	requests float64
	// observedAt is the time of the observation.
	observedAt time.Time
}

// decayedAt returns how many of the estimated requests are assumed to remain.
func (o loadObservation) decayedAt(now time.Time) float64 {
	halfLives := now.Sub(o.observedAt).Seconds() / observationHalfLife.Seconds()
	return o.requests * math.Exp2(-max(halfLives, 0))
}

// InUse returns the number of requests that this instance has at the upstream.
func (u *Upstream) InUse() int {
	return u.slots.InUse()
}

// Health returns the health state.
func (u *Upstream) Health() Health {
	return Health(u.health.Load())
}

// RecordFailure records that the upstream is at fault for a failed attempt, and reports
// whether it was live until now. The failures that this instance observes count more than
// the upstream's reports, so each failure in a row doubles the time before a report of
// Live can clear the suspicion.
func (u *Upstream) RecordFailure(now time.Time) bool {
	failures := u.failures.Add(1)
	wait := initialSuspicion << min(failures-1, maxSuspicionDoublings)
	u.suspectUntil.Store(now.Add(wait).UnixNano())
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
}

// RecordFailedAnswer records that the upstream has answered with a 5xx status, and
// reports whether it was live until now. An upstream that is not probed is then suspect
// for initialSuspicion. The time does not double, because the answer shows that the
// upstream is running. RecordFailedAnswer has no effect on an upstream that is probed.
func (u *Upstream) RecordFailedAnswer(now time.Time) bool {
	if !u.unprobed {
		return false
	}
	u.suspectUntil.Store(now.Add(initialSuspicion).UnixNano())
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
}

// RecordSuccess records that the upstream has answered a request, and resets the counts
// of failed attempts and connections. An upstream that was unreachable is assumed to be
// cold for ColdMillis from now on. The suspicion of an upstream that is not probed is
// cleared.
func (u *Upstream) RecordSuccess(now time.Time) {
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

// RecordReport records the state that the upstream's health endpoint reports, or
// Suspect if the endpoint does not answer, and returns the state before and after. A
// report of Live does not clear a suspicion before suspectUntil.
func (u *Upstream) RecordReport(reported Health, now time.Time) (before, after Health) {
	before = u.Health()
	underSuspicion := before == Suspect && now.UnixNano() < u.suspectUntil.Load()
	if reported == Live && underSuspicion {
		return before, before
	}
	u.health.Store(uint32(reported))
	return before, reported
}

// Release gives back the slot of a request that has ended.
func (u *Upstream) Release() {
	u.slots.Release()
}

// applyDeclaration replaces the declaration by one with the same address and
// incarnation. The version can change too, because a registration may be corrected.
func (u *Upstream) applyDeclaration(declared declarer.Upstream, version string) {
	previous := u.declared.Swap(&declared)
	u.version.Store(&version)
	u.slots.SetLimit(declared.Slots)
	u.applyLeaving(previous, declared)
}
