package simulator

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// Behavior is how an upstream handles requests.
type Behavior struct {
	// Queue is how many requests wait for a slot before the upstream sheds more.
	Queue int
	// KnownObjects is how many objects an upstream remembers; it forgets the one that it
	// has not handled for the longest time.
	KnownObjects int
	// KnownFactor is the work for an object that the upstream remembers, as a fraction of
	// the work for another.
	KnownFactor float64
	// SlowFactor multiplies all work; 0 counts as 1.
	SlowFactor float64
	// ToldSlowdown is the slowdown that the upstream tells, true or not; 0 if it tells none.
	ToldSlowdown float64
	// Silent says that the upstream takes requests and never answers.
	Silent bool
	// LimitPerSecond is the limit that the upstream states in its answers; 0 means none.
	LimitPerSecond float64
}

// work returns how long a slot is taken by a request with the given work.
func (b Behavior) work(work time.Duration, known bool) time.Duration {
	seconds := work.Seconds()
	if known {
		seconds *= b.KnownFactor
	}
	if b.SlowFactor > 0 {
		seconds *= b.SlowFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// upstream models one upstream.
type upstream struct {
	simulation *simulation
	slots      int
	behavior   Behavior
	running    int
	waiting    []*attempt
	// known holds the remembered objects, the one that was handled last at the end.
	known []string
	// arrivals holds the requests that arrived.
	arrivals []Arrival
	// toldAt holds when each instance was first told the present limit, by its name.
	toldAt map[string]time.Time
}

func newUpstream(s *simulation, slots int, behavior Behavior) *upstream {
	return &upstream{
		simulation: s,
		slots:      slots,
		behavior:   behavior,
		toldAt:     map[string]time.Time{},
	}
}

// receive takes an attempt: it runs, waits for a slot or is shed.
func (u *upstream) receive(a *attempt) {
	u.recordArrival(a)
	switch {
	case u.behavior.Silent:
	case u.running < u.slots:
		u.start(a)
	case len(u.waiting) < u.behavior.Queue:
		u.waiting = append(u.waiting, a)
	default:
		a.answer(shed, u.report())
	}
}

// recordArrival records the arrival of an attempt.
func (u *upstream) recordArrival(a *attempt) {
	now := u.simulation.now
	arrival := Arrival{
		At: now.Sub(u.simulation.start),
	}
	if toldAt, told := u.toldAt[a.instance.name]; told {
		arrival.ToldFor = now.Sub(toldAt)
	}
	u.arrivals = append(u.arrivals, arrival)
}

// start runs an attempt until it is done or its deadline passes, whichever is first.
func (u *upstream) start(a *attempt) {
	u.running++
	a.known = u.remember(a.request.object)
	work := u.behavior.work(a.request.kind.Work, a.known)
	remaining := a.deadline.Sub(u.simulation.now)
	u.simulation.after(min(work, remaining), func() {
		u.running--
		if work <= remaining {
			a.answer(answered, u.report())
		}
		u.startNext()
	})
}

// startNext runs the attempt that has waited longest. Those whose deadline has passed are
// dropped without an answer, since their callers have gone.
func (u *upstream) startNext() {
	for u.running < u.slots && len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		if next.ended || !u.simulation.now.Before(next.deadline) {
			continue
		}
		u.start(next)
	}
}

// remember makes an object the one handled last, and reports whether it was known.
func (u *upstream) remember(object string) bool {
	found := slices.Index(u.known, object)
	if found >= 0 {
		u.known = slices.Delete(u.known, found, found+1)
	}
	u.known = append(u.known, object)
	if len(u.known) > u.behavior.KnownObjects {
		u.known = u.known[1:]
	}
	return found >= 0
}

// report returns what the upstream tells in its answers.
func (u *upstream) report() registrar.Report {
	report := registrar.Report{}.WithLoad(registrar.Load{
		Running: u.running,
		Waiting: len(u.waiting),

		Slots:    u.slots,
		Slowdown: u.behavior.ToldSlowdown,
	})
	if u.behavior.LimitPerSecond > 0 {
		report = report.WithLimit(u.behavior.LimitPerSecond)
	}
	return report
}

// Arrival is the arrival of a request at an upstream.
type Arrival struct {
	// At is counted from the start.
	At time.Duration
	// ToldFor is how long the instance that sent the request had known the upstream's limit
	// from one of its answers; 0 if it had not.
	ToldFor time.Duration
}
