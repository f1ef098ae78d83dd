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
	// instanceCount is the number of entry instances in a simulation: two in each of
	// six failure domains, with two failure domains in each region.
	instanceCount = 12
	// hotspotInterval is how long the same two instances receive most of the requests.
	hotspotInterval = 30 * time.Second
	// hotspotFraction is the fraction of the requests that always go to these two. The
	// rest go to any instance.
	hotspotFraction = 0.8
)

// policy is one way to share a limit between instances.
type policy struct {
	name string
	// lending is true if instances lend each other units.
	lending bool
	// minBurst is the smallest burst of a part that is not empty.
	minBurst int
	// maxWait is the longest time for which a request waits for its team's rate.
	maxWait time.Duration
}

// faults selects the faults that a schedule injects.
type faults struct {
	// lossRate and duplicationRate are the fractions of messages that are lost and
	// delivered twice.
	lossRate        float64
	duplicationRate float64
	// pauses enables pauses of instances, for up to six seconds each, and restarts
	// enables their replacement by new incarnations.
	pauses   bool
	restarts bool
}

// event is a call that is due at an instant of virtual time.
type event struct {
	at  time.Duration
	run func()
}

// eventQueue is a heap with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// instance is one simulated entry instance.
type instance struct {
	number int
	// clockRate is the speed of the instance's clock relative to virtual time.
	clockRate float64
	limiter   *sharer.Limiter
	part      limiter.Limit
	// pollScheduled is true while a poll is scheduled.
	pollScheduled bool
	// pausedUntil is the virtual time until which the instance does nothing.
	pausedUntil time.Duration
	// generation increases with each start and each restart.
	generation int
	// dead is true once the instance receives no more messages.
	dead bool
}

// simulation runs instances through one schedule of requests, messages and faults in
// virtual time.
type simulation struct {
	random    *rand.Rand
	policy    policy
	faults    faults
	whole     limiter.Limit
	start     time.Time
	now       time.Duration
	events    eventQueue
	instances [instanceCount]*instance
	reference referenceBucket
	// conforming counts the requests that the team's rate and burst allowed when they
	// arrived, given all requests admitted before and those already waiting.
	// refusedConforming counts those of them that were refused, and messages counts
	// the messages sent.
	conforming        int
	refusedConforming int
	messages          int
	waiting           int
	waits             []time.Duration
}

func newSimulation(seed uint64, p policy, injected faults, whole limiter.Limit) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 6)),
		policy: p,
		faults: injected,
		whole:  whole,
		start:  time.Now(),
	}
	s.reference = referenceBucket{
		whole:  whole,
		tokens: float64(whole.Burst),
	}
	for number := range instanceCount {
		seat := splitter.Seat{
			Index:    number,
			Count:    instanceCount,
			MinBurst: p.minBurst,
		}
		s.instances[number] = &instance{
			number:    number,
			clockRate: 1 + 200e-6*(2*s.random.Float64()-1),
			part:      splitter.Part(whole, "team", seat),
		}
	}
	for _, inst := range s.instances {
		s.startInstance(inst)
	}
	return s
}

// startInstance starts an instance with an empty bucket.
func (s *simulation) startInstance(inst *instance) {
	inst.generation++
	inst.pollScheduled = false
	inst.limiter = sharer.NewLimiter("team", sharer.NewBorrower(s.incarnation(inst)), s.localTime(inst))
	inst.limiter.Account.SetOwned(inst.part, s.localTime(inst))
	inst.limiter.Account.Confirm(s.localTime(inst))
	s.updateHolders(inst)
}

// updateHolders sets the holders from which an instance can borrow; there are none
// without lending.
func (s *simulation) updateHolders(inst *instance) {
	var holders []string
	if s.policy.lending {
		for _, other := range s.holders(inst) {
			holders = append(holders, strconv.Itoa(other.number))
		}
	}
	inst.limiter.SetHolders(holders, s.whole.RatePerSecond)
}

func (s *simulation) incarnation(inst *instance) string {
	return fmt.Sprintf("%d/%d", inst.number, inst.generation)
}

// localTime returns the present time by the instance's clock.
func (s *simulation) localTime(inst *instance) time.Time {
	return s.start.Add(time.Duration(float64(s.now) * inst.clockRate))
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	heap.Push(&s.events, event{
		at:  s.now + delay,
		run: run,
	})
}

