package sharer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

const (
	// seats are the entry instances of these tests, two in each of six failure
	// domains, two of which make a region.
	seats = 12
	// moveEvery is how often the place of the skewed callers changes.
	moveEvery = 30 * time.Second
	// hotShare is the part of the requests that two instances get.
	hotShare = 0.8
)

// way is one way to share a limit.
type way struct {
	name string
	// lending says that units are lent.
	lending bool
	// perHolder is the least burst of one holder.
	perHolder int
	// wait is how long a request waits for its team's rate at most.
	wait time.Duration
}

// faults are what goes wrong in a schedule.
type faults struct {
	// lose and double are the fractions of messages that are lost and doubled.
	lose   float64
	double float64
	// pauses stops instances for up to seconds; restarts replaces them.
	pauses   bool
	restarts bool
}

// event is something that happens at a true instant.
type event struct {
	at  time.Duration
	run func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// instance is one entry instance of a schedule.
type instance struct {
	number int
	clock  float64
	desk   *sharer.Desk
	part   limiter.Limit
	// pumping says that a pump is planned.
	pumping bool
	// pausedUntil is the true instant until which it does nothing.
	pausedUntil time.Duration
	// generation tells its starts apart.
	generation int
	// dead says that it takes no message any more.
	dead bool
}

// fleet plays one schedule in virtual time.
type fleet struct {
	random *rand.Rand
	way    way
	faults faults
	whole  limiter.Limit
	start  time.Time
	now    time.Duration
	events queue
	nodes  [seats]*instance
	ledger ledger
	// rightful counts the requests that came when the team's rate and burst, less
	// all that was admitted so far, had room for them and all that waited already;
	// refused counts those of them that were refused, and messages what was sent.
	rightful int
	refused  int
	messages int
	waiting  int
	waits    []time.Duration
}

func newFleet(seed uint64, how way, wrong faults, whole limiter.Limit) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 6)),
		way:    how,
		faults: wrong,
		whole:  whole,
		start:  time.Now(),
	}
	f.ledger = ledger{
		whole: whole,
		left:  float64(whole.Burst),
	}
	for number := range seats {
		seat := splitter.Seat{
			Index:     number,
			Of:        seats,
			PerHolder: how.perHolder,
		}
		f.nodes[number] = &instance{
			number: number,
			clock:  1 + 200e-6*(2*f.random.Float64()-1),
			part:   splitter.Part(whole, "team", seat),
		}
	}
	for _, node := range f.nodes {
		f.begin(node)
	}
	return f
}

// begin starts an instance with an empty bucket.
func (f *fleet) begin(node *instance) {
	node.generation++
	node.pumping = false
	node.desk = sharer.NewDesk("team", f.name(node), f.local(node))
	node.desk.Account.SetOwned(node.part, f.local(node))
	node.desk.Account.Confirm(f.local(node))
	f.point(node)
}

// point tells an instance from whom it can borrow.
func (f *fleet) point(node *instance) {
	var holders []string
	if f.way.lending {
		for _, other := range f.holders(node) {
			holders = append(holders, strconv.Itoa(other.number))
		}
	}
	node.desk.SetHolders(holders, f.whole.RatePerSecond)
}

func (f *fleet) name(node *instance) string {
	return fmt.Sprintf("%d/%d", node.number, node.generation)
}

func (f *fleet) local(node *instance) time.Time {
	return f.start.Add(time.Duration(float64(f.now) * node.clock))
}

func (f *fleet) after(wait time.Duration, run func()) {
	heap.Push(&f.events, event{
		at:  f.now + wait,
		run: run,
	})
}

