package admitter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Health is what an instance knows of an upstream.
type Health uint32

const (
	// firstSuspicion is how long the first failure in a row keeps an upstream from
	// being cleared by its own report.
	firstSuspicion = 500 * time.Millisecond
	// maxDoublings bounds how often that time doubles.
	maxDoublings = 6
)

// The states of health.
const (
	// Live upstreams get work.
	Live Health = iota
	// Suspect upstreams failed a request or a probe; they get work only when no
	// live one is left.
	Suspect
	// Leaving upstreams have announced their stop and get no new work.
	Leaving
)

var healthNames = [...]string{
	Live:    "Live",
	Suspect: "Suspect",
	Leaving: "Leaving",
}

// String returns the state's name.
func (h Health) String() string {
	return healthNames[h]
}

// Upstream is one upstream as this instance sees it. It lives on over changes of
// the configuration that keep its address and incarnation. Safe for many
// goroutines.
type Upstream struct {
	declared atomic.Pointer[declarer.Upstream]
	// version names the version that the upstream runs; never nil.
	version atomic.Pointer[string]
	// seed names the upstream for picker.Keyed.
	seed uint64
	// slots bounds the requests of this instance at the upstream.
	slots *limiter.Slots
	// cold is this instance's part of what the upstream bears while it is cold.
	cold   *limiter.Bucket
	health atomic.Uint32
	// failures counts the failed requests since the last answered one.
	failures atomic.Int32
	// suspectUntil is the instant before which no report clears a suspicion, in
	// nanoseconds since the Unix epoch.
	suspectUntil atomic.Int64
	// unreached counts the connections in a row that could not be made.
	unreached atomic.Int32
	// coldUntil is until when the upstream is taken to be cold because it was away, in
	// nanoseconds since the Unix epoch.
	coldUntil atomic.Int64
	// unprobed says that no report ever clears a suspicion, so that it lapses.
	unprobed bool
	// others is what all other instances together had at the upstream, as its last
	// answers told; nil before the first.
	others atomic.Pointer[sighting]
}

func newUpstream(declared declarer.Upstream, version string, unprobed bool, now time.Time) *Upstream {
	upstream := &Upstream{
		seed:     hasher.Sum(declared.Name),
		slots:    limiter.NewSlots(declared.Slots),
		cold:     limiter.NewBucket(limiter.Limit{}, now),
		unprobed: unprobed,
	}
	upstream.redeclare(declared, version)
	return upstream
}

// follow takes over the state that the upstream has registered, after another one.
func (u *Upstream) follow(before *declarer.Upstream, declared declarer.Upstream) {
	switch {
	case declared.Leaving:
		u.health.Store(uint32(Leaving))
	case before != nil && before.Leaving:
		u.health.CompareAndSwap(uint32(Leaving), uint32(Live))
	}
}

// Declared returns the operator's object.
func (u *Upstream) Declared() declarer.Upstream {
	return *u.declared.Load()
}

// Version returns the name of the version that the upstream runs.
func (u *Upstream) Version() string {
	return *u.version.Load()
}

// Address returns the upstream's IP number and port.
func (u *Upstream) Address() string {
	return u.declared.Load().Address
}

// Seed names the upstream. It is the same at all instances.
func (u *Upstream) Seed() uint64 {
	return u.seed
}

// hasRoom says whether a slot is free, and the upstream bears another request if
// it is cold.
func (u *Upstream) hasRoom(now time.Time) bool {
	if u.slots.InUse() >= u.slots.Limit() {
		return false
	}
	if !u.isCold(now) {
		return true
	}
	next := u.cold.Next(now)
	return !next.IsZero() && !next.After(now)
}

// isCold says whether the upstream bears only few requests now.
func (u *Upstream) isCold(now time.Time) bool {
	declared := u.declared.Load()
	if declared.ColdPerSecond == 0 {
		return false
	}
	return now.Before(declared.ColdUntil) || u.isAway() || now.UnixNano() < u.coldUntil.Load()
}

// awayAfter is from how many connections in a row that could not be made on an
// upstream is taken to be away. When it comes back it is cold, and says so only a
// while later.
const awayAfter = 2

// isAway says whether the upstream could not be reached so often that it is taken to
// be away.
func (u *Upstream) isAway() bool {
	return u.unreached.Load() >= awayAfter
}

// Unreached records that no connection to the upstream could be made.
func (u *Upstream) Unreached() {
	u.unreached.Add(1)
}

