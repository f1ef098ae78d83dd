package steerer

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/surveyor"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// topicSurvey is the topic on which members tell their leader, and leaders tell other
	// leaders, what they have found.
	topicSurvey = "Survey"
	// topicFindings is the topic on which a leader tells its members what all have found.
	topicFindings = "Findings"
)

// registerSurveyHandlers receives the surveys and the findings of peers.
func (s *Steerer) registerSurveyHandlers() {
	linker.Receive(s.hub, topicSurvey, surveyCodec, func(peer registrar.Member, received survey) {
		s.receiveSurvey(peer, received.surveyorSurvey(), time.Now())
	})
	linker.Receive(s.hub, topicFindings, findingsCodec, func(_ registrar.Member, received findings) {
		s.surveyCounters.findings.Inc(1)
		s.applyFindings(received.surveyorFindings(), time.Now())
	})
}

// surveyCounters count the messages of surveys.
type surveyCounters struct {
	surveys  metrics.Counter
	findings metrics.Counter
}

func newSurveyCounters(registry metrics.Registry) surveyCounters {
	return surveyCounters{
		surveys:  metrics.GetOrRegisterCounter("hemlockport_surveys_received_total", registry),
		findings: metrics.GetOrRegisterCounter("hemlockport_findings_received_total", registry),
	}
}

// updateObjectGauges exports the number of distinct objects at the upstreams of each service
// and region.
func (s *Steerer) updateObjectGauges(plan *admitter.Plan) {
	for _, cache := range plan.Caches() {
		name := fmt.Sprintf("hemlockport_objects{region=%q,service=%q}", cache.ID.Region, cache.ID.Service)
		metrics.GetOrRegisterGauge(name, s.registry).Update(int64(cache.Objects))
	}
}

// receiveSurvey receives the survey of a peer.
func (s *Steerer) receiveSurvey(peer registrar.Member, received surveyor.Survey, now time.Time) {
	s.surveyCounters.surveys.Inc(1)
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
	plan.ReceiveCacheNotices(found.Caches, now)
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
	s.updateObjectGauges(plan)
	own := surveyor.Survey{
		Caches: plan.TakeCacheDigests(),
		Loads:  plan.TakeLoadSums(),
	}
	leaders := s.surveyLeaders()
	leader := leaders[s.self.Place]
	s.logSurveyLeader(leader)
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

// logSurveyLeader logs that another instance leads this instance's failure domain than before.
func (s *Steerer) logSurveyLeader(leader registrar.Member) {
	if leader.Incarnation == s.surveyLeader {
		return
	}
	s.surveyLeader = leader.Incarnation
	s.log.Info().Str("Peer", leader.Name).Bool("Self", leader.Incarnation == s.self.Incarnation).Msg("SurveyLeader")
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
