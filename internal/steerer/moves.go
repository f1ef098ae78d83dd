package steerer

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// trackedMove is a move that this instance carries out together with all others.
// planMu guards it.
type trackedMove struct {
	order MoveOrder
	// revision is the store's revision of the order, or 0 while the store does not list it,
	// after a return from a copy that lacks it.
	revision uint64
	// listedAt is the latest position of the store at which the order was listed.
	listedAt storer.Position
	// beganAt is when the first instance began the move, as far as this instance knows, and
	// joinedAt when this instance did.
	beganAt  time.Time
	joinedAt time.Time
	// state is what this instance and its peers have decided about the move.
	state mover.State
	// stateAt is when state last changed.
	stateAt time.Time
	// progress is how far the move has come while it is running.
	progress mover.Progress
	// requestShare is the fraction of the service's requests that are to go to the new version
	// now, and objectShare the fraction of its objects that make them up.
	requestShare float64
	objectShare  float64
	// sharedAt is the number of this instance's attempts at which objectShare was last
	// calculated.
	sharedAt int64
	// counters counts this instance's attempts.
	counters *moveCounters
	// peerEvidence is what each other instance has counted since it began the move, by
	// the instance's name. Each message replaces the one before it.
	peerEvidence map[string][]mover.Evidence
	// sentAttempts and sentState are the number of attempts and the state in the last
	// progress sent to the peers.
	sentAttempts int
	sentState    mover.State
	// nextReportAt is when it is this instance's turn to report the state.
	nextReportAt time.Time
}

// applyMoves applies the moves that operators have requested. An order to another version
// starts a new move, and a final state on the platform prevails over the one here.
func (s *Steerer) applyMoves(entries []retainer.Entry[MoveOrder], position storer.Position) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	next := map[string]*trackedMove{}
	for _, entry := range entries {
		service := entry.Value.Move.Service
		m, found := s.moves[service]
		if !found || m.order.Move.To != entry.Value.Move.To {
			if found {
				s.recordVerdict(m)
			}
			m = s.startMove(entry.Value)
		}
		m.updateOrder(entry, position)
		if verdict, judged := s.inputs.verdicts.Of(m.versionID()); !found && judged && verdict.EndsOrder(entry.Revision, position) {
			s.endMove(m, verdict.State, "verdict")
		}
		if state := entry.Value.State; state != "" && state != mover.Running && state != m.state {
			s.endMove(m, state, "platform")
		}
		next[service] = m
	}
	for service, m := range s.moves {
		// The new version of a move that was rolled back must get no requests as long as
		// its upstreams are registered, so the move is kept until then.
		if _, listed := next[service]; listed {
			continue
		}
		s.recordVerdict(m)
		if m.state == mover.TakenBack && s.hasUpstreams(m) {
			next[service] = m
		}
	}
	s.moves = next
	s.publishCounters()
	s.updatePlan(s.inputs.withMoves(s.movesForPlan()))
	s.log.Info().Int("Moves", len(next)).EmbedObject(loggedPosition(position)).Msg("MovesListed")
}

// updateOrder takes over the state that the platform lists of the move, and the revision at
// which the state can be reported.
func (m *trackedMove) updateOrder(entry retainer.Entry[MoveOrder], position storer.Position) {
	m.listedAt = position
	if entry.Kept {
		m.revision = 0
		return
	}
	m.revision = entry.Revision
	m.order.State = entry.Value.State
}

func (s *Steerer) startMove(order MoveOrder) *trackedMove {
	now := time.Now()
	s.log.Info().
		Str("Service", order.Move.Service).
		Str("To", order.Move.To).
		Time("Deadline", order.Move.Deadline).
		Msg("MoveBegun")
	return &trackedMove{
		order:        order,
		beganAt:      now,
		joinedAt:     now,
		state:        mover.Running,
		stateAt:      now,
		nextReportAt: s.nextReportTurn(now),
		peerEvidence: map[string][]mover.Evidence{},
		counters: &moveCounters{
			newVersion: versionName(order.Move.Service, order.Move.To),
		},
	}
}