// claim takes a slot, and a request of the cold rate while the upstream is cold.
func (u *Upstream) claim(now time.Time) bool {
	if !u.slots.Acquire() {
		return false
	}
	if !u.isCold(now) {
		return true
	}
	if _, taken := u.cold.Take(now); taken {
		return true
	}
	u.slots.Release()
	return false
}

// lapsed says whether a suspicion that no report clears has run out.
func (u *Upstream) lapsed(now time.Time) bool {
	return u.unprobed && now.UnixNano() >= u.suspectUntil.Load()
}

// loadAt returns the part of the upstream's slots in use, as far as is known here.
func (u *Upstream) loadAt(now time.Time) float64 {
	others := 0.0
	if seen := u.others.Load(); seen != nil {
		others = seen.at(now)
	}
	return (float64(u.slots.InUse()) + others) / float64(u.declared.Load().Slots)
}

// Observe takes in how many requests run and wait at the upstream, as an answer of
// it tells. The request that is answered still holds its slot.
func (u *Upstream) Observe(running, waiting int, now time.Time) {
	others := float64(max(running+waiting-u.slots.InUse(), 0))
	if before := u.others.Load(); before != nil {
		others = (others + before.at(now)) / 2
	}
	u.others.Store(&sighting{
		requests: others,
		seenAt:   now,
	})
}

// Shed takes in that the upstream had no room for a request.
func (u *Upstream) Shed(now time.Time) {
	u.others.Store(&sighting{
		requests: shedLoad * float64(u.declared.Load().Slots),
		seenAt:   now,
	})
}

const (
	// sightingHalfLife is after how long half of what was seen at an upstream is
	// taken to have ended.
	sightingHalfLife = time.Second
	// shedLoad is the load of an upstream that has just shed, in parts of its slots.
	shedLoad = 4
)

// sighting is what the requests of all other instances at an upstream were.
type sighting struct {
	requests float64
	seenAt   time.Time
}

// at returns how many of the requests are taken to be there still.
func (s sighting) at(now time.Time) float64 {
	halves := now.Sub(s.seenAt).Seconds() / sightingHalfLife.Seconds()
	return s.requests * math.Exp2(-max(halves, 0))
}

// InUse returns how many requests this instance has at the upstream.
func (u *Upstream) InUse() int {
	return u.slots.InUse()
}

// Health returns the state of health.
func (u *Upstream) Health() Health {
	return Health(u.health.Load())
}

// Suspect records that the upstream has failed a request, and says whether it
// was live until now. What was seen here outweighs what the upstream reports, so
// each failure in a row doubles the time before a report can clear it.
func (u *Upstream) Suspect(now time.Time) bool {
	failures := u.failures.Add(1)
	wait := firstSuspicion << min(failures-1, maxDoublings)
	u.suspectUntil.Store(now.Add(wait).UnixNano())
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
}

// Failed records that the upstream has answered that it failed: it is passed over
// for a moment. It lives, so that is not longer each time.
func (u *Upstream) Failed(now time.Time) bool {
	if !u.unprobed {
		return false
	}
	u.suspectUntil.Store(now.Add(firstSuspicion).UnixNano())
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
}

// Succeeded records that the upstream has answered a request.
func (u *Upstream) Succeeded(now time.Time) {
	if u.isAway() {
		cold := time.Duration(u.declared.Load().ColdMillis) * time.Millisecond
		u.coldUntil.Store(now.Add(cold).UnixNano())
	}
	if u.unreached.Load() != 0 {
		u.unreached.Store(0)
	}
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	if u.unprobed {
		u.health.CompareAndSwap(uint32(Suspect), uint32(Live))
	}
}

// Report takes over what the upstream's health endpoint says, or Suspect if it
// says nothing, and returns the state before and after. A report of Live does not
// clear a suspicion before its time.
func (u *Upstream) Report(reported Health, now time.Time) (before, after Health) {
	before = u.Health()
	suspicious := before == Suspect && now.UnixNano() < u.suspectUntil.Load()
	if reported == Live && suspicious {
		return before, before
	}
	u.health.Store(uint32(reported))
	return before, reported
}

// Release ends one request at the upstream.
func (u *Upstream) Release() {
	u.slots.Release()
}

// redeclare takes over a declaration with the same address and incarnation. The
// version can change too: an entry may be corrected.
func (u *Upstream) redeclare(declared declarer.Upstream, version string) {
	before := u.declared.Swap(&declared)
	u.version.Store(&version)
	u.slots.SetLimit(declared.Slots)
	u.follow(before, declared)
}
