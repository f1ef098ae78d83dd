package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicMove is the topic on which peers send the progress of a move.
const topicMove = "Move"

// progress is the message with which an instance informs its peers about a move. Its
// evidence is all that the sender has counted since it began the move.
type progress struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	To            string
	ElapsedMillis int64
	State         mover.State
	Evidence      []mover.Evidence
}

var progressCodec = encoder.CBOR[progress]{}

// registerMoveHandler applies the progress of moves that peers send.
func (s *Steerer) registerMoveHandler() {
	linker.Receive(s.hub, topicMove, progressCodec, func(peer registrar.Member, received progress) {
		s.applyProgress(peer.Name, received)
	})
}

func (s *Steerer) applyProgress(peer string, received progress) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	m, found := s.moves[received.Service]
	if !found || m.order.Move.To != received.To {
		return
	}
	m.peerEvidence[peer] = received.Evidence
	if began := time.Now().Add(-time.Duration(received.ElapsedMillis) * time.Millisecond); began.Before(m.beganAt) {
		m.beganAt = began
	}
	if received.State != mover.Running && m.state == mover.Running {
		s.endMove(m, received.State, "peer "+peer)
		s.updatePlan(s.inputs.withMoves(s.movesForPlan()))
	}
}

// nextProgress returns the progress to send to the peers, and false if nothing has
// changed since the last one.
func (m *trackedMove) nextProgress(now time.Time) (progress, bool) {
	evidence := m.counters.evidence()
	attempts := 0
	for _, route := range evidence {
		both := route.New.Plus(route.Old)
		attempts += both.Sent + both.Requests + both.Timed
	}
	if attempts == m.sentAttempts && m.sentState == m.state {
		return progress{}, false
	}
	m.sentAttempts = attempts
	m.sentState = m.state
	return m.currentProgress(now), true
}

// currentProgress returns the progress of the move.
func (m *trackedMove) currentProgress(now time.Time) progress {
	return progress{
		Service:       m.order.Move.Service,
		To:            m.order.Move.To,
		ElapsedMillis: now.Sub(m.beganAt).Milliseconds(),
		State:         m.state,
		Evidence:      m.counters.evidence(),
	}
}

func (s *Steerer) sendProgress(message progress) {
	for other := range s.otherMembers() {
		if err := linker.Send(s.hub, other.Incarnation, topicMove, message, progressCodec); err != nil {
			s.log.Debug().Str("Peer", other.Name).Err(err).Msg("MoveUntold")
		}
	}
}
