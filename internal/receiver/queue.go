package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// serviceQueue is the queue of one service. It lasts over changes of the plan, so that requests
// wait on in order with the same end.
type serviceQueue struct {
	// waiting is how many requests wait or are about to. While it is 0, no request and no
	// release of a slot takes mu.
	waiting atomic.Int64
	// level is the admission level; nil if it admits all.
	level atomic.Pointer[scheduler.Level]
	tally tally
	// watcher wakes the queue when a slot is released.
	watcher admitter.Watcher

	// mu guards the fields below.
	mu   sync.Mutex
	gate *scheduler.Gate[*waiting]
	// timer wakes the queue when a wait ends or a slot is expected.
	timer *time.Timer
}

func newServiceQueue(limits scheduler.Limits) *serviceQueue {
	queue := &serviceQueue{
		gate: scheduler.NewGate[*waiting](limits),
	}
	queue.watcher = queue.wake
	queue.timer = time.AfterFunc(time.Hour, queue.wake)
	queue.timer.Stop()
	return queue
}

// wake lets the waiting requests go on for which there is a slot.
func (q *serviceQueue) wake() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.gate.Wake(now)
	q.arm(now)
}

// wakeAll does what wake does, after the upstreams may have changed.
func (q *serviceQueue) wakeAll() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for entry := range q.gate.All() {
		entry.look(now)
	}
	q.gate.Wake(now)
	q.arm(now)
}

// arm sets the timer for the time at which the gate has to be woken. The caller holds mu.
func (q *serviceQueue) arm(now time.Time) {
	next := q.gate.NextWake(now)
	if next.IsZero() {
		q.timer.Stop()
		return
	}
	q.timer.Reset(next.Sub(now))
}

// offer lets a request go on, wait or be refused, and returns the decision.
func (q *serviceQueue) offer(entry *waiting) scheduler.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	// The request watches before it tries, so that it misses no release in between.
	entry.look(now)
	decision := q.gate.Offer(entry, now)
	q.arm(now)
	return decision
}

// leave takes a request out of the queue and reports whether it was still waiting.
func (q *serviceQueue) leave(entry *waiting) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Leave(entry)
}

