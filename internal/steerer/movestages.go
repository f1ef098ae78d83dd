package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
)

// advanceMove takes the next step of a move if it is due, and reports whether the plan
// has to change. The caller holds planMu.
func (s *Steerer) advanceMove(m *trackedMove, now time.Time) bool {
	if m.state != mover.Running {
		return false
	}
	situation := mover.Situation{
		Elapsed:  now.Sub(m.beganAt),
		Allowed:  m.order.Move.Deadline.Sub(m.beganAt),
		Joined:   m.joinedAt.Sub(m.beganAt),
		Warm:     s.isWarm(m, now),
		Evidence: mover.Merge(m.allEvidence()...),

		SlowExcess: s.settings.Moves.SlowExcess,
	}
	m.progress = m.progress.WithEvidence(situation)
	if state, reason := mover.Decide(m.progress, situation); state != mover.Running {
		s.endMove(m, state, reason)
		return true
	}
	next, advanced := m.progress.Next(situation)
	if !advanced && m.requestShare != 0 {
		return m.refreshShare()
	}
	m.enter(next, now)
	againstGood, againstSlow := next.SlowLogs()
	s.log.Info().
		Float64("AgainstGood", againstGood).
		Float64("AgainstSlow", againstSlow).
		Str("Service", m.order.Move.Service).
		Str("To", m.order.Move.To).
		Str("Stage", next.String()).
		Float64("Share", m.requestShare).
		Float64("ObjectShare", m.objectShare).
		Bool("Warm", situation.Warm).
		Int64("ElapsedMillis", situation.Elapsed.Milliseconds()).
		Interface("Evidence", situation.Evidence).
		Msg("MoveStep")
	return true
}

// warmUpTime is how long the durations of attempts are not compared after objects have moved
// that the new version's upstreams do not know.
const warmUpTime = 2 * time.Second

// enter begins a stage of the move.
func (m *trackedMove) enter(next mover.Progress, now time.Time) {
	m.progress = next
	m.setShare(next.Share())
	switch {
	case next.Unsettled():
		m.counters.timeFrom(now.Add(warmUpTime))
	case next.Timed():
		m.counters.timeFrom(now)
	}
}

// setShare sets the fraction of the requests that go to the new version, and the objects
// that make it up.
func (m *trackedMove) setShare(requestShare float64) {
	m.requestShare = requestShare
	m.sharedAt = m.counters.positions.total.Load()
	m.objectShare = m.counters.positions.objectShare(requestShare)
}

// refreshShare calculates objectShare again once the number of attempts that it is based on
// has doubled, and reports whether it has changed.
func (m *trackedMove) refreshShare() bool {
	if m.counters.positions.total.Load() < 2*m.sharedAt+minSharedAttempts {
		return false
	}
	before := m.objectShare
	m.setShare(m.requestShare)
	return m.objectShare != before
}

// minSharedAttempts is how many attempts must follow before objectShare is calculated again.
const minSharedAttempts = 4

// isWarm reports whether more than half of the registered upstreams of a move's new version
// serve at their full speed. It looks only while the move has still to know.
func (s *Steerer) isWarm(m *trackedMove, now time.Time) bool {
	if m.progress.Introduced() {
		return true
	}
	all, warm := 0, 0
	for _, upstream := range s.plans.Load().Upstreams() {
		if upstream.Version() != m.counters.newVersion {
			continue
		}
		all++
		if !upstream.IsCold(now) {
			warm++
		}
	}
	return 2*warm > all
}
