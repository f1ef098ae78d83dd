package scheduler

import (
	"iter"
	"time"
)

// minRecheck is the least time between two looks at a request for which a slot was expected and
// not found. Each further look waits as long again as the request has waited so far, so that a
// wrong expectation costs few looks.
const minRecheck = 10 * time.Millisecond

// Entry is a request in a Gate, as a front end carries it. Its methods are called by the
// goroutine that uses the gate, and must not use the gate.
type Entry interface {
	comparable
	// Request returns what the order depends on.
	Request() Request
	// Room returns what is expected at the upstreams that may serve the request.
	Room(now time.Time) Room
	// Try takes a slot for the request if there is one, and reports whether it has. The request
	// then goes on.
	Try(now time.Time) bool
	// End ends the request for a reason that has nothing to do with room, if there is one, and
	// reports whether there was.
	End(now time.Time) bool
	// Refuse ends the request because there is no room.
	Refuse(refusal Refusal)
}

// Competitor is an Entry that knows which others need the same upstreams.
type Competitor[E any] interface {
	Entry
	CompetesWith(other E) bool
}

// Refusal is a decision against a request, with the time from which a retry is worthwhile. It
// is immutable.
type Refusal struct {
	Decision Decision
	RetryAt  time.Time
}

// Gate decides on the requests of one service that find no slot at once. It is used by one
// goroutine at a time.
type Gate[E Competitor[E]] struct {
	queue   *Queue[E, *StartTimeFair]
	retries RetryPlan
	// demand is that of the teams while the level does not admit all.
	demand *TeamDemand
}

// NewGate returns a gate at which nothing waits.
func NewGate[E Competitor[E]](limits Limits) *Gate[E] {
	return &Gate[E]{
		queue:  NewQueue[E](limits, NewStartTimeFair),
		demand: NewTeamDemand(),
	}
}

// Len returns how many requests wait.
func (g *Gate[E]) Len() int {
	return g.queue.Len()
}

// Offer takes a request. It goes on at once, ends, waits or is refused; the decision says which
// of the last two, and a request that goes on or ends has the zero decision. Requests that wait
// and go first are tried before it.
func (g *Gate[E]) Offer(entry E, now time.Time) Decision {
	g.Wake(now)
	// What would end the request may have happened before it came here, and is not told again.
	if entry.End(now) || entry.Try(now) {
		return Decision{}
	}
	request, room := entry.Request(), entry.Room(now)
	decision := g.queue.Decide(request, room, entry.CompetesWith, now)
	if !decision.Waits() {
		g.refuse(entry, decision, room, now)
		return decision
	}
	_, displaced := g.queue.Add(request, decision, entry)
	if displaced != nil {
		g.refuse(displaced.Value, displaced.Decision.withCause(Displaced), displaced.Value.Room(now), now)
	}
	return decision
}

// Wake lets the waiting requests go on for which there is a slot, in order, and refuses those
// whose wait has ended.
func (g *Gate[E]) Wake(now time.Time) {
	g.queue.Pass(now, func(waiter *Waiter[E]) Result {
		entry := waiter.Value
		switch {
		case entry.End(now):
			return Left
		case entry.Try(now):
			return Sent
		case now.Before(waiter.Decision.Until):
			return Stays
		}
		g.refuse(entry, waiter.Decision.withCause(WaitEnded), entry.Room(now), now)
		return Left
	})
}

// NextWake returns when Wake has to be called although no slot has been released: when a wait
// ends, or when a slot is expected because requests of other instances have ended. It returns
// the zero time if nothing waits.
func (g *Gate[E]) NextWake(now time.Time) time.Time {
	var next time.Time
	for waiter := range g.queue.All() {
		at := waiter.Decision.Until
		if expected := waiter.Value.Room(now).LookAt; !expected.IsZero() {
			recheck := max(minRecheck, now.Sub(waiter.Request.Arrived))
			at = earlier(at, later(expected, now.Add(recheck)))
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// All returns the requests that wait, in order.
func (g *Gate[E]) All() iter.Seq[E] {
	return func(yield func(E) bool) {
		for waiter := range g.queue.All() {
			if !yield(waiter.Value) {
				return
			}
		}
	}
}

// Leave takes a request out that waits no longer, and reports whether it was waiting.
func (g *Gate[E]) Leave(entry E) bool {
	return g.queue.Remove(func(other E) bool { return other == entry })
}

// Admit decides by the admission level whether a request that has not waited yet goes on: first
// whether its team is within its fair share, by what this instance sees of the teams, then by
// its priority. If it is not admitted, Admit returns the refusal.
func (g *Gate[E]) Admit(request Request, level Level, now time.Time) (Refusal, bool) {
	if level.AdmitsAll() {
		return Refusal{}, true
	}
	g.demand.Add(request.Team, now)
	fair := g.demand.Share(request.Team, level.FairShare())
	share := level.Share(request.Priority)
	switch {
	case request.Random >= fair:
		return g.turn(request, OverShare, now), false
	// Below fair, the random number is uniform from 0 to fair.
	case request.Random >= fair*share:
		return g.turn(request, BelowLevel, now), false
	default:
		return Refusal{}, true
	}
}

// turn returns a refusal by the admission level, and plans the retry.
func (g *Gate[E]) turn(request Request, cause Cause, now time.Time) Refusal {
	refusal := Refusal{
		Decision: Decision{
			Cause: cause,
		},
	}
	refusal.RetryAt, g.retries = g.retries.With(request, refusal.Decision, Room{}, now)
	return refusal
}

// refuse ends a request, and plans its retry.
func (g *Gate[E]) refuse(entry E, decision Decision, room Room, now time.Time) {
	refusal := Refusal{
		Decision: decision,
	}
	refusal.RetryAt, g.retries = g.retries.With(entry.Request(), decision, room, now)
	entry.Refuse(refusal)
}

// withCause returns a copy with another cause, which is not Waits.
func (d Decision) withCause(cause Cause) Decision {
	d.Cause = cause
	d.Until = time.Time{}
	return d
}
