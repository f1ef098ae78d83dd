// Package mover decides the progress of a move: a canary rollout that brings a
// service's traffic to a new version stage by stage, and rolls it back when the new
// version shows a fault. It decides by the time since the move began, the time allowed
// for it, and the counts of attempts summed over all instances, so that instances that
// know the same decide the same.
//
// It keeps no state. Its callers count the attempts, exchange the counts, keep the
// Progress of each move and choose the upstreams.
package mover

import (
	"time"
)

// State is the state of a move.
type State string

// The states of a move.
const (
	// Running is the state of a move that still follows its stages.
	Running State = "Running"
	// Done is the state of a move that has brought all traffic to the new version.
	Done State = "Done"
	// TakenBack is the state of a move that was rolled back: all traffic goes to the
	// old versions again.
	TakenBack State = "TakenBack"
)

const (
	// drainTime is how long the old versions have to finish the requests in progress
	// once no new ones are sent to them.
	drainTime = 4 * time.Second
	// reportTime is how long before its deadline a good move ends, so that there is time to
	// report its end.
	reportTime = time.Second
	// latestDoubt is the fraction of the time allowed by which a doubtful move ends.
	latestDoubt = 0.85
	// latestTrial is the fraction of the time allowed by which the new version must have
	// passed its trial: after it no time is left to bring it all the traffic.
	latestTrial = 0.75
)

// Situation is what a move is decided by.
type Situation struct {
	// Elapsed is the time since the move began, and Allowed the time from its beginning to
	// its deadline.
	Elapsed time.Duration
	Allowed time.Duration
	// Joined is the time from the beginning of the move to when this instance took part in it:
	// later than the others after a restart.
	Joined time.Duration
	// Warm reports that most upstreams of the new version serve at their full speed. The
	// speed of cold ones says nothing about the version.
	Warm bool
	// Evidence holds the counts of all instances, as Merge returns them.
	Evidence []Evidence
	// SlowExcess is the least excess of slow answers at which a version counts as slow by the
	// sequential test, above 0 and at most 0.5: the fraction of its answers that would not be slow
	// at the other versions but are. If it is 0, the test is off.
	SlowExcess float64
}

// at reports whether a fraction of the time allowed has passed.
func (s Situation) at(fraction float64) bool {
	return s.Elapsed >= s.fraction(fraction)
}

// joinedLate reports whether this instance has missed the introduction. It then follows the
// others: that it has not seen the new version's trial says nothing about the version.
func (s Situation) joinedLate() bool {
	return s.Joined > s.fraction(earliestWarm)
}

// trialDue returns the time by which the new version must have passed its trial.
func (s Situation) trialDue() time.Duration {
	if s.joinedLate() {
		return s.Allowed - reportTime
	}
	return s.fraction(latestTrial)
}

// fraction returns a fraction of the time allowed.
func (s Situation) fraction(fraction float64) time.Duration {
	return time.Duration(float64(s.Allowed) * fraction)
}

// Decide returns the state of a running move, and why it ends. A move ends early if its new
// version is Faulty. One that is Doubtful is kept waiting and is rolled back if that lasts
// too long for the rest of the move.
func Decide(progress Progress, situation Situation) (state State, reason string) {
	if route, faulty := progress.faulty(situation.Evidence); faulty {
		return TakenBack, "evidence on " + route
	}
	if route, faulty := routeBeyond(since(progress.before, situation.Evidence), failingLately); faulty {
		return TakenBack, "late evidence on " + route
	}
	if situation.SlowExcess > 0 && progress.sequence.showsSlow() {
		return TakenBack, "the sequential test shows slow answers"
	}
	if progress.onTrial() && situation.Elapsed >= situation.trialDue() {
		return TakenBack, "the trial has not ended in time"
	}
	if progress.onTrial() && situation.joinedLate() {
		return Running, ""
	}
	if progress.doubtful(situation) {
		if situation.at(latestDoubt) {
			return TakenBack, "doubt until the end"
		}
		return Running, ""
	}
	if progress.finished(situation) {
		return Done, "time"
	}
	return Running, ""
}
