package admitter

import (
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/hasher"
)

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
	// loadBound is the load bound of the upstream's service; never nil.
	loadBound *loadBound
	// coldBucket is this instance's part of the rate that the upstream can serve while
	// it is cold.
	coldBucket *limiter.Bucket
	// health is a Health.
	health atomic.Uint32
	// failures is the number of failed attempts that recordFailure has recorded since the
	// last RecordSuccess. Failed answers and probes do not count.
	failures atomic.Int32
	// timeouts is the number of requests that have ended at their deadlines since the
	// upstream's last answer.
	timeouts atomic.Int32
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
	// advertisement is what the upstream has said about its limit and its stop; nil if
	// nothing.
	advertisement atomic.Pointer[Advertisement]
	// limitBucket is this instance's part of the limit that the upstream states. It counts
	// only while the upstream is limited.
	limitBucket *limiter.Bucket
	// limitDemand counts the requests of this instance for the upstream while it is limited
	// (see LimitDemand).
	limitDemand atomic.Uint64
	// othersRequests is the number of requests that all other instances have at the
	// upstream, estimated from its answers; nil before the first.
	othersRequests atomic.Pointer[loadObservation]
	// toldLoads holds the loads that the upstream has told and that have not been shared yet.
	toldLoads toldLoads
	// sharedLoad is the mean load that all instances have found; nil before the first.
	sharedLoad atomic.Pointer[sharedLoad]
	// slowdown is what the upstream has told this instance of its slowdown; nil if nothing.
	slowdown atomic.Pointer[slowdown]
	// watchers are told of each release of a slot; nil if there are none.
	watchers atomic.Pointer[[]*Watcher]
}

// newUpstream returns the state of an upstream that is live and has no requests.
func newUpstream(declared declarer.Upstream, version string, bound *loadBound, unprobed bool, now time.Time) *Upstream {
	upstream := &Upstream{
		seed:        hasher.Sum(declared.Name),
		slots:       limiter.NewSlots(declared.Slots),
		loadBound:   bound,
		coldBucket:  limiter.NewBucket(limiter.Limit{}, now),
		limitBucket: limiter.NewBucket(limiter.Limit{}, now),
		unprobed:    unprobed,
	}
	upstream.applyDeclaration(declared, version)
	return upstream
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

// hasFreeSlot reports whether this instance has a slot left at the upstream.
func (u *Upstream) hasFreeSlot() bool {
	return u.slots.InUse() < u.slots.Limit()
}

// admitsCold reports whether the cold rate admits another request, or the upstream is not
// cold.
func (u *Upstream) admitsCold(now time.Time) bool {
	if !u.IsCold(now) {
		return true
	}
	next := u.coldBucket.Next(now)
	return !next.IsZero() && !next.After(now)
}

// IsCold reports whether the upstream can serve only ColdPerSecond now.
func (u *Upstream) IsCold(now time.Time) bool {
	declared := u.declared.Load()
	if declared.ColdPerSecond == 0 {
		return false
	}
	return now.Before(declared.ColdUntil) || u.isUnreachable() || now.UnixNano() < u.coldUntil.Load()
}

// takeSlot takes a slot, a token of the cold rate while the upstream is cold, and one of its
// limit while it states one. If one of these is used up, it gives the slot back and returns
// false.
func (u *Upstream) takeSlot(now time.Time) bool {
	if !u.slots.Acquire() {
		return false
	}
	if u.takeCold(now) && u.takeLimit(now) {
		return true
	}
	u.slots.Release()
	return false
}

// takeCold takes a token of the cold rate. It returns false if the upstream is cold and no
// token is left.
func (u *Upstream) takeCold(now time.Time) bool {
	if !u.IsCold(now) {
		return true
	}
	_, taken := u.coldBucket.Take(now)
	return taken
}

// InUse returns the number of requests that this instance has at the upstream.
func (u *Upstream) InUse() int {
	return u.slots.InUse()
}

// Release gives back the slot of a request that has ended.
func (u *Upstream) Release() {
	u.slots.Release()
	u.tellWatchers()
}

// applyDeclaration replaces the declaration by one with the same address and
// incarnation. The version can change too, because a registration may be corrected.
func (u *Upstream) applyDeclaration(declared declarer.Upstream, version string) {
	previous := u.declared.Swap(&declared)
	u.version.Store(&version)
	u.slots.SetLimit(declared.Slots)
	u.applyLeaving(previous, declared)
}
