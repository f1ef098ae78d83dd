package admitter

import (
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// sharedLoadLifetime is how long a mean load that a peer has told counts.
	sharedLoadLifetime = 5 * time.Second
	// loadUnits is the number of units of toldLoads.sum for one request per slot.
	loadUnits = 1000
)

// toldLoads sums the loads that an upstream has told this instance since they were last
// taken. It is safe for concurrent use, and a request takes no lock.
type toldLoads struct {
	// sum is in loadUnits of a request per slot.
	sum   atomic.Uint64
	count atomic.Uint64
	// slowdowns sums the slowdowns in loadUnits, and slowdownCount is their number.
	slowdowns     atomic.Uint64
	slowdownCount atomic.Uint64
}

// add adds the load of a report from an upstream that has declared a number of slots.
func (t *toldLoads) add(report registrar.Report, slots int) {
	if report.Load.Slots > 0 {
		slots = report.Load.Slots
	}
	if !report.HasLoad || slots == 0 {
		return
	}
	t.sum.Add(uint64(report.Load.Total()) * loadUnits / uint64(slots))
	t.count.Add(1)
	if report.Load.Slowdown > 0 {
		t.slowdowns.Add(uint64(clampSlowdown(report.Load.Slowdown) * loadUnits))
		t.slowdownCount.Add(1)
	}
}

// take returns the sums since the call before.
func (t *toldLoads) take(upstream uint64) LoadSum {
	return LoadSum{
		Upstream:      upstream,
		Sum:           float64(t.sum.Swap(0)) / loadUnits,
		Count:         t.count.Swap(0),
		Slowdowns:     float64(t.slowdowns.Swap(0)) / loadUnits,
		SlowdownCount: t.slowdownCount.Swap(0),
	}
}

// sharedLoad is a mean load, in requests per slot, that all instances have found together.
type sharedLoad struct {
	load float64
	// slowdown is the mean slowdown, or 0 if it is unknown.
	slowdown float64
	until    time.Time
}

// meanLoadAt returns the mean load that all instances have found lately, or the load that this
// instance estimates itself if that is higher or no mean is known. One of a hundred instances
// hears from an upstream so seldom that its own estimate is mostly near 0; but where it has just
// heard, that is newer than the mean.
func (u *Upstream) meanLoadAt(now time.Time) float64 {
	shared := u.sharedLoad.Load()
	if shared == nil || !now.Before(shared.until) {
		return u.loadAt(now)
	}
	return max(shared.load, u.loadAt(now))
}

// LoadSum is the loads that an upstream has told one or several instances.
type LoadSum struct {
	// Upstream is the upstream's Seed.
	Upstream uint64
	// Sum is the sum of the loads, in requests per slot, and Count is their number.
	Sum   float64
	Count uint64
	// Slowdowns is the sum of the slowdowns, as multiples of what is usual, and SlowdownCount
	// is their number.
	Slowdowns     float64
	SlowdownCount uint64
}

// LoadNotice is the mean load of an upstream.
type LoadNotice struct {
	// Upstream is the upstream's Seed.
	Upstream uint64
	// Load is in requests per slot.
	Load float64
	// Slowdown is the mean slowdown as a multiple of what is usual, or 0 if it is unknown.
	Slowdown float64
}

// TakeLoadSums returns the loads that upstreams have told this instance since the call before.
func (p *Plan) TakeLoadSums() []LoadSum {
	var sums []LoadSum
	for _, upstream := range p.upstreams {
		if sum := upstream.toldLoads.take(upstream.seed); sum.Count > 0 {
			sums = append(sums, sum)
		}
	}
	return sums
}

// ReceiveLoadNotices applies mean loads that all instances have found together. They count for
// sharedLoadLifetime.
func (p *Plan) ReceiveLoadNotices(notices []LoadNotice, now time.Time) {
	noticeOf := make(map[uint64]LoadNotice, len(notices))
	for _, notice := range notices {
		noticeOf[notice.Upstream] = notice
	}
	for _, upstream := range p.upstreams {
		notice, found := noticeOf[upstream.seed]
		if !found {
			continue
		}
		upstream.sharedLoad.Store(&sharedLoad{
			load:     notice.Load,
			slowdown: notice.Slowdown,
			until:    now.Add(sharedLoadLifetime),
		})
	}
}
