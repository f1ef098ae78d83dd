package steerer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// applyDeclaration puts a declaration into force if it is newer than the current one.
// The revision in force never decreases.
func (s *Steerer) applyDeclaration(declaration declarer.Declaration) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	previous := s.inputs.declaration.Revision
	if declaration.Revision <= previous {
		return
	}
	s.updatePlan(s.inputs.withDeclaration(declaration))
	// Teams are added and removed only by declarations.
	s.setLenders(s.plans.Load())
	s.receiver.CancelInvalid()
	s.raiseLimits(declaration.Limits)
	s.log.Info().
		Uint64("Revision", declaration.Revision).
		Uint64("Before", previous).
		Msg("ConfigInForce")
}

// updatePlan computes the plan for inputs that have changed, but for the seats, and puts it
// into force. The caller holds planMu.
func (s *Steerer) updatePlan(next planInputs) {
	now := time.Now()
	s.inputs = next.withVerdicts(next.verdicts, now)
	plan := s.plans.Load()
	if next.declaration.Revision != 0 {
		plan = plan.WithTable(router.New(next.declaration.Revision, next.configurationSet()), now)
	}
	s.applyParts(plan, now)
	s.advancePlan(plan)
}

// advancePlan puts a plan into force. A plan of another declaration, which may have other
// failure domains, comes into force after its locator, so that an instance that serves
// requests also answers look-ups. The caller holds planMu.
func (s *Steerer) advancePlan(plan *admitter.Plan) {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	if plan.Table().RevisionNumber() != s.plans.Load().Table().RevisionNumber() {
		s.publishLocator(plan.Table())
	}
	s.plans.Advance(*plan)
	s.wakeQueues()
}

// refreshKeptRegistrations drops the upstreams that the platform does not list and that have been
// kept for their time.
func (s *Steerer) refreshKeptRegistrations(now time.Time) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	if !s.keepsRegistrations {
		return
	}
	s.keepsRegistrations = s.registrationGrace.IsOpen(now)
	s.applyListedRegistrations(now)
}

// setRegistrations applies the registrations that the platform lists. During the grace
// period after an outage of the platform, upstreams that it no longer lists are kept,
// unless they were leaving. The upstreams named in unlisted are among the registrations, but the
// platform has not listed them since its return from an older copy.
func (s *Steerer) setRegistrations(listed []registrar.Registration, unlisted []string) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	now := time.Now()
	s.listedRegistrations = listed
	absent := unlisted
	for _, registration := range s.inputs.registrations {
		if !containsUpstream(listed, registration.Upstream.Name) {
			absent = append(absent, registration.Upstream.Name)
		}
	}
	s.registrationGrace = s.registrationGrace.WithAbsent(absent, now)
	s.applyListedRegistrations(now)
}

// applyListedRegistrations applies the registrations that were listed last and those that are kept.
// The caller holds planMu.
func (s *Steerer) applyListedRegistrations(now time.Time) {
	keeps := func(upstream string) bool { return s.registrationGrace.Keeps(upstream, now) }
	counted := mergeRegistrations(s.inputs.registrations, s.listedRegistrations, keeps)
	if !slices.Equal(counted, s.inputs.registrations) {
		s.updatePlan(s.inputs.withRegistrations(counted))
	}
}

// updateSeats sets this instance's seat to its position in the roster, and passes the
// members of the roster to the apportioner. An instance that is not listed has no seat.
func (s *Steerer) updateSeats() {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	members := s.roster.Load().Members()
	var seats []splitter.Seat
	count := len(members)
	if s.apportioner.Lapsed() {
		// The others may have split the seats between fewer instances.
		count *= lapsedSeatDivisor
	}
	for i, member := range members {
		if member.Name == s.self.Name {
			seats = append(seats, splitter.Seat{
				Index: i,
				Count: count,
			})
		}
	}
	s.apportioner.SetMembers(s.apportionerMembers(members), time.Now())
	if !slices.Equal(seats, s.inputs.seats) {
		now := time.Now()
		s.inputs = s.inputs.withSeats(seats)
		plan := s.plans.Load().WithSeats(seats, now)
		s.applyParts(plan, now)
		s.advancePlan(plan)
	}
	s.setLenders(s.plans.Load())
}

// lendersInputs identifies what setLenders has computed the lenders from.
type lendersInputs struct {
	table   *router.Table
	roster  *registrar.Roster
	holders uint64
}

// setLenders sets the instances that each team's limiter can borrow from: the others that
// own parts of the team's limit, the nearest first. It does nothing if they have not changed.
// The caller holds planMu.
func (s *Steerer) setLenders(plan *admitter.Plan) {
	inputs := lendersInputs{
		table:   plan.Table(),
		roster:  s.roster.Load(),
		holders: s.apportioner.HoldersVersion(),
	}
	if inputs == s.lendersInputs {
		return
	}
	set := plan.Table().Set()
	home, _ := set.Places.Get(s.self.Place)
	others := map[string]registrar.Member{}
	for other := range s.otherMembers() {
		others[other.Name] = other
	}
	for team := range set.Teams.All() {
		if limiter, found := plan.Limiter(team.Name); found {
			limiter.SetHolders(s.lenders(team.Name, others, home, set.Places), team.RatePerSecond)
		}
	}
	s.lendersInputs = inputs
}

// refreshLenders sets the lenders again. The owners of parts also change without an event,
// when the apportioner stops counting a member that has left.
func (s *Steerer) refreshLenders() {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.setLenders(s.plans.Load())
}

// lenders returns the incarnations of those of the others, by name, that own a part of a
// team's limit, the nearest to home first.
func (s *Steerer) lenders(
	team string,
	others map[string]registrar.Member,
	home declarer.Place,
	places declarer.Table[declarer.Place],
) []string {
	var owners []registrar.Member
	for _, holder := range s.apportioner.Holders(team) {
		if other, found := others[holder]; found {
			owners = append(owners, other)
		}
	}
	slices.SortStableFunc(owners, func(a, b registrar.Member) int {
		return cmp.Or(
			cmp.Compare(home.Distance(places, a.Place), home.Distance(places, b.Place)),
			strings.Compare(a.Place, b.Place),
		)
	})
	incarnations := make([]string, 0, len(owners))
	for _, owner := range owners {
		incarnations = append(incarnations, owner.Incarnation)
	}
	return incarnations
}

// ready reports whether the instance accepts requests.
func (s *Steerer) ready() bool {
	return !s.leaving.Load() && s.plans.Load().Table().RevisionNumber() != 0
}
