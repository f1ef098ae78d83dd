package steerer

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
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
	s.log.Info().
		Uint64("Revision", declaration.Revision).
		Uint64("Before", previous).
		Msg("ConfigInForce")
}

// updatePlan computes the plan for changed inputs and puts it into force. The caller
// holds planMu.
func (s *Steerer) updatePlan(next planInputs) {
	now := time.Now()
	sameSeats := slices.Equal(next.seats, s.inputs.seats)
	s.inputs = next
	plan := s.plans.Load()
	if !sameSeats {
		plan = plan.WithSeats(next.seats, now)
	}
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
}

// endRegistrationGrace ends the grace period once its time has passed: upstreams that
// the platform has not listed again are dropped.
func (s *Steerer) endRegistrationGrace() {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	if s.registrationGraceUntil.IsZero() || time.Now().Before(s.registrationGraceUntil) {
		return
	}
	s.registrationGraceUntil = time.Time{}
	s.updatePlan(s.inputs.withRegistrations(s.listedRegistrations))
}

// setRegistrations applies the registrations that the platform lists. During the grace
// period after an outage of the platform, upstreams that it no longer lists are kept,
// unless they were leaving.
func (s *Steerer) setRegistrations(listed []registrar.Registration) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.listedRegistrations = listed
	if !s.registrationGraceUntil.IsZero() {
		listed = mergeRegistrations(s.inputs.registrations, listed)
	}
	s.updatePlan(s.inputs.withRegistrations(listed))
}

// updateSeats sets this instance's seat to its position in the roster, and passes the
// members of the roster to the apportioner. An instance that is not listed has no seat.
func (s *Steerer) updateSeats() {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	members := s.roster.Load().Members()
	var seats []splitter.Seat
	for i, member := range members {
		if member.Name == s.self.Name {
			seats = append(seats, splitter.Seat{
				Index: i,
				Count: len(members),
			})
		}
	}
	s.apportioner.SetMembers(s.apportionerMembers(members), time.Now())
	if !slices.Equal(seats, s.inputs.seats) {
		s.updatePlan(s.inputs.withSeats(seats))
	}
	s.setLenders(s.plans.Load())
}

// setLenders sets the instances that each team's limiter can borrow from: the others that
// own parts of the team's limit, the nearest first.
func (s *Steerer) setLenders(plan *admitter.Plan) {
	set := plan.Table().Set()
	home, _ := set.Places.Get(s.self.Place)
	others := s.otherMembers()
	slices.SortStableFunc(others, func(a, b registrar.Member) int {
		return home.Distance(set.Places, a.Place) - home.Distance(set.Places, b.Place)
	})
	for team := range set.Teams.All() {
		if limiter, found := plan.Limiter(team.Name); found {
			limiter.SetHolders(s.lenders(team.Name, others), team.RatePerSecond)
		}
	}
}

// refreshLenders sets the lenders again. The owners of parts also change without an event,
// when the apportioner stops counting a member that has left.
func (s *Steerer) refreshLenders() {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.setLenders(s.plans.Load())
}

// lenders returns the incarnations of those of the others that own a part of a team's
// limit.
func (s *Steerer) lenders(team string, others []registrar.Member) []string {
	holders := s.apportioner.Holders(team)
	incarnations := make([]string, 0, len(holders))
	for _, other := range others {
		if _, holds := slices.BinarySearch(holders, other.Name); holds {
			incarnations = append(incarnations, other.Incarnation)
		}
	}
	return incarnations
}

// updateLocator publishes a locator of the available instances for the plan in force.
func (s *Steerer) updateLocator() {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	s.publishLocator(s.plans.Load().Table())
}

// publishLocator publishes a locator of the available instances for a routing table. The
// caller holds locatorMu.
func (s *Steerer) publishLocator(table *router.Table) {
	s.locatorGeneration++
	set := table.Set()
	s.locators.Advance(*locator.New(locator.Source{
		Generation:  s.locatorGeneration,
		Revision:    table.RevisionNumber(),
		Set:         set,
		Blocks:      locator.DeclaredBlocks(set),
		Members:     s.availableMembers(),
		Home:        s.self.Place,
		ValidMillis: s.settings.Lookups.ValidMillis,
	}))
}

// lookup returns the instances that a caller in a failure domain should use. They are the
// same for all hosts, since each instance serves all of them.
func (s *Steerer) lookup(_, place string) (LookupResult, bool) {
	current := s.locators.Load()
	if current == nil {
		return LookupResult{}, false
	}
	answer := current.Nearest(place, time.Now())
	if len(answer.Entries) == 0 {
		return LookupResult{}, false
	}
	addresses := make([]string, 0, len(answer.Entries))
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	return LookupResult{
		Addresses:  addresses,
		ValidUntil: answer.ValidUntil,
	}, true
}

// ready reports whether the instance accepts requests.
func (s *Steerer) ready() bool {
	return !s.leaving.Load() && s.plans.Load().Table().RevisionNumber() != 0
}
