package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

var start = time.Unix(1_000_000, 0)

// at returns the time that many milliseconds after the start.
func at(millis int) time.Time {
	return start.Add(time.Duration(millis) * time.Millisecond)
}

// entry is a request in a test. It goes on while slots are left.
type entry struct {
	name    string
	request scheduler.Request
	room    scheduler.Room
	slots   *int
	ended   bool
	sent    *[]string
	refusal scheduler.Refusal
}

func (e *entry) Request() scheduler.Request { return e.request }

func (e *entry) Room(time.Time) scheduler.Room { return e.room }

func (e *entry) Try(time.Time) bool {
	if *e.slots == 0 {
		return false
	}
	*e.slots--
	*e.sent = append(*e.sent, e.name)
	return true
}

func (e *entry) End(time.Time) bool { return e.ended }

func (e *entry) Refuse(refusal scheduler.Refusal) { e.refusal = refusal }

func (e *entry) CompetesWith(*entry) bool { return true }

// bench is a gate with slots that a test gives out.
type bench struct {
	gate  *scheduler.Gate[*entry]
	slots int
	sent  []string
}

func newBench(longest int) *bench {
	return &bench{
		gate: scheduler.NewGate[*entry](scheduler.Limits{
			Longest:   longest,
			WaitShare: 0.5,
		}),
	}
}

// newEntry returns a request that arrives at the start with an objective of 600 ms and a
// deadline of 4 s, and for which a slot is expected after 100 ms and an answer 200 ms later.
func (b *bench) newEntry(name, team string, priority int) *entry {
	return &entry{
		name: name,
		request: scheduler.Request{
			Priority:  priority,
			Team:      team,
			Arrived:   start,
			Objective: at(600),
			Deadline:  at(4000),
			Random:    0.5,
		},
		room: scheduler.Room{
			At:     at(100),
			LookAt: at(100),
			Answer: 200 * time.Millisecond,
		},
		slots: &b.slots,
		sent:  &b.sent,
	}
}

// release gives out slots one by one.
func (b *bench) release(count int, now time.Time) {
	for range count {
		b.slots++
		b.gate.Wake(now)
	}
}

// TestRequestsGoOnInOrder guards against a less urgent request that goes before a more urgent
// one, a team that takes the turns of another, and one that is late taking the place of one
// that is not.
func TestRequestsGoOnInOrder(t *testing.T) {
	type offered struct {
		name, team string
		priority   int
		// deadlineMillis is the deadline and answerMillis the expected time to an answer, if
		// they are not those of newEntry.
		deadlineMillis int
		answerMillis   int
	}
	cases := []struct {
		name    string
		offered []offered
		want    []string
	}{
		{
			name: "by priority",
			offered: []offered{
				{
					name:     "reads",
					priority: 2,
				},
				{
					name:     "orders",
					priority: 0,
				},
				{
					name:     "lists",
					priority: 1,
				},
			},
			want: []string{"orders", "lists", "reads"},
		},
		{
			name: "fairly between teams",
			offered: []offered{
				{
					name: "a1",
					team: "a",
				},
				{
					name: "a2",
					team: "a",
				},
				{
					name: "a3",
					team: "a",
				},
				{
					name: "b1",
					team: "b",
				},
				{
					name: "b2",
					team: "b",
				},
			},
			want: []string{"a1", "b1", "a2", "b2", "a3"},
		},
		{
			name: "by deadline within a turn",
			offered: []offered{
				{
					name: "a",
					team: "a",
				},
				{
					name:           "b",
					team:           "b",
					deadlineMillis: 3000,
				},
			},
			want: []string{"b", "a"},
		},
		{
			name: "the objective before the deadline",
			offered: []offered{
				{
					name:         "late",
					team:         "a",
					answerMillis: 550,
				},
				{
					name: "in time",
					team: "b",
				},
			},
			want: []string{"in time", "late"},
		},
		{
			name: "an urgent late one before a less urgent one",
			offered: []offered{
				{
					name:     "in time",
					priority: 1,
				},
				{
					name:         "late",
					answerMillis: 550,
				},
			},
			want: []string{"late", "in time"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(10)
			for _, o := range c.offered {
				e := b.newEntry(o.name, o.team, o.priority)
				if o.deadlineMillis > 0 {
					e.request.Deadline = at(o.deadlineMillis)
				}
				if o.answerMillis > 0 {
					e.room.Answer = time.Duration(o.answerMillis) * time.Millisecond
				}
				if decision := b.gate.Offer(e, start); !decision.Waits() {
					t.Fatalf("%s: got %+v, want it to wait", o.name, decision)
				}
			}
			b.release(len(c.offered), at(50))
			if !slices.Equal(b.sent, c.want) {
				t.Errorf("got order %v, want %v", b.sent, c.want)
			}
		})
	}
}

