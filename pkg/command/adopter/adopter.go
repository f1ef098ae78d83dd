// Package adopter puts a configuration, seats and parts of limits in force on
// this instance.
package adopter

import (
	"slices"
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// Adopter is the one writer of the plan. Requests read the plan without it.
type Adopter struct {
	// writing orders the writers. No request takes it.
	writing sync.Mutex
	plans   *holder.Cell[admitter.Plan]
	// bundle is the configuration in force; zero before the first.
	bundle publisher.Bundle
	// self is this instance, and seats are those that it holds.
	self  registrar.Member
	seats []registrar.Seat
	// others are the other seated instances.
	others []registrar.Member
	// confirmed says that the larger parts of the plan are in force; before that,
	// they are not before confirmAt.
	confirmed bool
	confirmAt time.Time
}

// New returns an adopter that writes to a cell, in which it puts the first plan.
func New(self registrar.Member, plans *holder.Cell[admitter.Plan]) *Adopter {
	adopter := &Adopter{
		plans:     plans,
		self:      self,
		confirmed: true,
	}
	plans.Advance(*admitter.First(self.Place, self.Incarnation).WithSeats(nil, time.Now()))
	return adopter
}

// Adopt puts a bundle in force if its revision is higher than the one in force,
// and says whether it did. A configuration never goes back.
func (a *Adopter) Adopt(bundle publisher.Bundle, now time.Time) bool {
	a.writing.Lock()
	defer a.writing.Unlock()
	if bundle.Head.Revision <= a.bundle.Head.Revision {
		return false
	}
	// Instances may have lent from the parts of the configuration before.
	a.settleAfter(a.bundle.Head.Revision != 0, now)
	a.bundle = bundle
	plan := a.plans.Load().WithTable(router.New(bundle.Head.Revision, bundle.Document.Set()), now)
	a.advance(plan, now)
	return true
}

// TakeSeats records the seats that the instance holds. Used says that another
// instance has held one of them before.
func (a *Adopter) TakeSeats(seats []registrar.Seat, used bool, now time.Time) {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.seats = slices.Clone(seats)
	a.settleAfter(used, now)
	a.advance(a.plans.Load(), now)
}

// SetOthers records which other instances hold seats.
func (a *Adopter) SetOthers(others []registrar.Member) {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.others = slices.Clone(others)
	a.pointDesks(a.plans.Load())
}

// Confirm puts the larger parts of a revision in force, if it is still the one in
// force here and their time has come. It is called when all other seated instances
// are known to have at least that revision.
func (a *Adopter) Confirm(revision uint64, now time.Time) {
	a.writing.Lock()
	defer a.writing.Unlock()
	if a.confirmed || revision != a.bundle.Head.Revision || now.Before(a.confirmAt) {
		return
	}
	a.confirmed = true
	a.plans.Load().Confirm(now)
}

// Confirmed says whether the larger parts of the plan are in force.
func (a *Adopter) Confirmed() bool {
	a.writing.Lock()
	defer a.writing.Unlock()
	return a.confirmed
}

// Bundle returns the configuration in force.
func (a *Adopter) Bundle() publisher.Bundle {
	a.writing.Lock()
	defer a.writing.Unlock()
	return a.bundle
}

// Revision returns the revision in force, or zero.
func (a *Adopter) Revision() uint64 {
	return a.plans.Load().Table().RevisionNumber()
}

// settleAfter asks for a confirmation, not before all that was lent from a part
// has ended if others may have lent from it.
func (a *Adopter) settleAfter(lent bool, now time.Time) {
	a.confirmed = false
	at := now
	if lent {
		at = now.Add(sharer.Quarantine)
	}
	if at.After(a.confirmAt) {
		a.confirmAt = at
	}
}

// advance puts a plan in force with the seat that follows from the configuration.
func (a *Adopter) advance(plan *admitter.Plan, now time.Time) {
	var numbered []splitter.Seat
	numbers := numberSeats(plan.Table().Set())
	for _, seat := range a.seats {
		numbered = append(numbered, numbers[seat])
	}
	if !slices.Equal(numbered, plan.Seats()) {
		plan = plan.WithSeats(numbered, now)
	}
	a.plans.Advance(*plan)
	a.pointDesks(plan)
}

// owner is another instance and one seat that it holds.
type owner struct {
	incarnation string
	seat        splitter.Seat
	distance    int
}

// pointDesks tells each team's desk from whom it can borrow, the nearest first.
func (a *Adopter) pointDesks(plan *admitter.Plan) {
	set := plan.Table().Set()
	owners := a.owners(set)
	for team := range set.Teams.All() {
		desk, found := plan.Desk(team.Name)
		if !found {
			continue
		}
		var holders []string
		for _, other := range owners {
			if admitter.Part(team, other.seat).Burst > 0 && !slices.Contains(holders, other.incarnation) {
				holders = append(holders, other.incarnation)
			}
		}
		desk.SetHolders(holders, team.RatePerSecond)
	}
}

// owners returns the seats of the other instances, the nearest first.
func (a *Adopter) owners(set declarer.Set) []owner {
	home, _ := set.Places.Get(a.self.Place)
	numbers := numberSeats(set)
	distances := map[string]int{}
	for place := range set.Places.All() {
		distances[place.Name] = home.Distance(set.Places, place.Name)
	}
	var owners []owner
	for _, other := range a.others {
		if other.Incarnation == a.self.Incarnation {
			continue
		}
		owners = append(owners, owner{
			incarnation: other.Incarnation,
			seat:        numbers[other.HeldSeat()],
			distance:    distances[other.Place],
		})
	}
	slices.SortStableFunc(owners, func(x, y owner) int { return x.distance - y.distance })
	return owners
}

// numberSeats numbers the seats of all places. The first seats of all places come
// before their second ones, so that the few owners of a small limit stand in
// different places. A seat that is not declared has no number and no part.
func numberSeats(set declarer.Set) map[registrar.Seat]splitter.Seat {
	total := set.Seats()
	numbers := make(map[registrar.Seat]splitter.Seat, total)
	for number := 0; len(numbers) < total; number++ {
		for place := range set.Places.All() {
			if number >= place.Seats {
				continue
			}
			seat := registrar.Seat{
				Place:  place.Name,
				Number: number,
			}
			numbers[seat] = splitter.Seat{
				Index: len(numbers),
				Of:    total,
			}
		}
	}
	return numbers
}