// play runs the schedule up to an instant.
func (f *fleet) play(length time.Duration, load float64) {
	if f.now == 0 {
		f.arrive(load)
		if f.faults.pauses || f.faults.restarts {
			f.disturb()
		}
	}
	for f.events.Len() > 0 && f.now < length {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
}

// arrive brings one request and plans the next.
func (f *fleet) arrive(load float64) {
	gap := f.random.ExpFloat64() / (f.whole.RatePerSecond * load)
	f.after(time.Duration(gap*float64(time.Second)), func() {
		f.request(f.nodes[f.target()])
		f.arrive(load)
	})
}

// target chooses the instance of a request: mostly one of two, which change.
func (f *fleet) target() int {
	hot := int(f.now/moveEvery) * 5 % seats
	if f.random.Float64() < hotShare {
		return (hot + f.random.IntN(2)) % seats
	}
	return f.random.IntN(seats)
}

func (f *fleet) request(node *instance) {
	rightful := f.ledger.level(f.now) >= float64(1+f.waiting)
	if rightful {
		f.rightful++
	}
	if f.now < node.pausedUntil {
		// A paused instance takes no request; this one goes to the next.
		node = f.nodes[(node.number+1)%seats]
	}
	if _, ok := node.desk.Take(f.local(node)); ok {
		f.admit(0)
		f.pump(node)
		return
	}
	if f.way.wait == 0 {
		f.refuse(rightful)
		return
	}
	since := f.now
	f.waiting++
	joined := node.desk.Join(f.local(node).Add(f.way.wait), func(admitted bool) {
		f.waiting--
		if admitted {
			f.admit(f.now - since)
		} else {
			f.refuse(rightful)
		}
	})
	if !joined {
		f.waiting--
		f.refuse(rightful)
		return
	}
	f.pump(node)
}

// pump serves those who wait at an instance and plans the next pump.
func (f *fleet) pump(node *instance) {
	if f.now < node.pausedUntil {
		f.pumpLater(node, node.pausedUntil-f.now)
		return
	}
	now := f.local(node)
	work := node.desk.Pump(now)
	f.sendAsks(node, work.Asks)
	f.settle(node, work.Settlements)
	if !work.Next.IsZero() {
		f.pumpLater(node, work.Next.Sub(now))
	}
}

func (f *fleet) pumpLater(node *instance, wait time.Duration) {
	if node.pumping {
		return
	}
	node.pumping = true
	generation := node.generation
	f.after(wait, func() {
		if node.generation == generation {
			node.pumping = false
			f.pump(node)
		}
	})
}

func (f *fleet) admit(wait time.Duration) {
	f.ledger.admit(f.now)
	f.waits = append(f.waits, wait)
}

func (f *fleet) refuse(rightful bool) {
	if rightful {
		f.refused++
	}
}

// holders returns the instances that own a part, the nearest first.
func (f *fleet) holders(node *instance) []*instance {
	var near, far []*instance
	for _, other := range f.nodes {
		switch {
		case other == node || other.part.Burst == 0:
		case other.number/4 == node.number/4:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	f.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	f.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// sendAsks sends asks and takes in their answers, or their want.
func (f *fleet) sendAsks(node *instance, asks []sharer.Directed) {
	generation := node.generation
	for _, directed := range asks {
		number, _ := strconv.Atoi(directed.Holder)
		lender := f.nodes[number]
		f.send(node, lender, func() {
			lender.desk.Lend(directed.Ask, f.local(lender), func(grant sharer.Grant) {
				f.send(lender, node, func() {
					f.settle(node, node.desk.Receive(directed.Holder, grant, f.local(node)))
					f.pump(node)
				})
			})
			f.pump(lender)
		})
		f.after(sharer.AnswerLimit, func() {
			if node.generation == generation {
				node.desk.Miss(directed.Ask.Serial.Number, f.local(node))
			}
		})
	}
}

func (f *fleet) settle(node *instance, settlements []sharer.Settlement) {
	for _, settlement := range settlements {
		number, _ := strconv.Atoi(settlement.Holder)
		lender := f.nodes[number]
		f.send(node, lender, func() {
			lender.desk.Account.Settle(settlement.Serial, settlement.Unused, f.local(lender))
			f.pump(lender)
		})
	}
}

// send delivers a message after the way's latency, unless it is lost. A message
// to a paused instance waits for the end of the pause.
func (f *fleet) send(from, to *instance, deliver func()) {
	copies := 1
	switch draw := f.random.Float64(); {
	case draw < f.faults.lose:
		copies = 0
	case draw < f.faults.lose+f.faults.double:
		copies = 2
	}
	if to.dead {
		copies = 0
	}
	for range copies {
		f.messages++
		wait := f.latency(from, to)
		generation := to.generation
		f.after(max(wait, to.pausedUntil-f.now), func() {
			if to.generation == generation {
				deliver()
			}
		})
	}
}

func (f *fleet) latency(from, to *instance) time.Duration {
	jitter := time.Duration(f.random.Int64N(int64(time.Millisecond)))
	switch {
	case from.number/2 == to.number/2:
		return jitter / 4
	case from.number/4 == to.number/4:
		return time.Millisecond + jitter
	default:
		return 55*time.Millisecond + jitter
	}
}

// disturb pauses or restarts an instance now and then. One that restarts waits
// until what it has lent has ended.
func (f *fleet) disturb() {
	f.after(time.Duration(f.random.ExpFloat64()*float64(5*time.Second)), func() {
		node := f.nodes[f.random.IntN(seats)]
		if f.faults.pauses && f.random.IntN(2) == 0 {
			node.pausedUntil = f.now + time.Duration(f.random.Int64N(int64(6*time.Second)))
		} else if f.faults.restarts {
			f.restart(node)
		}
		f.disturb()
	})
}

// takeover is how long it takes until a dead instance's part is used again: until
// the platform's list drops it and an heir sees that, and until its loans end.
const takeover = 900*time.Millisecond + quarantine

// never is after the end of every schedule.
const never = time.Hour

// die ends an instance. Its callers go to the next one, its part to an heir.
func (f *fleet) die(node *instance) {
	part := node.part
	node.dead = true
	node.pausedUntil = never
	node.part = limiter.Limit{}
	f.after(takeover, func() {
		heir := f.nodes[(node.number+1)%seats]
		heir.part = heir.part.Plus(part)
		heir.desk.Account.SetOwned(heir.part, f.local(heir))
		heir.desk.Account.Confirm(f.local(heir))
		for _, other := range f.nodes {
			if !other.dead {
				f.point(other)
			}
		}
	})
}

// quarantine is how long a part is left alone after its holder has died.
const quarantine = sharer.Quarantine + sharer.Quarantine/1000

func (f *fleet) restart(node *instance) {
	node.generation++
	node.pausedUntil = f.now + quarantine
	generation := node.generation
	node.desk = sharer.NewDesk("team", f.name(node), f.local(node))
	f.after(quarantine, func() {
		if node.generation == generation {
			f.begin(node)
		}
	})
}

// ledger is what the team's rate and burst leave, after all that was admitted
// anywhere. It starts full, so that below zero means that some interval of the
// schedule holds more than rate·t + burst.
type ledger struct {
	whole limiter.Limit
	left  float64
	at    time.Duration
	// excess is by how many requests it fell below zero.
	excess float64
}

func (l *ledger) level(now time.Duration) float64 {
	grown := l.left + l.whole.RatePerSecond*(now-l.at).Seconds()
	return min(grown, float64(l.whole.Burst))
}

func (l *ledger) admit(now time.Duration) {
	l.left = l.level(now) - 1
	l.at = now
	l.excess = max(l.excess, -l.left)
}

// largestOwner returns the instance that owns most of the limit.
func (f *fleet) largestOwner() *instance {
	largest := f.nodes[0]
	for _, node := range f.nodes {
		if node.part.Burst > largest.part.Burst {
			largest = node
		}
	}
	return largest
}