// hasUpstreams reports whether upstreams of a move's new version are registered.
func (s *Steerer) hasUpstreams(m *trackedMove) bool {
	return slices.ContainsFunc(s.inputs.registrations, func(registration registrar.Registration) bool {
		return registration.Service == m.order.Move.Service && registration.Version == m.order.Move.To
	})
}

// publishCounters publishes the counters of the running moves to the path of requests.
// The caller holds planMu.
func (s *Steerer) publishCounters() {
	running := make(map[string]*moveCounters, len(s.moves))
	for service, m := range s.moves {
		if m.state == mover.Running {
			running[service] = m.counters
		}
	}
	s.countersByService.Store(&running)
}

// attemptBegins counts an attempt to send a request for the usage of its team, and if a move of
// its service is running. It returns the function to call when the attempt has ended.
func (s *Steerer) attemptBegins(attempt receiver.Attempt) func(receiver.Attempt) {
	if s.usage == nil {
		return s.countForMove(attempt)
	}
	return s.countUsage(attempt, s.countForMove(attempt))
}

func (s *Steerer) countForMove(attempt receiver.Attempt) func(receiver.Attempt) {
	if counters, found := (*s.countersByService.Load())[attempt.Admission.Service]; found {
		return counters.begin(attempt)
	}
	return ignoreAttempt
}

func ignoreAttempt(receiver.Attempt) {}

// percent converts a fraction to declarer.Move's CanaryPercent.
const percent = 100

// movesForPlan returns the moves in the form that the plan needs, sorted by service.
func (s *Steerer) movesForPlan() []declarer.Move {
	moves := make([]declarer.Move, 0, len(s.moves))
	for _, m := range s.moves {
		capacity := max(m.requestShare, m.progress.CapacityShare())
		moves = append(moves, m.order.Move.WithShare(m.objectShare).WithCanaryPercent(percent*capacity))
	}
	slices.SortFunc(moves, func(a, b declarer.Move) int { return strings.Compare(a.Service, b.Service) })
	return moves
}

// endMove gives a move its final state; the move is never resumed. If it has ended
// already, the state replaces the earlier one. source says who decided, for the log. The
// caller holds planMu.
func (s *Steerer) endMove(m *trackedMove, state mover.State, source string) {
	now := time.Now()
	m.state = state
	m.stateAt = now
	m.nextReportAt = s.nextReportTurn(now)
	m.setShare(0)
	if state == mover.Done {
		m.setShare(1)
	}
	s.recordVerdict(m)
	s.publishCounters()
	againstGood, againstSlow := m.progress.SlowLogs()
	s.log.Info().
		Float64("AgainstGood", againstGood).
		Float64("AgainstSlow", againstSlow).
		Str("Service", m.order.Move.Service).
		Str("To", m.order.Move.To).
		Str("State", string(state)).
		Str("Source", source).
		Interface("Evidence", mover.Merge(m.allEvidence()...)).
		Msg("MoveSettled")
}

// allEvidence returns the evidence that each instance has counted.
func (m *trackedMove) allEvidence() [][]mover.Evidence {
	all := [][]mover.Evidence{m.counters.evidence()}
	for _, evidence := range m.peerEvidence {
		all = append(all, evidence)
	}
	return all
}

// advanceMoves takes the next steps of all moves, and reports changes to the peers and
// the platform.
func (s *Steerer) advanceMoves(ctx context.Context) {
	now := time.Now()
	s.planMu.Lock()
	changed := false
	var outgoing []progress
	var reports []trackedMove
	for _, m := range s.moves {
		changed = s.advanceMove(m, now) || changed
		if message, due := m.nextProgress(now); due {
			outgoing = append(outgoing, message)
		}
		if m.reportDue(now) {
			m.nextReportAt = now.Add(reportTurnInterval * time.Duration(s.countOthers()+1))
			reports = append(reports, *m)
		}
	}
	if changed {
		s.updatePlan(s.inputs.withMoves(s.movesForPlan()))
	}
	s.planMu.Unlock()
	for _, message := range outgoing {
		s.sendProgress(message)
	}
	s.informNewPeers(now)
	for _, m := range reports {
		s.reportMove(ctx, m)
	}
}
