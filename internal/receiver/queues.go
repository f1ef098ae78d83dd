package receiver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// Queues holds the queue of each service, in which requests wait that find no upstream with
// room. It is safe for concurrent use. While nothing waits and the admission levels admit all,
// a request takes no lock in it and allocates nothing.
type Queues struct {
	limits  scheduler.Limits
	metrics *exporter.QueueCounters
	// lanes is replaced when a route sends its first request to a service; never nil.
	lanes atomic.Pointer[map[laneKey]*lane]
	// mu serializes the writers of lanes.
	mu sync.Mutex
}

// laneKey names the requests of a route to one of its services.
type laneKey struct {
	route   string
	service string
}

// lane is what is kept of the requests of a route to one of its services.
type lane struct {
	queue *serviceQueue
	// answers is the time that answers take.
	answers scheduler.Average
}

// NewQueues returns queues in which nothing waits.
func NewQueues(limits scheduler.Limits, metrics *exporter.QueueCounters) *Queues {
	queues := &Queues{
		limits:  limits,
		metrics: metrics,
	}
	queues.lanes.Store(&map[laneKey]*lane{})
	return queues
}

// laneOf returns the lane of an admitted request.
func (q *Queues) laneOf(admission admitter.Admission) *lane {
	key := laneKey{
		route:   admission.Route.Declared.Name,
		service: admission.Service,
	}
	if found, known := (*q.lanes.Load())[key]; known {
		return found
	}
	return q.addLane(key)
}

// addLane returns the lane with a key, and creates it and its service's queue if they are
// missing.
func (q *Queues) addLane(key laneKey) *lane {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := *q.lanes.Load()
	if found, known := before[key]; known {
		return found
	}
	added := &lane{}
	next := make(map[laneKey]*lane, len(before)+1)
	for other, present := range before {
		next[other] = present
		if other.service == key.service {
			added.queue = present.queue
		}
	}
	if added.queue == nil {
		added.queue = newServiceQueue(q.limits)
	}
	next[key] = added
	q.lanes.Store(&next)
	return added
}

// byService returns the queue of each service that has got a request.
func (q *Queues) byService() map[string]*serviceQueue {
	found := map[string]*serviceQueue{}
	for key, present := range *q.lanes.Load() {
		found[key.service] = present.queue
	}
	return found
}

// WakeAll lets all waiting requests look again: at the upstreams of a new plan, at whether
// their service is still declared, and at whether the instance stops. It must be called after
// each change of the plan and when a drain begins.
func (q *Queues) WakeAll() {
	for _, queue := range q.byService() {
		queue.wakeAll()
	}
}

// TakeCounts returns how the requests of each service have ended since the last call, by
// priority, and how many wait now.
func (q *Queues) TakeCounts() scheduler.Figures {
	counts := scheduler.Figures{}
	for service, queue := range q.byService() {
		counts[service] = queue.tally.take()
	}
	return counts
}

// SetLevels puts the admission level of each service in force. A service without a level
// admits all.
func (q *Queues) SetLevels(levels map[string]scheduler.Level) {
	for service, queue := range q.byService() {
		level := levels[service]
		if level.AdmitsAll() {
			queue.level.Store(nil)
		} else {
			queue.level.Store(&level)
		}
	}
}

// ended counts how a request has ended, and how long its answer took.
func (q *Queues) ended(outcome *Outcome) {
	found, known := (*q.lanes.Load())[laneKey{
		route:   outcome.Route,
		service: outcome.Service,
	}]
	if !known {
		return
	}
	switch refusal := outcome.Refusal; {
	case refusal == nil:
		found.answers.Record(outcome.Ended.Sub(outcome.Placement.ChosenAt))
		found.queue.tally.of(outcome.Priority).add(scheduler.NewCount(outcome.Ended, outcome.Objective, outcome.AnswerLoad))
	case outcome.Queue.Cause == scheduler.BelowLevel:
		found.queue.tally.of(outcome.Priority).turned.Add(1)
	case outcome.Queue.Cause == scheduler.OverShare:
		found.queue.tally.of(outcome.Priority).over.Add(1)
	case lacksRoom(outcome):
		found.queue.tally.of(outcome.Priority).full.Add(1)
	}
	if outcome.Queue.Cause != "" {
		q.metrics.Count(outcome.Priority, string(outcome.Queue.Cause), outcome.Refusal == nil, outcome.Queue.Waited)
	}
}

// lacksRoom reports whether a request failed because the upstreams had no room.
func lacksRoom(outcome *Outcome) bool {
	switch outcome.Refusal.Reason {
	case arbiter.NoRoom, arbiter.UpstreamShed:
		return true
	case arbiter.DeadlineExceeded:
		return outcome.Attempts > 0
	default:
		return false
	}
}

// tally counts requests by priority. Counting takes no lock.
type tally [scheduler.Priorities]priorityTally

// priorityTally counts the requests of one priority by how they ended; held is how many wait.
type priorityTally struct {
	served atomic.Int64
	late   atomic.Int64
	full   atomic.Int64
	turned atomic.Int64
	over   atomic.Int64
	held   atomic.Int64
}

// add counts a request that was answered.
func (t *priorityTally) add(answered scheduler.Count) {
	t.served.Add(int64(answered.Served))
	t.late.Add(int64(answered.Late))
}

// of returns the counters of a priority.
func (t *tally) of(priority int) *priorityTally {
	return &t[scheduler.PriorityIndex(priority)]
}

// take returns the counts and begins anew, except for those that wait.
func (t *tally) take() scheduler.Counts {
	var counts scheduler.Counts
	for i := range t {
		counts[i] = scheduler.Count{
			Served: int(t[i].served.Swap(0)),
			Late:   int(t[i].late.Swap(0)),
			Full:   int(t[i].full.Swap(0)),
			Turned: int(t[i].turned.Swap(0)),
			Over:   int(t[i].over.Swap(0)),
			Held:   int(t[i].held.Load()),
		}
	}
	return counts
}

// QueueOutcome says what the queue did with a request; the zero value if it did nothing.
type QueueOutcome struct {
	// Cause is why the request waited or was refused.
	Cause scheduler.Cause
	// Waited is how long it waited.
	Waited time.Duration
	// Ahead is how many requests went first when it came, and Expected is when a slot was
	// expected for it then; zero if none was.
	Ahead    int
	Expected time.Time
	// LevelShare is the share of its priority that the admission level admitted; 0 if the
	// level did not decide.
	LevelShare float64
}
