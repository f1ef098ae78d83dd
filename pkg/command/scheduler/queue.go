package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Discipline orders the requests of one priority. It is used by one goroutine at a time.
type Discipline interface {
	// Peek returns the tag that a request of a team would get if it began to wait now. Lower
	// tags go first.
	Peek(team string) float64
	// Begin returns the tag of a request of a team that begins to wait.
	Begin(team string) float64
	// Served records that a request with this tag has stopped waiting to be sent.
	Served(tag float64)
}

// Waiter is a request that waits. Its fields don't change while it waits, except for late.
type Waiter[T any] struct {
	Request Request
	// Decision is what let the request wait.
	Decision Decision
	// Value is what the caller of the queue needs to let the request go on.
	Value T
	// late reports that the request can only meet its deadline, not its objective.
	late bool
	// tag orders requests by Discipline, and number by arrival.
	tag    float64
	number uint64
}

// Queue holds the requests of one service that wait at an instance, in the order in which
// they go on: by priority, then those that can meet their objective, then by the discipline,
// then by deadline. It is used by one goroutine at a time.
//
// Invariant: waiters is sorted and holds at most limits.Longest requests.
type Queue[T any, D Discipline] struct {
	limits        Limits
	newDiscipline func() D
	// disciplines holds one by priority, while requests of that priority wait.
	disciplines map[int]D
	waiters     []*Waiter[T]
	lastNumber  uint64
}

// NewQueue returns an empty queue, in which newDiscipline makes the order of each priority.
func NewQueue[T any, D Discipline](limits Limits, newDiscipline func() D) *Queue[T, D] {
	return &Queue[T, D]{
		limits:        limits,
		newDiscipline: newDiscipline,
		disciplines:   map[int]D{},
	}
}

// Len returns how many requests wait.
func (q *Queue[T, D]) Len() int {
	return len(q.waiters)
}

// Decide decides on a request that finds no slot. It changes nothing. The function competes
// reports whether a waiting request needs the same upstreams.
func (q *Queue[T, D]) Decide(request Request, room Room, competes func(T) bool, now time.Time) Decision {
	ahead := 0
	for _, waiter := range q.waiters {
		if waiter.Request.Priority <= request.Priority && competes(waiter.Value) {
			ahead++
		}
	}
	decision := q.limits.decide(request, room, ahead, now)
	if decision.Waits() && len(q.waiters) >= q.limits.Longest && !q.displaces(request, decision) {
		decision.Cause = QueueFull
		decision.Until = time.Time{}
	}
	return decision
}

// displaces reports whether a request goes before the last one of the queue.
func (q *Queue[T, D]) displaces(request Request, decision Decision) bool {
	last := q.waiters[len(q.waiters)-1]
	if request.Priority != last.Request.Priority {
		return request.Priority < last.Request.Priority
	}
	if last.late == decision.MeetsObjective {
		return decision.MeetsObjective
	}
	return q.disciplineOf(request.Priority).Peek(request.Team) < last.tag
}

// Add lets a request wait by a decision of Decide for the state that the queue is in. If the
// queue is full, the last request leaves it and is returned.
func (q *Queue[T, D]) Add(request Request, decision Decision, value T) (added, displaced *Waiter[T]) {
	if len(q.waiters) >= q.limits.Longest {
		displaced = q.waiters[len(q.waiters)-1]
		q.removeAt(len(q.waiters) - 1)
	}
	q.lastNumber++
	added = &Waiter[T]{
		Request:  request,
		Decision: decision,
		Value:    value,
		late:     !decision.MeetsObjective,
		tag:      q.disciplineOf(request.Priority).Begin(request.Team),
		number:   q.lastNumber,
	}
	at, _ := slices.BinarySearchFunc(q.waiters, added, compare[T])
	q.waiters = slices.Insert(q.waiters, at, added)
	return added, displaced
}

// Remove takes the request with a value that matches out of the queue, and reports whether it
// was in it.
func (q *Queue[T, D]) Remove(matches func(T) bool) bool {
	at := slices.IndexFunc(q.waiters, func(waiter *Waiter[T]) bool { return matches(waiter.Value) })
	if at < 0 {
		return false
	}
	q.removeAt(at)
	return true
}

// removeAt takes out the request at an index.
func (q *Queue[T, D]) removeAt(at int) {
	q.waiters = slices.Delete(q.waiters, at, at+1)
	q.dropIdle()
}

// Result says what becomes of a waiting request.
type Result int

const (
	// Stays means that the request waits on.
	Stays Result = iota
	// Sent means that the request has got a slot and leaves the queue.
	Sent
	// Left means that the request leaves the queue without a slot.
	Left
)

// All returns the requests in the order in which they go on.
func (q *Queue[T, D]) All() iter.Seq[*Waiter[T]] {
	return slices.Values(q.waiters)
}

// Pass offers the requests in order to a function that tries to find a slot, and takes those
// out of the queue that it has dealt with. Requests that have become too late for their
// objective go behind those of their priority that still meet it.
func (q *Queue[T, D]) Pass(now time.Time, try func(*Waiter[T]) Result) {
	q.demoteLate(now)
	kept := q.waiters[:0]
	for _, waiter := range q.waiters {
		switch try(waiter) {
		case Stays:
			kept = append(kept, waiter)
		case Sent:
			q.disciplineOf(waiter.Request.Priority).Served(waiter.tag)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	q.dropIdle()
}

// demoteLate marks the requests that can no longer meet their objective, and sorts anew if
// there are any.
func (q *Queue[T, D]) demoteLate(now time.Time) {
	changed := false
	for _, waiter := range q.waiters {
		start := waiter.Decision.objectiveStart
		if !waiter.late && !start.IsZero() && now.After(start) {
			waiter.late = true
			changed = true
		}
	}
	if changed {
		slices.SortFunc(q.waiters, compare[T])
	}
}

// disciplineOf returns the order of a priority.
func (q *Queue[T, D]) disciplineOf(priority int) D {
	discipline, found := q.disciplines[priority]
	if !found {
		discipline = q.newDiscipline()
		q.disciplines[priority] = discipline
	}
	return discipline
}

// dropIdle forgets the disciplines once nothing waits, which ends a busy period.
func (q *Queue[T, D]) dropIdle() {
	if len(q.waiters) == 0 {
		clear(q.disciplines)
	}
}

// compare orders waiting requests.
func compare[T any](a, b *Waiter[T]) int {
	return cmp.Or(
		cmp.Compare(a.Request.Priority, b.Request.Priority),
		compareLate(a.late, b.late),
		cmp.Compare(a.tag, b.tag),
		a.Request.Deadline.Compare(b.Request.Deadline),
		cmp.Compare(a.number, b.number),
	)
}

// compareLate orders requests that meet their objective before others.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