// admit decides by the admission level whether a request goes on, and returns the share that
// the level admits.
func (q *serviceQueue) admit(request scheduler.Request, now time.Time) (scheduler.Refusal, float64, bool) {
	level := q.level.Load()
	if level == nil {
		return scheduler.Refusal{}, 1, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	refusal, admitted := q.gate.Admit(request, *level, now)
	return refusal, level.Share(request.Priority), admitted
}

// waiting is a request in the queue of its service.
type waiting struct {
	attempts *attempts
	lane     *lane
	request  scheduler.Request
	// random is the random number with which an upstream is chosen.
	random uint64
	// room holds the upstreams that the request may use. The queue's mu guards it.
	room admitter.Room
	// ended is closed after one of upstream and refusal was set.
	ended    chan struct{}
	upstream *admitter.Upstream
	refusal  *arbiter.Refusal
	// cause is why the request was refused by the queue, or empty.
	cause scheduler.Cause
}

// look finds the upstreams that the request may use, and watches them.
func (w *waiting) look(now time.Time) {
	w.room = w.attempts.admission.Room(now, w.random, w.lane.answers.Value())
	w.room.Watch(&w.lane.queue.watcher)
}

// Request returns what the order depends on.
func (w *waiting) Request() scheduler.Request {
	return w.request
}

// Room returns what is expected at the request's upstreams.
func (w *waiting) Room(now time.Time) scheduler.Room {
	return w.room.Expected(now)
}

// CompetesWith reports whether two requests need the same upstreams.
func (w *waiting) CompetesWith(other *waiting) bool {
	return w.room.Overlaps(other.room)
}

// Try takes a slot for the request if one of its upstreams has room.
func (w *waiting) Try(now time.Time) bool {
	if w.room.ReadyAt(now).After(now) {
		return false
	}
	upstream, refusal := w.attempts.admission.Acquire(now, w.random, w.attempts.lastFailed())
	if refusal != nil {
		return false
	}
	w.upstream = upstream
	close(w.ended)
	return true
}

// End ends the request if its service is no longer declared or the instance stops before an
// answer is expected.
func (w *waiting) End(now time.Time) bool {
	if !w.attempts.admission.ServiceDeclared() {
		w.refusal = arbiter.Refuse(arbiter.UnknownService, "the service was withdrawn while the request waited")
	} else {
		w.refusal = w.attempts.checkDrain(now)
	}
	if w.refusal == nil {
		return false
	}
	close(w.ended)
	return true
}

// Refuse ends the request because there is no room.
func (w *waiting) Refuse(refusal scheduler.Refusal) {
	w.cause = refusal.Decision.Cause
	w.refusal = refuseNoRoom(refusal)
	close(w.ended)
}

// noRoomDetails are the details of the refusals of the queue.
var noRoomDetails = map[scheduler.Cause]string{
	scheduler.TooLate:    "no upstream is expected to have a free slot in time",
	scheduler.QueueFull:  "no upstream has a free slot, and the queue is full",
	scheduler.Displaced:  "no upstream has a free slot, and a more urgent request has taken the place in the queue",
	scheduler.WaitEnded:  "no upstream had a free slot before the wait ended",
	scheduler.OverShare:  "the service is overloaded, and the team asks for more than its fair share",
	scheduler.BelowLevel: "the service is overloaded, and the admission level does not admit the request",
}

// refuseNoRoom returns the refusal of a request for which there is no room.
func refuseNoRoom(refusal scheduler.Refusal) *arbiter.Refusal {
	return arbiter.Refuse(arbiter.NoRoom, noRoomDetails[refusal.Decision.Cause]).WithRetryAt(refusal.RetryAt)
}

// acquire takes a slot at an upstream for the next attempt, and returns the time at which it
// did. If no upstream has room, the request waits in its service's queue, unless there are no
// queues or the request may have run.
func (a *attempts) acquire(ctx context.Context, now time.Time) (*admitter.Upstream, time.Time, *arbiter.Refusal) {
	random := rand.Uint64()
	queues := a.receiver.queues
	if queues == nil || a.mayHaveRunErr != nil {
		upstream, refusal := a.admission.Acquire(now, random, a.lastFailed())
		return upstream, now, refusal
	}
	lane := queues.laneOf(a.admission)
	if len(a.failed) == 0 && lane.queue.level.Load() != nil {
		if refusal := a.admitByLevel(lane, now); refusal != nil {
			return nil, now, refusal
		}
	}
	if lane.queue.waiting.Load() == 0 {
		if upstream, refusal := a.admission.Acquire(now, random, a.lastFailed()); refusal == nil {
			return upstream, now, nil
		}
	}
	upstream, refusal := a.acquireInQueue(ctx, lane, random)
	return upstream, time.Now(), refusal
}

// admitByLevel returns the refusal of a request that the admission level does not admit.
func (a *attempts) admitByLevel(lane *lane, now time.Time) *arbiter.Refusal {
	refusal, share, admitted := lane.queue.admit(a.queueRequest(), now)
	if admitted {
		return nil
	}
	a.outcome.Queue = QueueOutcome{
		Cause:      refusal.Decision.Cause,
		LevelShare: share,
	}
	return refuseNoRoom(refusal)
}

// acquireInQueue takes a slot as soon as the order of the queue allows it.
func (a *attempts) acquireInQueue(ctx context.Context, lane *lane, random uint64) (*admitter.Upstream, *arbiter.Refusal) {
	entry := &waiting{
		attempts: a,
		lane:     lane,
		request:  a.queueRequest(),
		random:   random,
		ended:    make(chan struct{}),
	}
	held := &lane.queue.tally.of(a.outcome.Priority).held
	lane.queue.waiting.Add(1)
	held.Add(1)
	defer lane.queue.waiting.Add(-1)
	defer held.Add(-1)
	began := time.Now()
	decision := lane.queue.offer(entry)
	select {
	case <-entry.ended:
	case <-ctx.Done():
		if lane.queue.leave(entry) {
			entry.refusal = endedInQueue(ctx)
		}
	}
	if decision != (scheduler.Decision{}) {
		a.outcome.Queue = QueueOutcome{
			Cause:    decision.Cause,
			Waited:   time.Since(began),
			Ahead:    decision.Ahead,
			Expected: decision.Expected,
		}
	}
	if entry.cause != "" {
		a.outcome.Queue.Cause = entry.cause
	}
	return entry.upstream, entry.refusal
}

// endedInQueue returns the refusal of a request whose context has ended while it waited.
func endedInQueue(ctx context.Context) *arbiter.Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return arbiter.Refuse(arbiter.DeadlineExceeded, "the deadline passed before an upstream had a free slot")
	}
	return forwarder.InterruptedRefusal(ctx).WithVerdict(arbiter.NotRun)
}

// queueRequest returns what the queue needs to know of the request.
func (a *attempts) queueRequest() scheduler.Request {
	return a.admission.Queued(a.outcome.Arrived, rand.Float64())
}

// checkDrain returns a refusal if the instance drains and an answer is not expected in time.
func (a *attempts) checkDrain(now time.Time) *arbiter.Refusal {
	return a.receiver.drainer.Check(drainRequest(a.admission, a.outcome.Arrived), now)
}
