package steerer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// topicMove is the name under which peers tell of a move's progress.
	topicMove = "Move"
	// reportTurn is how long each instance leaves the reporting of a move to the one
	// before it.
	reportTurn = 700 * time.Millisecond
	// reportLimit bounds the report of a move to the platform.
	reportLimit = time.Second
)

// moving is a move that this instance carries out, together with all others.
// Guarded by planning.
type moving struct {
	order Order
	// revision is the store's revision of the order.
	revision uint64
	// began is when the first instance began it, as far as is known here.
	began time.Time
	// state is what this instance and its peers have decided.
	state   mover.State
	stateAt time.Time
	share   float64
	tally   *tally
	// theirs holds what each other instance has counted.
	theirs map[string][]mover.Evidence
	// toldRequests is the number of requests that the peers were told of last, and
	// told is the state.
	toldRequests int
	told         mover.State
	// reportAt is when this instance reports the state next.
	reportAt time.Time
}

// progress is what instances tell each other of a move.
type progress struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	To            string
	ElapsedMillis int64
	State         mover.State
	Evidence      []mover.Evidence
}

var progresses = encoder.CBOR[progress]{}

// handleMoves takes in what peers tell of moves.
func (s *Steerer) handleMoves() {
	hear := handler.CommandFunc[progress, reporter.Nothing](
		func(ctx context.Context, told progress) (reporter.Nothing, error) {
			s.hearMove(linker.PeerOf(ctx).Name, told)
			return reporter.Nothing{}, nil
		},
	)
	linker.HandleCommand(s.hub, topicMove, hear, progresses, nothings)
}

func (s *Steerer) hearMove(peer string, told progress) {
	s.planning.Lock()
	defer s.planning.Unlock()
	m, found := s.moving[told.Service]
	if !found || m.order.Move.To != told.To {
		return
	}
	m.theirs[peer] = told.Evidence
	if began := time.Now().Add(-time.Duration(told.ElapsedMillis) * time.Millisecond); began.Before(m.began) {
		m.began = began
	}
	if told.State != mover.Running && m.state == mover.Running {
		s.settleMove(m, told.State, "peer "+peer)
		s.replan(s.inputs.withMoves(s.declaredMoves()))
	}
}

// movesListed takes in the moves that operators ask for.
func (s *Steerer) movesListed(entries []entry[Order], revision uint64) {
	s.planning.Lock()
	defer s.planning.Unlock()
	next := map[string]*moving{}
	for _, entry := range entries {
		service := entry.value.Move.Service
		m, found := s.moving[service]
		if !found || m.order.Move.To != entry.value.Move.To {
			m = s.beginMove(entry.value)
		}
		m.revision = entry.revision
		m.order.State = entry.value.State
		if state := entry.value.State; state != "" && state != mover.Running && state != m.state {
			s.settleMove(m, state, "platform")
		}
		next[service] = m
	}
	for service, m := range s.moving {
		// A version that was taken back gets nothing as long as it is there.
		if _, listed := next[service]; !listed && m.state == mover.TakenBack && s.isThere(m) {
			next[service] = m
		}
	}
	s.moving = next
	s.publishTallies()
	s.replan(s.inputs.withMoves(s.declaredMoves()))
	s.log.Info().Int("Moves", len(next)).Uint64("Revision", revision).Msg("MovesListed")
}

func (s *Steerer) beginMove(order Order) *moving {
	now := time.Now()
	s.log.Info().
		Str("Service", order.Move.Service).
		Str("To", order.Move.To).
		Time("Deadline", order.Move.Deadline).
		Msg("MoveBegun")
	return &moving{
		order:    order,
		began:    now,
		state:    mover.Running,
		stateAt:  now,
		reportAt: s.turnAt(now),
		theirs:   map[string][]mover.Evidence{},
		tally: &tally{
			to: versionName(order.Move.Service, order.Move.To),
		},
	}
}

// isThere says whether upstreams of a move's new version are registered.
func (s *Steerer) isThere(m *moving) bool {
	return slices.ContainsFunc(s.inputs.registrations, func(one registrar.Registration) bool {
		return one.Service == m.order.Move.Service && one.Version == m.order.Move.To
	})
}

// publishTallies lets requests be counted for the moves. The caller holds planning.
func (s *Steerer) publishTallies() {
	tallies := make(map[string]*tally, len(s.moving))
	for service, m := range s.moving {
		if m.state == mover.Running {
			tallies[service] = m.tally
		}
	}
	s.tallies.Store(&tallies)
}

// observed counts a sending if its service moves.
func (s *Steerer) observed(sending receiver.Sending) {
	if counting, found := (*s.tallies.Load())[sending.Admission.Service]; found {
		counting.count(sending)
	}
}

// declaredMoves returns the moves as the plan needs them.
func (s *Steerer) declaredMoves() []declarer.Move {
	moves := make([]declarer.Move, 0, len(s.moving))
	for _, m := range s.moving {
		moves = append(moves, m.order.Move.WithShare(m.share))
	}
	slices.SortFunc(moves, func(a, b declarer.Move) int { return strings.Compare(a.Service, b.Service) })
	return moves
}

