package steerer

import (
	"context"
	"iter"
	"math"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicDemand is the topic on which peers report their demand.
const topicDemand = "Demand"

// report is the encoding of an apportioner.Report on a link.
type report struct {
	_       struct{} `cbor:",toarray"`
	Start   string
	Number  uint64
	Demands []demand
}

// demand is the encoding of an apportioner.Demand on a link.
type demand struct {
	_        struct{} `cbor:",toarray"`
	Resource string
	// Tenths is the demand in tenths of a request per second.
	Tenths uint32
}

// tenthsPerUnit converts requests per second to demand.Tenths.
const tenthsPerUnit = 10

var reportCodec = encoder.CBOR[report]{}

// newReport converts a report to its encoding on a link.
func newReport(source apportioner.Report) report {
	message := report{
		Start:  source.Incarnation,
		Number: source.Number,
	}
	for _, d := range source.Demands {
		message.Demands = append(message.Demands, demand{
			Resource: d.Resource,
			// The demand is rounded up, so that peers never count less than this instance
			// claims. It is at most apportioner.MaxDemand, which fits.
			Tenths: uint32(math.Ceil(d.PerSecond * tenthsPerUnit)),
		})
	}
	return message
}

// apportionerReport converts a received report to the apportioner's form.
func (r report) apportionerReport() apportioner.Report {
	decoded := apportioner.Report{
		Incarnation: r.Start,
		Number:      r.Number,
	}
	for _, d := range r.Demands {
		decoded.Demands = append(decoded.Demands, apportioner.Demand{
			Resource:  d.Resource,
			PerSecond: float64(d.Tenths) / tenthsPerUnit,
		})
	}
	return decoded
}

// registerDemandHandler passes the demand reports of peers to the apportioner.
func (s *Steerer) registerDemandHandler() {
	linker.Receive(s.hub, topicDemand, reportCodec, func(peer registrar.Member, received report) {
		s.planMu.Lock()
		defer s.planMu.Unlock()
		s.apportioner.Receive(s.apportionerMember(peer), received.apportionerReport(), time.Now())
	})
}

// reportDemand measures this instance's demand, reports a change to the other instances
// and applies this instance's parts of all limits.
func (s *Steerer) reportDemand() {
	now := time.Now()
	s.planMu.Lock()
	plan := s.plans.Load()
	for team := range plan.Table().Set().Teams.All() {
		if limiter, found := plan.Limiter(team.Name); found {
			s.apportioner.Measure(team.Name, limiter.TotalDemand(), now)
		}
	}
	s.rationer.Apply(plan, now.Add(partValidity), now)
	if next, due := s.apportioner.NextReport(now); due {
		s.demandBroadcast = newDemandBroadcast(next)
	}
	broadcast := s.demandBroadcast
	receivers := broadcast.nextReceivers(s.otherMembers(), s.hub.IsLinked)
	s.applyParts(plan, now)
	s.planMu.Unlock()
	s.sendDemand(broadcast, receivers)
}

// confirmTimeout bounds the wait for a peer's confirmation of a report.
const confirmTimeout = 2 * time.Second

// demandBroadcast tracks which instances have received this instance's latest demand
// report. planMu guards it.
type demandBroadcast struct {
	number  uint64
	message report
	// confirmed holds the incarnations that have answered the report without an error,
	// and pending those that it was sent to and that have not answered yet.
	confirmed map[string]bool
	pending   map[string]bool
	// complete is set once all other instances have confirmed the report.
	complete bool
}

func newDemandBroadcast(report apportioner.Report) *demandBroadcast {
	return &demandBroadcast{
		number:    report.Number,
		message:   newReport(report),
		confirmed: map[string]bool{},
		pending:   map[string]bool{},
	}
}

// nextReceivers returns the linked instances that the report has to be sent to now, and marks
// them as pending.
func (b *demandBroadcast) nextReceivers(
	others iter.Seq[registrar.Member],
	isLinked func(incarnation string) bool,
) []registrar.Member {
	var receivers []registrar.Member
	for other := range others {
		if b.confirmed[other.Incarnation] || b.pending[other.Incarnation] {
			continue
		}
		if !isLinked(other.Incarnation) {
			continue
		}
		b.pending[other.Incarnation] = true
		receivers = append(receivers, other)
	}
	return receivers
}

// confirmedByAll reports whether all other instances have confirmed the report.
func (b *demandBroadcast) confirmedByAll(others iter.Seq[registrar.Member]) bool {
	for other := range others {
		if !b.confirmed[other.Incarnation] {
			return false
		}
	}
	return true
}

// sendDemand sends a report to its receivers and records their confirmations. Without
// receivers it only checks whether the broadcast is complete.
func (s *Steerer) sendDemand(broadcast *demandBroadcast, receivers []registrar.Member) {
	for _, other := range receivers {
		s.hub.Go(func() {
			ctx, cancel := context.WithTimeout(s.lifecycle.Work(), confirmTimeout)
			defer cancel()
			_, err := linker.Call(ctx, s.hub, other.Incarnation, topicDemand, broadcast.message, reportCodec, emptyCodec)
			s.demandAnswered(broadcast, other, err)
		})
	}
	if len(receivers) == 0 {
		// This instance counts as confirmed; the call checks whether any other is left.
		s.demandAnswered(broadcast, s.self, nil)
	}
}

// demandAnswered records the result of sending a report to an instance. Once all other
// instances have confirmed the report, it is marked as delivered in the apportioner.
func (s *Steerer) demandAnswered(broadcast *demandBroadcast, other registrar.Member, err error) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	delete(broadcast.pending, other.Incarnation)
	if err != nil {
		s.log.Debug().Str("Peer", other.Name).Err(err).Msg("DemandUntold")
		return
	}
	broadcast.confirmed[other.Incarnation] = true
	// Before the first roster it is not known which instances have to confirm.
	listed := !s.roster.Load().Position().IsZero()
	if broadcast.complete || !listed || !broadcast.confirmedByAll(s.otherMembers()) {
		return
	}
	broadcast.complete = true
	s.apportioner.MarkDelivered(broadcast.number)
	s.applyParts(s.plans.Load(), time.Now())
	if broadcast.number == 1 {
		s.log.Info().Int("Members", s.countOthers()+1).Msg("LimitsConfirmed")
	}
}
