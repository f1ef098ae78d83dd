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

// adopt puts a declaration in force if it is newer than the one in force. A
// declaration never goes back.
func (s *Steerer) adopt(declaration declarer.Declaration) {
	s.planning.Lock()
	defer s.planning.Unlock()
	before := s.inputs.declaration.Revision
	if declaration.Revision <= before {
		return
	}
	s.replan(s.inputs.withDeclaration(declaration))
	// Teams and places come and go with declarations alone.
	s.pointDesks(s.plans.Load())
	s.locate()
	s.receiver.Sweep()
	s.log.Info().
		Uint64("Revision", declaration.Revision).
		Uint64("Before", before).
		Msg("ConfigInForce")
}

// replan puts the plan of changed inputs in force. The caller holds planning.
func (s *Steerer) replan(next inputs) {
	now := time.Now()
	seated := slices.Equal(next.seats, s.inputs.seats)
	s.inputs = next
	plan := s.plans.Load()
	if !seated {
		plan = plan.WithSeats(next.seats, now)
	}
	if next.declaration.Revision != 0 {
		plan = plan.WithTable(router.New(next.declaration.Revision, next.set()), now)
	}
	s.apportion(plan, now)
	s.plans.Advance(*plan)
}

// endLapse drops the upstreams that the platform has not listed since its return,
// once their time has come.
func (s *Steerer) endLapse() {
	s.planning.Lock()
	defer s.planning.Unlock()
	if s.lapsesAt.IsZero() || time.Now().Before(s.lapsesAt) {
		return
	}
	s.lapsesAt = time.Time{}
	s.replan(s.inputs.withRegistrations(s.registered))
}

// register takes in what the platform lists. For a while after the platform's
// return, upstreams that it has forgotten meanwhile are kept.
func (s *Steerer) register(listed []registrar.Registration) {
	s.planning.Lock()
	defer s.planning.Unlock()
	s.registered = listed
	if !s.lapsesAt.IsZero() {
		listed = merge(s.inputs.registrations, listed)
	}
	s.replan(s.inputs.withRegistrations(listed))
}

// seat takes this instance's seat among those that are listed.
func (s *Steerer) seat() {
	s.planning.Lock()
	defer s.planning.Unlock()
	members := s.roster.Load().Members()
	var seats []splitter.Seat
	for i, member := range members {
		if member.Name == s.self.Name {
			seats = append(seats, splitter.Seat{
				Index: i,
				Of:    len(members),
			})
		}
	}
	s.apportioner.SetMembers(s.membersOf(members), time.Now())
	if !slices.Equal(seats, s.inputs.seats) {
		s.replan(s.inputs.withSeats(seats))
	}
	s.pointDesks(s.plans.Load())
}

// pointDesks tells each team's desk from whom it can borrow, the nearest first.
func (s *Steerer) pointDesks(plan *admitter.Plan) {
	set := plan.Table().Set()
	home, _ := set.Places.Get(s.self.Place)
	others := s.others()
	slices.SortStableFunc(others, func(a, b registrar.Member) int {
		return home.Distance(set.Places, a.Place) - home.Distance(set.Places, b.Place)
	})
	for team := range set.Teams.All() {
		if desk, found := plan.Desk(team.Name); found {
			desk.SetHolders(s.lenders(team.Name, others), team.RatePerSecond)
		}
	}
}

// repointDesks points the desks anew: holders change also when a member that has left
// is counted on no longer.
func (s *Steerer) repointDesks() {
	s.planning.Lock()
	defer s.planning.Unlock()
	s.pointDesks(s.plans.Load())
}

// lenders returns the incarnations of those others that hold parts of a team's limit.
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

// locate puts a locator of the instances that live in force.
func (s *Steerer) locate() {
	s.locating.Lock()
	defer s.locating.Unlock()
	s.generation++
	set := s.plans.Load().Table().Set()
	s.locators.Advance(*locator.New(locator.Source{
		Generation:  s.generation,
		Revision:    s.plans.Load().Table().RevisionNumber(),
		Set:         set,
		Blocks:      locator.DeclaredBlocks(set),
		Members:     s.live(),
		Home:        s.self.Place,
		ValidMillis: s.settings.Lookups.ValidMillis,
	}))
}

// lookup answers a caller who asks which instances to use.
func (s *Steerer) lookup(_, place string) (Located, bool) {
	found := s.locators.Load()
	if found == nil {
		return Located{}, false
	}
	answer := found.Nearest(place, time.Now())
	if len(answer.Entries) == 0 {
		return Located{}, false
	}
	addresses := make([]string, 0, len(answer.Entries))
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	return Located{
		Addresses:  addresses,
		ValidUntil: answer.ValidUntil,
	}, true
}

// ready says whether the instance takes requests.
func (s *Steerer) ready() bool {
	return !s.leaving.Load() && s.plans.Load().Table().RevisionNumber() != 0
}
