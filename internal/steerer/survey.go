package steerer

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/enumerator"
	"github.com/hemlockport/hemlockport/pkg/command/surveyor"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// topicSurvey is the topic on which members tell their leader, and leaders tell other
	// leaders, what they have found.
	topicSurvey = "Survey"
	// topicFindings is the topic on which a leader tells its members what all have found.
	topicFindings = "Findings"
)

// survey is the encoding of a surveyor.Survey on a link.
type survey struct {
	_     struct{} `cbor:",toarray"`
	Rooms []roomDigest
	Loads []loadSum
}

// roomDigest is the encoding of an admitter.RoomDigest on a link.
type roomDigest struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Region  string
	Samples uint64
	Bits    [enumerator.Words]uint64
}

// loadSum is the encoding of an admitter.LoadSum on a link.
type loadSum struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	// Thousandths is the sum in thousandths of a request per slot.
	Thousandths uint64
	Count       uint64
	// SlowdownThousandths is the sum of the slowdowns in thousandths of what is usual.
	SlowdownThousandths uint64
	SlowdownCount       uint64
}

// findings is the encoding of surveyor.Findings on a link.
type findings struct {
	_     struct{} `cbor:",toarray"`
	Rooms []roomNotice
	Loads []loadNotice
}

// roomNotice is the encoding of an admitter.RoomNotice on a link.
type roomNotice struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Region  string
	Objects uint64
}

// loadNotice is the encoding of an admitter.LoadNotice on a link.
type loadNotice struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	// Thousandths is the load in thousandths of a request per slot.
	Thousandths uint64
	// SlowdownThousandths is the slowdown in thousandths of what is usual, or 0.
	SlowdownThousandths uint64
}

// thousandthsPerUnit converts requests per slot and slowdowns to thousandths.
const thousandthsPerUnit = 1000

var (
	surveyCodec   = encoder.CBOR[survey]{}
	findingsCodec = encoder.CBOR[findings]{}
)

// newSurvey converts a survey to its encoding on a link.
func newSurvey(source surveyor.Survey) survey {
	message := survey{}
	for _, room := range source.Rooms {
		message.Rooms = append(message.Rooms, roomDigest{
			Service: room.ID.Service,
			Region:  room.ID.Region,
			Samples: room.Digest.Samples,
			Bits:    room.Digest.Bits,
		})
	}
	for _, load := range source.Loads {
		message.Loads = append(message.Loads, loadSum{
			Upstream:    load.Upstream,
			Thousandths: uint64(load.Sum * thousandthsPerUnit),
			Count:       load.Count,

			SlowdownThousandths: uint64(load.Slowdowns * thousandthsPerUnit),
			SlowdownCount:       load.SlowdownCount,
		})
	}
	return message
}

// surveyorSurvey converts a received survey to the surveyor's form.
func (s survey) surveyorSurvey() surveyor.Survey {
	decoded := surveyor.Survey{}
	for _, room := range s.Rooms {
		decoded.Rooms = append(decoded.Rooms, admitter.RoomDigest{
			ID: admitter.RoomID{
				Service: room.Service,
				Region:  room.Region,
			},
			Digest: enumerator.Digest{
				Samples: room.Samples,
				Bits:    room.Bits,
			},
		})
	}
	for _, load := range s.Loads {
		decoded.Loads = append(decoded.Loads, admitter.LoadSum{
			Upstream: load.Upstream,
			Sum:      float64(load.Thousandths) / thousandthsPerUnit,
			Count:    load.Count,

			Slowdowns:     float64(load.SlowdownThousandths) / thousandthsPerUnit,
			SlowdownCount: load.SlowdownCount,
		})
	}
	return decoded
}

// newFindings converts findings to their encoding on a link.
func newFindings(source surveyor.Findings) findings {
	message := findings{}
	for _, room := range source.Rooms {
		message.Rooms = append(message.Rooms, roomNotice{
			Service: room.ID.Service,
			Region:  room.ID.Region,
			Objects: uint64(room.Objects),
		})
	}
	for _, load := range source.Loads {
		message.Loads = append(message.Loads, loadNotice{
			Upstream:    load.Upstream,
			Thousandths: uint64(load.Load * thousandthsPerUnit),

			SlowdownThousandths: uint64(load.Slowdown * thousandthsPerUnit),
		})
	}
	return message
}

