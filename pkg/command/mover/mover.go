// Package mover carries a service's traffic from its versions to a new one, step by
// step, and takes it back when the new one shows a fault. All instances follow the
// same steps by the time since the move began, and judge by the same sums.
package mover

import (
	"math"
	"slices"
	"strings"
	"time"
)

// State is how far a move has come.
type State string

// The states of a move.
const (
	// Running moves follow their steps.
	Running State = "Running"
	// Done moves have brought all traffic to the new version.
	Done State = "Done"
	// TakenBack moves have brought it back.
	TakenBack State = "TakenBack"
)

// step is a part of the traffic from a part of the move's time on.
type step struct {
	from  float64
	share float64
}

// steps bring few requests to the new version for a third of the time, so that one
// that fails late is found by few, and then a part that doubles: what is added up
// before all of it moves stays under a tenth of a move's requests.
var steps = []step{
	{
		from:  0,
		share: 0.05,
	},
	{
		from:  0.35,
		share: 0.12,
	},
	{
		from:  0.42,
		share: 0.25,
	},
	{
		from:  0.48,
		share: 0.5,
	},
	{
		from:  0.54,
		share: 1,
	},
}

const (
	// finishWait is how long the old versions finish what they have begun, once
	// nothing new is sent to them.
	finishWait = 4 * time.Second
	// latest is the part of the move's time by which it is done at the latest.
	latest = 0.85
)

// Overdue says whether a move that is doubtful still has no time left to become
// sure, and is to be taken back.
func Overdue(elapsed, total time.Duration) bool {
	return elapsed >= time.Duration(float64(total)*latest)
}

// Share returns the part of a service's objects that the new version serves, so long
// after the beginning of a move that is to take that long.
func Share(elapsed, total time.Duration) float64 {
	part := elapsed.Seconds() / total.Seconds()
	share := 0.0
	for _, step := range steps {
		if part >= step.from {
			share = step.share
		}
	}
	return share
}

// Finished says whether a move is done: all traffic has moved, and what the old
// versions had begun has ended.
func Finished(elapsed, total time.Duration) bool {
	moved := time.Duration(float64(total) * steps[len(steps)-1].from)
	end := min(moved+finishWait, time.Duration(float64(total)*latest))
	return elapsed >= end
}

// Count is what came of requests on one route at one version.
type Count struct {
	Requests int
	// Failures are requests that failed by the version's fault, or were answered far
	// too late.
	Failures int
}

// Plus returns the sum of two counts.
func (c Count) Plus(other Count) Count {
	return Count{
		Requests: c.Requests + other.Requests,
		Failures: c.Failures + other.Failures,
	}
}

// rate returns the part of requests that failed.
func (c Count) rate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

// Evidence is what came of one route's requests at the new version and at the
// others.
type Evidence struct {
	Route string
	New   Count
	Old   Count
}

// Merge returns the sums of evidence by route, in the order of routes.
func Merge(all ...[]Evidence) []Evidence {
	byRoute := map[string]Evidence{}
	for _, some := range all {
		for _, one := range some {
			sum := byRoute[one.Route]
			sum.Route = one.Route
			sum.New = sum.New.Plus(one.New)
			sum.Old = sum.Old.Plus(one.Old)
			byRoute[one.Route] = sum
		}
	}
	merged := make([]Evidence, 0, len(byRoute))
	for _, sum := range byRoute {
		merged = append(merged, sum)
	}
	slices.SortFunc(merged, func(a, b Evidence) int { return strings.Compare(a.Route, b.Route) })
	return merged
}

const (
	// leastFailures is how many requests fail before a version is judged: fewer come
	// by chance.
	leastFailures = 5
	// faultyRate is the part of requests that a faulty version fails beyond what the
	// others fail.
	faultyRate = 0.12
	// deviations is by how many standard deviations a faulty version fails more often
	// than the others: the sums are looked at many times.
	deviations = 4
)

// Faulty says on which route the new version shows a fault, and returns false if it
// shows none.
func Faulty(evidence []Evidence) (route string, faulty bool) {
	for _, one := range evidence {
		if one.New.Failures < leastFailures {
			continue
		}
		if one.New.rate()-one.Old.rate() >= faultyRate && one.beyondChance() {
			return one.Route, true
		}
	}
	return "", false
}

const (
	// leastDoubtful is from how many failures on a version is doubtful.
	leastDoubtful = 2
	// leastSeen is how many requests at a new version are to be seen, once the others
	// have served enough that the first step should have brought twice as many.
	leastSeen = 10
)

// Doubtful says whether the new version fails more often than the others on some
// route, though too few requests have shown it yet, or is hardly reached at all. A
// doubtful move takes no further step.
func Doubtful(evidence []Evidence) bool {
	return unseen(evidence) || slices.ContainsFunc(evidence, func(one Evidence) bool {
		return one.New.Failures >= leastDoubtful &&
			one.New.rate()-one.Old.rate() >= faultyRate &&
			one.beyondChance()
	})
}

// unseen says whether far fewer requests are seen at the new version than the first
// step brings there.
func unseen(evidence []Evidence) bool {
	var all Evidence
	for _, one := range evidence {
		all.New = all.New.Plus(one.New)
		all.Old = all.Old.Plus(one.Old)
	}
	return all.New.Requests < leastSeen && float64(all.Old.Requests)*steps[0].share >= 2*leastSeen
}

// beyondChance says whether the new version fails more requests than it would by
// chance if it were like the others.
func (e Evidence) beyondChance() bool {
	expected := float64(e.New.Requests) * e.Old.rate()
	deviation := math.Sqrt(expected * (1 - e.Old.rate()))
	return float64(e.New.Failures) > expected+deviations*deviation
}
