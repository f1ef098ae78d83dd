package admitter

import (
	"sync/atomic"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// Health is what an instance knows of an upstream.
type Health uint32

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

// SetHealth changes the state of health and returns the one before.
func (u *Upstream) SetHealth(health Health) Health {
	return Health(u.health.Swap(uint32(health)))
}

// Suspect marks a live upstream that has failed a request, and says whether it
// was live until now.
func (u *Upstream) Suspect() bool {
	return u.health.CompareAndSwap(uint32(Live), uint32(Suspect))
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
