package steerer

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// topicVerdicts is the topic on which peers send the verdicts on versions.
const topicVerdicts = "Verdicts"

// verdicts is the message with which an instance informs a peer of all verdicts that it knows.
// An instance that has restarted learns in this way which versions were rolled back.
type verdicts struct {
	_        struct{} `cbor:",toarray"`
	Verdicts []verdict
}

// verdict is the encoding of a mover.Verdict on a link.
type verdict struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Version  string
	State    mover.State
	Era      uint64
	Revision uint64
}

var verdictsCodec = encoder.CBOR[verdicts]{}

// newVerdicts converts verdicts to their encoding on a link.
func newVerdicts(known mover.Verdicts) verdicts {
	var message verdicts
	for _, entry := range known.All() {
		message.Verdicts = append(message.Verdicts, verdict{
			Service:  entry.Service,
			Version:  entry.Version,
			State:    entry.State,
			Era:      entry.At.Era,
			Revision: entry.At.Revision,
		})
	}
	return message
}

// moverVerdict converts a received verdict to the mover's form.
func (v verdict) moverVerdict() mover.Verdict {
	return mover.Verdict{
		VersionID: mover.VersionID{
			Service: v.Service,
			Version: v.Version,
		},
		State: v.State,
		At: storer.Position{
			Era:      v.Era,
			Revision: v.Revision,
		},
	}
}

// registerVerdictsHandler applies the verdicts that peers send.
func (s *Steerer) registerVerdictsHandler() {
	linker.Receive(s.hub, topicVerdicts, verdictsCodec, func(peer registrar.Member, received verdicts) {
		s.planMu.Lock()
		defer s.planMu.Unlock()
		next := s.inputs.verdicts
		for _, entry := range received.Verdicts {
			next = next.With(entry.moverVerdict(), time.Now())
		}
		s.setVerdicts(next, "peer "+peer.Name)
	})
}

// recordVerdict records how a move has ended, or that its order was replaced or removed, and
// has the linked peers informed. The caller holds planMu and updates the plan.
func (s *Steerer) recordVerdict(m *trackedMove) {
	now := time.Now()
	verdict := mover.Verdict{
		VersionID: mover.VersionID{
			Service: m.order.Move.Service,
			Version: m.order.Move.To,
		},
		State: m.state,
		At:    m.listedAt,
	}
	next := s.inputs.verdicts.With(verdict, now)
	if slices.Equal(next.All(), s.inputs.verdicts.All()) {
		return
	}
	s.inputs = s.inputs.withVerdicts(next, now)
	s.informedPeers = nil
	s.log.Info().
		Str("Service", verdict.Service).
		Str("Version", verdict.Version).
		Str("State", string(verdict.State)).
		Strs("Withheld", s.inputs.withheldVersions()).
		EmbedObject(loggedPosition(verdict.At)).
		Msg("VersionJudged")
}

// setVerdicts puts verdicts into force that a peer has sent, if they withhold other versions
// than those known. The caller holds planMu.
func (s *Steerer) setVerdicts(next mover.Verdicts, source string) {
	before := s.inputs.withheldVersions()
	changed := s.inputs.withVerdicts(next, time.Now())
	withheld := changed.withheldVersions()
	if slices.Equal(before, withheld) {
		s.inputs = changed
		return
	}
	s.updatePlan(changed)
	s.log.Info().Strs("Withheld", withheld).Str("Source", source).Msg("VersionsWithheld")
}

// informNewPeers sends the moves and the verdicts to the peers that have been linked since the
// last call, or to all linked ones if there is another verdict.
func (s *Steerer) informNewPeers(now time.Time) {
	s.planMu.Lock()
	message := newVerdicts(s.inputs.verdicts)
	moves := make([]progress, 0, len(s.moves))
	for _, m := range s.moves {
		moves = append(moves, m.currentProgress(now))
	}
	var added []string
	linked := map[string]bool{}
	for other := range s.otherMembers() {
		if !s.hub.IsLinked(other.Incarnation) {
			continue
		}
		linked[other.Incarnation] = true
		if !s.informedPeers[other.Incarnation] {
			added = append(added, other.Incarnation)
		}
	}
	s.informedPeers = linked
	s.planMu.Unlock()
	for _, incarnation := range added {
		s.informPeer(incarnation, message, moves)
	}
}

// informPeer sends the verdicts and the progress of all moves to a peer.
func (s *Steerer) informPeer(incarnation string, message verdicts, moves []progress) {
	if len(message.Verdicts) > 0 {
		if err := linker.Send(s.hub, incarnation, topicVerdicts, message, verdictsCodec); err != nil {
			s.log.Debug().Str("Peer", incarnation).Err(err).Msg("VerdictsUntold")
		}
	}
	for _, move := range moves {
		if err := linker.Send(s.hub, incarnation, topicMove, move, progressCodec); err != nil {
			s.log.Debug().Str("Peer", incarnation).Err(err).Msg("MoveUntold")
		}
	}
}
