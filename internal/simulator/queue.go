package simulator

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// levelInterval is how often instances tell one another how requests have ended.
const levelInterval = time.Second

// queue models the queue of one service at an instance.
type queue struct {
	instance *instance
	gate     *scheduler.Gate[*waiting]
	watcher  admitter.Watcher
	// answers is the time that answers take, by the name of the kind.
	answers map[string]*scheduler.Average
	counts  scheduler.Counts
	level   scheduler.Level
	// wakeAt is when the queue is woken next; zero if it is not.
	wakeAt time.Time
}

// queueOf returns the queue of a service, or nil if the scenario has none.
func (i *instance) queueOf(service string) *queue {
	if i.simulation.scenario.Queue == nil {
		return nil
	}
	found, known := i.queues[service]
	if !known {
		found = &queue{
			instance: i,
			gate:     scheduler.NewGate[*waiting](*i.simulation.scenario.Queue),
			answers:  map[string]*scheduler.Average{},
		}
		found.watcher = found.wake
		i.queues[service] = found
	}
	return found
}

// answersOf returns the time that answers to a kind of request take.
func (q *queue) answersOf(kind string) *scheduler.Average {
	if q.answers[kind] == nil {
		q.answers[kind] = &scheduler.Average{}
	}
	return q.answers[kind]
}

// wake lets the waiting requests go on for which there is a slot.
func (q *queue) wake() {
	if q.gate.Len() == 0 {
		return
	}
	q.gate.Wake(q.instance.simulation.now)
	q.arm()
}

// arm schedules the next time at which the gate has to be woken.
func (q *queue) arm() {
	s := q.instance.simulation
	next := q.gate.NextWake(s.now)
	if next.IsZero() || !q.wakeAt.IsZero() && !q.wakeAt.After(next) {
		return
	}
	q.wakeAt = next
	s.after(next.Sub(s.now), func() {
		if q.wakeAt.Equal(s.now) {
			q.wakeAt = time.Time{}
			q.wake()
		}
	})
}

// count adds the end of a request to the counts of its priority.
func (q *queue) count(priority int, one scheduler.Count) {
	if q == nil {
		return
	}
	var counts scheduler.Counts
	counts[scheduler.PriorityIndex(priority)] = one
	q.counts = q.counts.Plus(counts)
}

// full counts a request that found no room.
var full = scheduler.Count{
	Full: 1,
}

// waiting is a request at a queue.
type waiting struct {
	queue     *queue
	request   *request
	admission admitter.Admission
	number    int
	avoid     *admitter.Upstream
	random    uint64
	spread    float64
	room      admitter.Room
}

// enqueue lets a request go on, wait or be refused.
func (q *queue) enqueue(r *request, admission admitter.Admission, number int, avoid *admitter.Upstream) {
	s := q.instance.simulation
	w := &waiting{
		queue:     q,
		request:   r,
		admission: admission,
		number:    number,
		avoid:     avoid,
		random:    s.random.Uint64(),
		spread:    s.random.Float64(),
	}
	if number == 1 {
		if refusal, admitted := q.gate.Admit(w.Request(), q.level, s.now); !admitted {
			w.Refuse(refusal)
			return
		}
	}
	if q.gate.Len() == 0 && w.Try(s.now) {
		return
	}
	w.room = admission.Room(s.now, w.random, q.answersOf(r.kind.Name).Value())
	w.room.Watch(&q.watcher)
	q.gate.Offer(w, s.now)
	q.arm()
}

// Request returns what the order depends on.
func (w *waiting) Request() scheduler.Request {
	return w.admission.Queued(w.request.servedAt, w.spread)
}

// Room returns what is expected at the request's upstreams.
func (w *waiting) Room(now time.Time) scheduler.Room {
	return w.room.Expected(now)
}

// CompetesWith reports whether two requests need the same upstreams.
func (w *waiting) CompetesWith(other *waiting) bool {
	return w.room.Overlaps(other.room)
}

// Try sends the request if an upstream has room.
func (w *waiting) Try(now time.Time) bool {
	chosen, refusal := w.admission.Acquire(now, w.random, w.avoid)
	if refusal != nil {
		return false
	}
	w.queue.instance.start(w.request, w.admission, w.number, chosen)
	return true
}

// End reports that nothing but a lack of room ends a request.
func (w *waiting) End(time.Time) bool {
	return false
}

// Refuse ends the request because there is no room.
func (w *waiting) Refuse(refusal scheduler.Refusal) {
	one := full
	switch refusal.Decision.Cause {
	case scheduler.BelowLevel:
		one = scheduler.Count{
			Turned: 1,
		}
	case scheduler.OverShare:
		one = scheduler.Count{
			Over: 1,
		}
	}
	w.queue.count(w.admission.Priority(), one)
	w.queue.instance.simulation.end(w.request, "", refusal.RetryAt)
}

// queueEnded counts how an attempt has ended that was not followed by another one.
func (a *attempt) queueEnded(refusal *arbiter.Refusal) {
	queue := a.instance.queueOf(a.admission.Service)
	if queue == nil {
		return
	}
	if refusal != nil {
		queue.count(a.admission.Priority(), full)
		return
	}
	now := a.instance.simulation.now
	objective := a.admission.Objective(a.request.servedAt)
	queue.count(a.admission.Priority(), scheduler.NewCount(now, objective, a.chosen.Load(now)))
	queue.answersOf(a.request.kind.Name).Record(now.Sub(a.sentAt))
}

// shareCounts does at all instances what they do every levelInterval.
func (s *simulation) shareCounts() {
	leaders := map[string]*instance{}
	for _, i := range s.instances {
		if leaders[i.place] == nil {
			leaders[i.place] = i
		}
	}
	for _, i := range s.instances {
		i.shareCounts(leaders)
	}
	if s.now.Sub(s.start) < s.scenario.Length {
		s.after(levelInterval, s.shareCounts)
	}
}

// shareCounts tells the counts of an instance, or the sums if it leads its failure domain, and
// puts the levels in force.
func (i *instance) shareCounts(leaders map[string]*instance) {
	s := i.simulation
	own, last := scheduler.Figures{}, scheduler.Figures{}
	for service, queue := range i.queues {
		last[service] = queue.counts
		own[service] = i.lastCounts[service].Plus(queue.counts)
		queue.counts = scheduler.Counts{}
	}
	i.lastCounts = last
	i.board = i.board.WithMember(i.name, own, s.now)
	leads := leaders[i.place] == i
	switch {
	case leads:
		domain, fleet := i.board.DomainSum(s.now), i.board.FleetSum(s.now)
		i.sendToOthers(func(other *instance) {
			switch {
			case other.place == i.place:
				other.board = other.board.WithFleet(fleet, s.now)
			case leaders[other.place] == other:
				other.board = other.board.WithDomain(i.place, domain, s.now)
			}
		})
	default:
		leader := leaders[i.place]
		s.after(peerLatency, func() { leader.board = leader.board.WithMember(i.name, own, s.now) })
	}
	for service, level := range i.board.Levels(leads, s.now) {
		i.queueOf(service).level = level
	}
}