// run runs the schedule up to the virtual time length. The load is a multiple of the
// team's rate.
func (s *simulation) run(length time.Duration, load float64) {
	if s.now == 0 {
		s.scheduleArrivals(load)
		if s.faults.pauses || s.faults.restarts {
			s.scheduleFaults()
		}
	}
	for s.events.Len() > 0 && s.now < length {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// scheduleArrivals schedules a request, which schedules the next one in turn.
func (s *simulation) scheduleArrivals(load float64) {
	gap := s.random.ExpFloat64() / (s.whole.RatePerSecond * load)
	s.schedule(time.Duration(gap*float64(time.Second)), func() {
		s.handleRequest(s.instances[s.pickInstance()])
		s.scheduleArrivals(load)
	})
}

// pickInstance chooses the instance that receives a request. Most requests go to the
// two instances of the current hotspot.
func (s *simulation) pickInstance() int {
	hotspot := int(s.now/hotspotInterval) * 5 % instanceCount
	if s.random.Float64() < hotspotFraction {
		return (hotspot + s.random.IntN(2)) % instanceCount
	}
	return s.random.IntN(instanceCount)
}

func (s *simulation) handleRequest(inst *instance) {
	conforming := s.reference.level(s.now) >= float64(1+s.waiting)
	if conforming {
		s.conforming++
	}
	if s.now < inst.pausedUntil {
		// A paused instance accepts no requests, so the next one receives this.
		inst = s.instances[(inst.number+1)%instanceCount]
	}
	if _, ok := inst.limiter.Take(s.localTime(inst)); ok {
		s.recordAdmission(0)
		s.poll(inst)
		return
	}
	if s.policy.maxWait == 0 {
		s.recordRefusal(conforming)
		return
	}
	arrivedAt := s.now
	s.waiting++
	enqueued := inst.limiter.Enqueue(s.localTime(inst), s.localTime(inst).Add(s.policy.maxWait), func(admitted bool) {
		s.waiting--
		if admitted {
			s.recordAdmission(s.now - arrivedAt)
		} else {
			s.recordRefusal(conforming)
		}
	})
	if !enqueued {
		s.waiting--
		s.recordRefusal(conforming)
		return
	}
	s.poll(inst)
}

// poll polls an instance's limiter, sends what it returns and schedules the next poll.
// A paused instance is polled when its pause ends.
func (s *simulation) poll(inst *instance) {
	if s.now < inst.pausedUntil {
		s.schedulePoll(inst, inst.pausedUntil-s.now)
		return
	}
	now := s.localTime(inst)
	work := inst.limiter.Poll(now)
	s.sendAsks(inst, work.Asks)
	s.sendSettlements(inst, work.Settlements)
	if !work.Next.IsZero() {
		s.schedulePoll(inst, work.Next.Sub(now))
	}
}

func (s *simulation) schedulePoll(inst *instance, delay time.Duration) {
	if inst.pollScheduled {
		return
	}
	inst.pollScheduled = true
	generation := inst.generation
	s.schedule(delay, func() {
		if inst.generation == generation {
			inst.pollScheduled = false
			s.poll(inst)
		}
	})
}

func (s *simulation) recordAdmission(wait time.Duration) {
	s.reference.take(s.now)
	s.waits = append(s.waits, wait)
}

func (s *simulation) recordRefusal(conforming bool) {
	if conforming {
		s.refusedConforming++
	}
}

// holders returns the other instances that own a part, nearest first.
func (s *simulation) holders(inst *instance) []*instance {
	var near, far []*instance
	for _, other := range s.instances {
		switch {
		case other == inst || other.part.Burst == 0:
		case other.number/4 == inst.number/4:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	s.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	s.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// sendAsks sends asks, and delivers their answers or reports their timeouts.
func (s *simulation) sendAsks(inst *instance, asks []sharer.DirectedAsk) {
	generation := inst.generation
	for _, directed := range asks {
		number, _ := strconv.Atoi(directed.Holder)
		lender := s.instances[number]
		s.send(inst, lender, func() {
			lender.limiter.Lend(directed.Ask, s.localTime(lender), func(grant sharer.Grant) {
				s.send(lender, inst, func() {
					s.sendSettlements(inst, inst.limiter.Receive(directed.Holder, grant, s.localTime(inst)))
					s.poll(inst)
				})
			})
			s.poll(lender)
		})
		s.schedule(sharer.AnswerTimeout, func() {
			if inst.generation == generation {
				inst.limiter.TimeOut(directed.Ask.Serial.Number, s.localTime(inst))
			}
		})
	}
}

func (s *simulation) sendSettlements(inst *instance, settlements []sharer.Settlement) {
	for _, settlement := range settlements {
		number, _ := strconv.Atoi(settlement.Holder)
		lender := s.instances[number]
		s.send(inst, lender, func() {
			lender.limiter.Account.Settle(settlement.Serial, settlement.Unused, s.localTime(lender))
			s.poll(lender)
		})
	}
}

// send delivers a message after the network latency, unless it is lost. A message to a
// paused instance is delivered when the pause ends.
func (s *simulation) send(from, to *instance, deliver func()) {
	copies := 1
	switch draw := s.random.Float64(); {
	case draw < s.faults.lossRate:
		copies = 0
	case draw < s.faults.lossRate+s.faults.duplicationRate:
		copies = 2
	}
	if to.dead {
		copies = 0
	}
	for range copies {
		s.messages++
		delay := s.latency(from, to)
		generation := to.generation
		s.schedule(max(delay, to.pausedUntil-s.now), func() {
			if to.generation == generation {
				deliver()
			}
		})
	}
}

func (s *simulation) latency(from, to *instance) time.Duration {
	jitter := time.Duration(s.random.Int64N(int64(time.Millisecond)))
	switch {
	case from.number/2 == to.number/2:
		return jitter / 4
	case from.number/4 == to.number/4:
		return time.Millisecond + jitter
	default:
		return 55*time.Millisecond + jitter
	}
}

// scheduleFaults picks a random instance every five seconds on average, and pauses or
// restarts it with equal probability. If only restarts are enabled, it restarts each
// picked instance; if only pauses are, it pauses every second one on average.
func (s *simulation) scheduleFaults() {
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(5*time.Second)), func() {
		inst := s.instances[s.random.IntN(instanceCount)]
		if s.faults.pauses && s.random.IntN(2) == 0 {
			inst.pausedUntil = s.now + time.Duration(s.random.Int64N(int64(6*time.Second)))
		} else if s.faults.restarts {
			s.restart(inst)
		}
		s.scheduleFaults()
	})
}

// takeoverDelay is the time from an instance's death until its part is used again. It
// covers the time until the platform's list drops the instance and a successor sees
// that (0.9 s), and the time until the dead instance's loans end.
const takeoverDelay = 900*time.Millisecond + quarantine

// afterEnd is later than the end of every schedule.
const afterEnd = time.Hour

// kill ends an instance. Its callers go to the next instance, which also takes over
// its part after takeoverDelay.
func (s *simulation) kill(inst *instance) {
	part := inst.part
	inst.dead = true
	inst.pausedUntil = afterEnd
	inst.part = limiter.Limit{}
	s.schedule(takeoverDelay, func() {
		successor := s.instances[(inst.number+1)%instanceCount]
		successor.part = successor.part.Plus(part)
		successor.limiter.Account.SetOwned(successor.part, s.localTime(successor))
		successor.limiter.Account.Confirm(s.localTime(successor))
		for _, other := range s.instances {
			if !other.dead {
				s.updateHolders(other)
			}
		}
	})
}

// quarantine is how long a part stays unused after its owner has died. The margin over
// sharer.Quarantine allows for the drift of the clocks.
const quarantine = sharer.Quarantine + sharer.Quarantine/1000

// restart replaces an instance by a new incarnation, which starts only when the loans
// of the old one have ended.
func (s *simulation) restart(inst *instance) {
	inst.generation++
	inst.pausedUntil = s.now + quarantine
	generation := inst.generation
	inst.limiter = sharer.NewLimiter("team", sharer.NewBorrower(s.incarnation(inst)), s.localTime(inst))
	s.schedule(quarantine, func() {
		if inst.generation == generation {
			s.startInstance(inst)
		}
	})
}

// referenceBucket is a token bucket of the team's whole limit, from which every request
// takes that any instance admits. It starts full, so a negative number of tokens means
// that more than rate·t + burst requests were admitted in some interval of length t.
type referenceBucket struct {
	whole     limiter.Limit
	tokens    float64
	updatedAt time.Duration
	// excess is the largest number of requests by which tokens fell below zero.
	excess float64
}

// level returns the number of tokens at an instant.
func (b *referenceBucket) level(now time.Duration) float64 {
	refilled := b.tokens + b.whole.RatePerSecond*(now-b.updatedAt).Seconds()
	return min(refilled, float64(b.whole.Burst))
}

// take takes a token for an admitted request, below zero if there is none.
func (b *referenceBucket) take(now time.Duration) {
	b.tokens = b.level(now) - 1
	b.updatedAt = now
	b.excess = max(b.excess, -b.tokens)
}

// largestOwner returns the instance that owns the largest part of the limit.
func (s *simulation) largestOwner() *instance {
	largest := s.instances[0]
	for _, inst := range s.instances {
		if inst.part.Burst > largest.part.Burst {
			largest = inst
		}
	}
	return largest
}
