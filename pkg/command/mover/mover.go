// Package mover decides the progress of a move: a canary rollout that brings a
// service's traffic to a new version step by step, and rolls it back when the new
// version shows a fault. It decides by the time since the move began, the time allowed
// for it, and the counts of attempts summed over all instances, so that instances that
// know the same decide the same.
//
// It holds no state. Its callers count the attempts, exchange the counts, keep the state
// of each move and choose the upstreams.
package mover

import (
	"math"
	"slices"
	"strings"
	"time"
)

// State is the state of a move.
type State string

// The states of a move.
const (
	// Running is the state of a move that still follows its steps.
	Running State = "Running"
	// Done is the state of a move that has brought all traffic to the new version.
	Done State = "Done"
	// TakenBack is the state of a move that was rolled back: all traffic goes to the
	// old versions again.
	TakenBack State = "TakenBack"
)

// step is one step of the canary schedule.
type step struct {
	// start is the fraction of the time allowed at which the step begins.
	start float64
	// share is the fraction of the objects (the things that requests are about) whose
	// requests the new version gets, from 0 to 1.
	share float64
}

// steps is the canary schedule. The new version gets few requests for a third of the
// time, so that a fault that appears late hits few requests before it is found. Then
// its share doubles with each step. What it gets before the last step adds up to less
// than a tenth of a move's requests.
var steps = []step{
	{
		start: 0,
		share: 0.05,
	},
	{
		start: 0.35,
		share: 0.12,
	},
	{
		start: 0.42,
		share: 0.25,
	},
	{
		start: 0.48,
		share: 0.5,
	},
	{
		start: 0.54,
		share: 1,
	},
}

const (
	// drainTime is how long the old versions have to finish the requests in progress
	// once no new ones are sent to them.
	drainTime = 4 * time.Second
	// latestEnd is the fraction of the time allowed by which a move must end.
	latestEnd = 0.85
)

// Overdue reports whether so much of a move's time has passed that the move must end. A
// move that is then still doubtful has no time left to gather more evidence, and has to
// be rolled back. The parameter elapsed is the time since the move began, and allowed is
// the time from its beginning to its deadline.
func Overdue(elapsed, allowed time.Duration) bool {
	return elapsed >= time.Duration(float64(allowed)*latestEnd)
}

// Share returns the fraction of the objects that the new version serves once elapsed of
// the time allowed has passed.
func Share(elapsed, allowed time.Duration) float64 {
	progress := elapsed.Seconds() / allowed.Seconds()
	share := 0.0
	for _, step := range steps {
		if progress >= step.start {
			share = step.share
		}
	}
	return share
}

// Finished reports whether a move whose new version is neither faulty nor doubtful is
// done: all traffic goes to the new version, and the old versions have had their time to
// finish the requests in progress. That time ends at latestEnd at the latest.
func Finished(elapsed, allowed time.Duration) bool {
	moved := time.Duration(float64(allowed) * steps[len(steps)-1].start)
	end := min(moved+drainTime, time.Duration(float64(allowed)*latestEnd))
	return elapsed >= end
}

// Count holds the number of attempts to send requests of one route to one or several
// versions, and of those that failed. A request that is sent twice counts twice.
type Count struct {
	// Requests counts the attempts.
	Requests int
	// Failures counts the attempts that failed through a fault of the version or were
	// answered far too late.
	Failures int
}

// Plus returns the sum of two counts.
func (c Count) Plus(other Count) Count {
	return Count{
		Requests: c.Requests + other.Requests,
		Failures: c.Failures + other.Failures,
	}
}

// failureRate returns the fraction of attempts that failed, or 0 without attempts.
func (c Count) failureRate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

// Evidence holds the counts of one route's attempts at the new version and at all other
// versions of the service together.
type Evidence struct {
	Route string
	New   Count
	Old   Count
}

// Merge adds up evidence from several sources by route and returns the sums in the
// order of the routes' names.
func Merge(sources ...[]Evidence) []Evidence {
	byRoute := map[string]Evidence{}
	for _, source := range sources {
		for _, entry := range source {
			sum := byRoute[entry.Route]
			sum.Route = entry.Route
			sum.New = sum.New.Plus(entry.New)
			sum.Old = sum.Old.Plus(entry.Old)
			byRoute[entry.Route] = sum
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
	// minFailures is how many attempts must fail before a new version counts as faulty:
	// fewer may fail by chance.
	minFailures = 5
	// minExcessRate is the least difference between the failure rate of a faulty
	// version and that of the others.
	minExcessRate = 0.12
	// minDeviations is by how many standard deviations the failures of a faulty version
	// must exceed the expected number. It is high because the sums are tested many
	// times during a move.
	minDeviations = 4
)

// Faulty returns the first route on which the new version shows a fault, or false if
// it shows none.
func Faulty(evidence []Evidence) (route string, faulty bool) {
	for _, entry := range evidence {
		if entry.New.Failures < minFailures {
			continue
		}
		if entry.New.failureRate()-entry.Old.failureRate() >= minExcessRate && entry.significant() {
			return entry.Route, true
		}
	}
	return "", false
}

const (
	// minDoubtfulFailures is how many attempts must fail before a new version counts as
	// doubtful because of its failures.
	minDoubtfulFailures = 2
	// minRequests is the number of attempts below which a new version counts as doubtful.
	// The rule holds once the other versions have had so many that the first step should
	// have brought the new one 2*minRequests.
	minRequests = 10
)

// Doubtful reports whether the new version fails more often than the others on some
// route, even if too few attempts failed to call it faulty, or gets hardly any requests.
// A doubtful move keeps its share: it takes no further step, is not done, and is rolled
// back once it is Overdue.
func Doubtful(evidence []Evidence) bool {
	return underexposed(evidence) || slices.ContainsFunc(evidence, func(entry Evidence) bool {
		return entry.New.Failures >= minDoubtfulFailures &&
			entry.New.failureRate()-entry.Old.failureRate() >= minExcessRate &&
			entry.significant()
	})
}

// underexposed reports whether the new version has received far fewer requests than
// the first step should have brought to it.
func underexposed(evidence []Evidence) bool {
	var total Evidence
	for _, entry := range evidence {
		total.New = total.New.Plus(entry.New)
		total.Old = total.Old.Plus(entry.Old)
	}
	return total.New.Requests < minRequests && float64(total.Old.Requests)*steps[0].share >= 2*minRequests
}

// significant reports whether more attempts fail at the new version than would by chance
// if its failure rate were that of the others.
func (e Evidence) significant() bool {
	expected := float64(e.New.Requests) * e.Old.failureRate()
	deviation := math.Sqrt(expected * (1 - e.Old.failureRate()))
	return float64(e.New.Failures) > expected+minDeviations*deviation
}