// TestDecisions guards against a request that is held although it cannot be served in time,
// and against one that is refused although it could.
func TestDecisions(t *testing.T) {
	cases := []struct {
		name  string
		edit  func(e *entry)
		slots int
		// before is how many requests wait already, of the same priority.
		before int
		cause  scheduler.Cause
		until  time.Time
	}{
		{
			name:  "a slot is free",
			slots: 1,
		},
		{
			name:  "a slot is free, and an answer is expected after the deadline",
			edit:  func(e *entry) { e.room.Answer = time.Minute },
			slots: 1,
		},
		{
			name:  "a slot is expected in time",
			cause: scheduler.Waits,
			until: at(300),
		},
		{
			name:  "no objective: the wait is a part of the time to the deadline",
			edit:  func(e *entry) { e.request.Objective = time.Time{} },
			cause: scheduler.Waits,
			until: at(2000),
		},
		{
			name:  "a slot is expected after the longest wait",
			edit:  func(e *entry) { e.room.At = at(301) },
			cause: scheduler.TooLate,
		},
		{
			name:  "the answer is expected after the deadline",
			edit:  func(e *entry) { e.room.Answer = 3950 * time.Millisecond },
			cause: scheduler.TooLate,
		},
		{
			name:  "nothing can serve it",
			edit:  func(e *entry) { e.room.At = time.Time{} },
			cause: scheduler.TooLate,
		},
		{
			name:   "those before take all slots until the wait ends",
			edit:   func(e *entry) { e.room.PerSecond = 10 },
			before: 3,
			cause:  scheduler.TooLate,
		},
		{
			name:   "the queue is full",
			before: 4,
			cause:  scheduler.QueueFull,
		},
		{
			name:   "the queue is full of less urgent requests",
			edit:   func(e *entry) { e.request.Priority = 0 },
			before: 4,
			cause:  scheduler.Waits,
			until:  at(300),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(4)
			for range c.before {
				b.gate.Offer(b.newEntry("before", "a", 1), start)
			}
			b.slots = c.slots
			e := b.newEntry("this", "a", 1)
			if c.edit != nil {
				c.edit(e)
			}
			got := b.gate.Offer(e, start)
			if got.Cause != c.cause || !got.Until.Equal(c.until) {
				t.Errorf("got %+v, want cause %q until %v", got, c.cause, c.until)
			}
			if refused := e.refusal != (scheduler.Refusal{}); refused != (c.cause != "" && c.cause != scheduler.Waits) {
				t.Errorf("got refusal %+v with cause %q", e.refusal, c.cause)
			}
		})
	}
}

// TestEveryWaitEnds guards against requests that wait without an answer: at the end of the
// wait, when the queue overflows, and when they end for another reason.
func TestEveryWaitEnds(t *testing.T) {
	b := newBench(2)
	first, second := b.newEntry("first", "a", 1), b.newEntry("second", "b", 1)
	b.gate.Offer(first, start)
	b.gate.Offer(second, start)
	b.gate.Offer(b.newEntry("urgent", "a", 0), start)
	if second.refusal.Decision.Cause != scheduler.Displaced {
		t.Errorf("got %+v for the last one of a full queue, want that it is displaced", second.refusal)
	}
	if next := b.gate.NextWake(start); !next.Equal(at(100)) {
		t.Errorf("got the next look at %v, want it when a slot is expected", next)
	}
	first.room.LookAt = time.Time{}
	first.ended = true
	b.gate.Wake(at(200))
	if b.gate.Len() != 1 {
		t.Errorf("got %d requests, want that the one that has ended is gone", b.gate.Len())
	}
	b.gate.Wake(at(300))
	if b.gate.Len() != 0 || !b.gate.NextWake(at(300)).IsZero() {
		t.Errorf("got %d requests at the end of the longest wait, want none", b.gate.Len())
	}
}

// TestRetriesKeepTheirOrder guards against retries that come at once and against those that
// come after callers have given up.
func TestRetriesKeepTheirOrder(t *testing.T) {
	b := newBench(1)
	b.gate.Offer(b.newEntry("waits", "a", 0), start)
	var last time.Time
	for i := range 50 {
		e := b.newEntry("refused", "a", 1)
		e.room.PerSecond = 20
		e.room.At = at(400)
		b.gate.Offer(e, at(i))
		if retryAt := e.refusal.RetryAt; retryAt.Before(last) || retryAt.After(at(i+(4000-i)/3+1)) {
			t.Fatalf("refusal %d: got retry at %v after one at %v, want it later and within a third of what is left", i, retryAt, last)
		}
		last = e.refusal.RetryAt
	}
	urgent := b.newEntry("urgent", "a", 0)
	urgent.room.PerSecond = 20
	urgent.room.At = at(400)
	b.gate.Offer(urgent, at(60))
	if retryAt := urgent.refusal.RetryAt; !retryAt.Before(last) {
		t.Errorf("got retry of an urgent request at %v, want it before those of others, the last at %v", retryAt, last)
	}
}
