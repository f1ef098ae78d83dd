package admitter

import (
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
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
// the configuration that keep its address. Safe for many goroutines.
type Upstream struct {
	declared atomic.Pointer[declarer.Upstream]
	// slots bounds the requests of this instance at the upstream.
	slots  *limiter.Slots
	health atomic.Uint32
	// failures counts the failed requests since the last answered one.
	failures atomic.Int32
	// suspectUntil is the instant before which no report clears a suspicion, in
	// nanoseconds since the Unix epoch.
	suspectUntil atomic.Int64
}

var _ picker.Candidate = (*Upstream)(nil)

func newUpstream(declared declarer.Upstream) *Upstream {
	upstream := &Upstream{
		slots: limiter.NewSlots(declared.Slots),
	}
	upstream.declared.Store(&declared)
	return upstream
}

// Declared returns the operator's object.
func (u *Upstream) Declared() declarer.Upstream {
	return *u.declared.Load()
}

// Address returns the upstream's IP number and port.
func (u *Upstream) Address() string {
	return u.declared.Load().Address
}

// Usable says whether the upstream may get work now.
func (u *Upstream) Usable() bool {
	return u.Health() == Live && u.slots.InUse() < u.slots.Limit()
}

// Load returns the part of the upstream's slots that this instance uses.
func (u *Upstream) Load() float64 {
	return float64(u.slots.InUse()) / float64(u.slots.Limit())
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

// Succeeded records that the upstream has answered a request.
func (u *Upstream) Succeeded() {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
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

// redeclare takes over a changed declaration with the same address.
func (u *Upstream) redeclare(declared declarer.Upstream) {
	u.declared.Store(&declared)
	u.slots.SetLimit(declared.Slots)
}