// settleMove ends a move. It does not begin again. The caller holds planning.
func (s *Steerer) settleMove(m *moving, state mover.State, source string) {
	now := time.Now()
	m.state = state
	m.stateAt = now
	m.reportAt = s.turnAt(now)
	m.share = 0
	if state == mover.Done {
		m.share = 1
	}
	s.publishTallies()
	s.log.Info().
		Str("Service", m.order.Move.Service).
		Str("To", m.order.Move.To).
		Str("State", string(state)).
		Str("Source", source).
		Interface("Evidence", mover.Merge(m.allEvidence()...)).
		Msg("MoveSettled")
}

// allEvidence returns what all instances have counted.
func (m *moving) allEvidence() [][]mover.Evidence {
	all := [][]mover.Evidence{m.tally.evidence()}
	for _, theirs := range m.theirs {
		all = append(all, theirs)
	}
	return all
}

// advanceMoves takes the next steps of all moves, and tells the peers and the
// platform.
func (s *Steerer) advanceMoves(ctx context.Context) {
	now := time.Now()
	s.planning.Lock()
	changed := false
	var tell []progress
	var report []moving
	for _, m := range s.moving {
		changed = s.advance(m, now) || changed
		if told, due := m.progress(now); due {
			tell = append(tell, told)
		}
		if m.owesReport(now) {
			m.reportAt = now.Add(reportTurn * time.Duration(len(s.others())+1))
			report = append(report, *m)
		}
	}
	if changed {
		s.replan(s.inputs.withMoves(s.declaredMoves()))
	}
	s.planning.Unlock()
	for _, told := range tell {
		s.tellMove(told)
	}
	for _, m := range report {
		s.reportMove(ctx, m)
	}
}

// advance takes a move's next step, and says whether the plan changes by it. The
// caller holds planning.
func (s *Steerer) advance(m *moving, now time.Time) bool {
	if m.state != mover.Running {
		return false
	}
	elapsed := now.Sub(m.began)
	total := m.order.Move.Deadline.Sub(m.began)
	evidence := mover.Merge(m.allEvidence()...)
	if route, faulty := mover.Faulty(evidence); faulty {
		s.settleMove(m, mover.TakenBack, "evidence on "+route)
		return true
	}
	if mover.Doubtful(evidence) {
		if mover.Overdue(elapsed, total) {
			s.settleMove(m, mover.TakenBack, "doubt until the end")
			return true
		}
		return false
	}
	if mover.Finished(elapsed, total) {
		s.settleMove(m, mover.Done, "time")
		return true
	}
	share := mover.Share(elapsed, total)
	if share == m.share {
		return false
	}
	m.share = share
	s.log.Info().
		Str("Service", m.order.Move.Service).
		Str("To", m.order.Move.To).
		Float64("Share", share).
		Int64("ElapsedMillis", elapsed.Milliseconds()).
		Interface("Evidence", evidence).
		Msg("MoveStep")
	return true
}

// progress returns what to tell the peers, and false if nothing has changed.
func (m *moving) progress(now time.Time) (progress, bool) {
	evidence := m.tally.evidence()
	requests := 0
	for _, one := range evidence {
		requests += one.New.Requests + one.Old.Requests
	}
	if requests == m.toldRequests && m.told == m.state {
		return progress{}, false
	}
	m.toldRequests = requests
	m.told = m.state
	return progress{
		Service:       m.order.Move.Service,
		To:            m.order.Move.To,
		ElapsedMillis: now.Sub(m.began).Milliseconds(),
		State:         m.state,
		Evidence:      evidence,
	}, true
}

func (s *Steerer) tellMove(told progress) {
	for _, other := range s.others() {
		if err := linker.Tell(s.hub, other.Incarnation, topicMove, told, progresses); err != nil {
			s.log.Debug().Str("Peer", other.Name).Err(err).Msg("MoveUntold")
		}
	}
}

// owesReport says whether the platform does not know the state yet and it is this
// instance's turn to tell it.
func (m *moving) owesReport(now time.Time) bool {
	return m.order.State != m.state && !now.Before(m.reportAt)
}

// turnAt returns the instant from which it is this instance's turn to report, after
// those before it.
func (s *Steerer) turnAt(now time.Time) time.Time {
	return now.Add(time.Duration(s.linkedBefore(anyBeat)) * reportTurn)
}

// reportMove tells the platform a move's state. If another instance was first, the
// platform's word goes.
func (s *Steerer) reportMove(ctx context.Context, m moving) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	err := s.platform.Report(ctx, m.order.Move, m.state, m.revision)
	line := s.log.Info()
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		line = s.log.Warn()
	}
	line.Str("Service", m.order.Move.Service).Str("State", string(m.state)).Err(err).Msg("MoveReported")
}
