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

var (
	verdictsCodec      = encoder.CBOR[verdicts]{}
	verdictRecordCodec = encoder.CBOR[verdictRecord]{}
)

// newVerdictList converts verdicts to their encoding on a link.
func newVerdictList(known []mover.Verdict) []verdict {
	var list []verdict
	for _, entry := range known {
		list = append(list, verdict{
			Service:  entry.Service,
			Version:  entry.Version,
			State:    entry.State,
			Era:      entry.At.Era,
			Revision: entry.At.Revision,
		})
	}
	return list
}

// moverVerdicts converts received verdicts to the mover's form.
func moverVerdicts(received []verdict) []mover.Verdict {
	var list []mover.Verdict
	for _, entry := range received {
		list = append(list, entry.moverVerdict())
	}
	return list
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
		s.addVerdicts(moverVerdicts(received.Verdicts), "peer "+peer.Name)
	})
}

// verdict returns how a move stands, as a verdict on its version.
func (m *trackedMove) verdict() mover.Verdict {
	return mover.Verdict{
		VersionID: m.versionID(),
		State:     m.state,
		At:        m.listedAt,
	}
}

// versionID returns the version that the move is to.
func (m *trackedMove) versionID() mover.VersionID {
	return mover.VersionID{
		Service: m.order.Move.Service,
		Version: m.order.Move.To,
	}
}

// recordVerdict records how a move has ended, or that its order was replaced or removed, and
// has the linked peers informed. The caller holds planMu and updates the plan.
func (s *Steerer) recordVerdict(m *trackedMove) {
	now := time.Now()
	verdict := m.verdict()
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

// addVerdicts puts verdicts into force that a peer has sent or the store has, if they withhold
// other versions than those known. The caller holds planMu.
func (s *Steerer) addVerdicts(added []mover.Verdict, source string) {
	next := s.inputs.verdicts
	for _, verdict := range added {
		next = next.With(verdict, time.Now())
	}
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

// informLinkedPeer sends the moves, the verdicts and the reservations to a peer that has just been
// linked, so that it does not serve without them until the next check for new peers.
func (s *Steerer) informLinkedPeer(peer registrar.Member) {
	s.planMu.Lock()
	now := time.Now()
	message, moves := s.knownOfVersions(now)
	reserved := newReservations(s.apportioner.Reservations(now), now)
	s.planMu.Unlock()
	s.informPeer(peer.Incarnation, message, moves)
	if len(reserved.Reservations) == 0 {
		return
	}
	if err := linker.Send(s.hub, peer.Incarnation, topicReservations, reserved, reservationsCodec); err != nil {
		s.log.Debug().Str("Peer", peer.Name).Err(err).Msg("ReservationsUntold")
	}
}

// knownOfVersions returns what the peers are told of versions: the verdicts, and the progress of
// all moves. The caller holds planMu.
func (s *Steerer) knownOfVersions(now time.Time) (verdicts, []progress) {
	moves := make([]progress, 0, len(s.moves))
	for _, m := range s.moves {
		moves = append(moves, m.currentProgress(now))
	}
	return verdicts{
		Verdicts: newVerdictList(s.inputs.verdicts.All()),
	}, moves
}

// informNewPeers sends the moves and the verdicts to the peers that have been linked since the
// last call, or to all linked ones if there is another verdict.
func (s *Steerer) informNewPeers(now time.Time) {
	s.planMu.Lock()
	message, moves := s.knownOfVersions(now)
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
