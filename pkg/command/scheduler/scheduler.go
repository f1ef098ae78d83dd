// Package scheduler decides which requests of a service go on when its upstreams have less
// room than is asked for: which request waits and until when, which one goes on first, and
// which is refused at once and when its caller should come again. It also computes, from the
// figures of all instances, the admission level: the share of each priority's requests that is
// admitted.
//
// Time, room and randomness are arguments, and nothing here does I/O. Which upstreams a
// request may use, and what room they have, is decided by package admitter.
package scheduler

import "time"

// Request is what the order of waiting and the decision on a request depend on. It is
// immutable.
type Request struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Team is the caller's team, or empty on an open route.
	Team string
	// Arrived is when the request came in.
	Arrived time.Time
	// Objective is the time until which an answer is worth most; zero if none is known.
	Objective time.Time
	// Deadline is when the request ends at the latest; never zero.
	Deadline time.Time
	// Random spreads the retries of refused requests; from 0 up to but not including 1.
	Random float64
}

// Room is what an instance expects at the upstreams that may serve a request. It is
// immutable.
type Room struct {
	// At is the earliest time at which one of them is expected to have a slot; zero if none of
	// them can serve the request.
	At time.Time
	// LookAt is the earliest time at which one of them may have a slot although the instance has
	// released none; zero if a slot comes only by a release.
	LookAt time.Time
	// PerSecond is how many requests a second they can begin while all of their slots are in
	// use; 0 if that is unknown, and then a request ahead costs no time.
	PerSecond float64
	// Answer is the expected time from sending a request to its answer; 0 if it is unknown.
	Answer time.Duration
}

// startAfter returns when a request is expected to be sent that waits for the same upstreams
// as a number of requests before it.
func (r Room) startAfter(ahead int) time.Time {
	if r.PerSecond <= 0 {
		return r.At
	}
	return r.At.Add(seconds(float64(ahead) / r.PerSecond))
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// Limits bounds a queue. It is immutable.
type Limits struct {
	// Longest is how many requests may wait; at least 1.
	Longest int
	// WaitShare is how long a request waits at most, counted from its arrival, as a fraction of
	// the time until its objective, or until its deadline if it has no objective; above 0, at
	// most 1.
	WaitShare float64
}

// waitEnd returns the time until which a request may wait, if an answer takes that long.
func (l Limits) waitEnd(request Request, answer time.Duration) time.Time {
	goal := request.Objective
	if goal.IsZero() || request.Deadline.Before(goal) {
		goal = request.Deadline
	}
	end := request.Arrived.Add(seconds(goal.Sub(request.Arrived).Seconds() * l.WaitShare))
	return earlier(end, request.Deadline.Add(-answer))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Cause says why a request waits or is refused.
type Cause string

// The causes of decisions.
const (
	// Waits means that a slot is expected in time.
	Waits Cause = "Waits"
	// TooLate means that no slot is expected before the wait would end, or no answer before
	// the deadline.
	TooLate Cause = "TooLate"
	// QueueFull means that the queue is full of requests that go first.
	QueueFull Cause = "QueueFull"
	// Displaced means that the request waited, and a request that goes first took its place.
	Displaced Cause = "Displaced"
	// WaitEnded means that the request has waited and got no slot in time.
	WaitEnded Cause = "WaitEnded"
	// OverShare means that the service is overloaded and the team asks for more than its fair
	// share.
	OverShare Cause = "OverShare"
	// BelowLevel means that the admission level does not admit the request.
	BelowLevel Cause = "BelowLevel"
)

// Decision says what happens to a request for which there is no slot now, and what decided
// it. It is immutable.
type Decision struct {
	// Cause is Waits, or why the request is refused.
	Cause Cause
	// Until is when the wait ends. It is zero unless the request waits.
	Until time.Time
	// Expected is when a slot is expected for the request; zero if none is.
	Expected time.Time
	// Ahead is how many requests that need the same upstreams go first.
	Ahead int
	// MeetsObjective reports that an answer is expected before the objective. Without an
	// objective it is true.
	MeetsObjective bool
	// objectiveStart is the latest time of sending at which the objective is met; zero without
	// an objective.
	objectiveStart time.Time
}

// Waits reports whether the request waits.
func (d Decision) Waits() bool {
	return d.Cause == Waits
}

// decide returns the decision on a request that finds no slot, with a number of requests
// before it that need the same upstreams.
func (l Limits) decide(request Request, room Room, ahead int, now time.Time) Decision {
	decision := Decision{
		Cause: TooLate,
		Ahead: ahead,
	}
	if room.At.IsZero() {
		return decision
	}
	decision.Expected = later(room.startAfter(ahead), now)
	decision.MeetsObjective = true
	if !request.Objective.IsZero() {
		decision.objectiveStart = request.Objective.Add(-room.Answer)
		decision.MeetsObjective = !decision.Expected.After(decision.objectiveStart)
	}
	end := l.waitEnd(request, room.Answer)
	if decision.Expected.After(end) || !now.Before(end) {
		return decision
	}
	decision.Cause = Waits
	decision.Until = end
	return decision
}