// surveyorFindings converts received findings to the surveyor's form.
func (f findings) surveyorFindings() surveyor.Findings {
	decoded := surveyor.Findings{}
	for _, room := range f.Rooms {
		decoded.Rooms = append(decoded.Rooms, admitter.RoomNotice{
			ID: admitter.RoomID{
				Service: room.Service,
				Region:  room.Region,
			},
			Objects: float64(room.Objects),
		})
	}
	for _, load := range f.Loads {
		decoded.Loads = append(decoded.Loads, admitter.LoadNotice{
			Upstream: load.Upstream,
			Load:     float64(load.Thousandths) / thousandthsPerUnit,
			Slowdown: float64(load.SlowdownThousandths) / thousandthsPerUnit,
		})
	}
	return decoded
}

// registerSurveyHandlers receives the surveys and the findings of peers.
func (s *Steerer) registerSurveyHandlers() {
	receiveSurvey := handler.CommandFunc[survey, reporter.Empty](
		func(ctx context.Context, received survey) (reporter.Empty, error) {
			s.receiveSurvey(linker.PeerFromContext(ctx), received.surveyorSurvey(), time.Now())
			return reporter.Empty{}, nil
		},
	)
	linker.HandleCommand(s.hub, topicSurvey, receiveSurvey, surveyCodec, emptyCodec)
	receiveFindings := handler.CommandFunc[findings, reporter.Empty](
		func(_ context.Context, received findings) (reporter.Empty, error) {
			s.applyFindings(received.surveyorFindings(), time.Now())
			return reporter.Empty{}, nil
		},
	)
	linker.HandleCommand(s.hub, topicFindings, receiveFindings, findingsCodec, emptyCodec)
}

// receiveSurvey receives the survey of a peer.
func (s *Steerer) receiveSurvey(peer registrar.Member, received surveyor.Survey, now time.Time) {
	s.surveyMu.Lock()
	defer s.surveyMu.Unlock()
	if peer.Place == s.self.Place {
		s.surveyor.ReceiveMember(peer.Incarnation, received, now)
		return
	}
	s.surveyor.ReceiveDomain(peer.Incarnation, received, now)
}

// applyFindings applies what all instances have found together.
func (s *Steerer) applyFindings(found surveyor.Findings, now time.Time) {
	plan := s.plans.Load()
	plan.ReceiveRoomNotices(found.Rooms, now)
	plan.ReceiveLoadNotices(found.Loads, now)
}

// shareSurvey tells the leader of this instance's failure domain what this instance has found,
// or, as the leader, the other leaders and the members what the domain and all have found. It
// must be called every surveyor.Interval.
func (s *Steerer) shareSurvey(now time.Time) {
	if s.settings.Affinity.ObjectsPerUpstream == 0 {
		return
	}
	plan := s.plans.Load()
	own := surveyor.Survey{
		Rooms: plan.RoomDigests(),
		Loads: plan.TakeLoadSums(),
	}
	leaders := s.surveyLeaders()
	leader := leaders[s.self.Place]
	if leader.Incarnation != s.self.Incarnation {
		s.sendSurvey(leader, newSurvey(own))
		return
	}
	s.surveyMu.Lock()
	domain, found := s.surveyor.Sum(own, now)
	s.surveyMu.Unlock()
	s.applyFindings(found, now)
	s.tellFindings(leaders, newSurvey(domain), newFindings(found))
}

// tellFindings sends the survey of this instance's failure domain to the other leaders, and
// what all have found to the members.
func (s *Steerer) tellFindings(leaders map[string]registrar.Member, domain survey, found findings) {
	for place, leader := range leaders {
		if place != s.self.Place {
			s.sendSurvey(leader, domain)
		}
	}
	for other := range s.otherMembers() {
		if other.Place != s.self.Place || !s.hub.IsLinked(other.Incarnation) {
			continue
		}
		if err := linker.Send(s.hub, other.Incarnation, topicFindings, found, findingsCodec); err != nil {
			s.log.Debug().Str("Peer", other.Name).Err(err).Msg("FindingsUntold")
		}
	}
}

// sendSurvey sends a survey to a leader. A survey that is lost is made up for by the next one,
// but for its loads.
func (s *Steerer) sendSurvey(leader registrar.Member, message survey) {
	if err := linker.Send(s.hub, leader.Incarnation, topicSurvey, message, surveyCodec); err != nil {
		s.log.Debug().Str("Peer", leader.Name).Err(err).Msg("SurveyUntold")
	}
}

// surveyLeaders returns the leader of each failure domain: the first by name of those linked
// to this instance, and of this instance itself, that are not leaving.
func (s *Steerer) surveyLeaders() map[string]registrar.Member {
	leaders := map[string]registrar.Member{
		s.self.Place: s.self,
	}
	for _, peer := range s.hub.Peers() {
		if peer.Heartbeat.Leaving {
			continue
		}
		leader, found := leaders[peer.Member.Place]
		if !found || peer.Member.Name < leader.Name {
			leaders[peer.Member.Place] = peer.Member
		}
	}
	return leaders
}
