// Package applier puts configurations in force at this instance. It keeps the plan by
// which requests are served: it replaces the plan for a newer configuration and for other
// seats, and decides when an increased part of a limit may be used (Confirm). It does not
// fetch configurations or claim seats, and does not decide when all instances have a
// revision: package server does. A seat is the right to one part of every limit, held by
// one incarnation.
package applier

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

// Applier is the only writer of the plan. Requests read the plan from its cell without
// calling the applier.
type Applier struct {
	// writeLock serializes the writers. No request takes it.
	writeLock sync.Mutex
	plans     *holder.Cell[admitter.Plan]
	// bundle is the configuration in force, or zero before the first one.
	bundle publisher.Bundle
	// self is this instance, and seats are the seats that it holds.
	self  registrar.Member
	seats []registrar.Seat
	// others are the other instances that hold seats.
	others []registrar.Member
	// confirmed says that the parts of limits are in force as the configuration and the
	// seats give them. It is false from each change until Confirm; until then, parts that
	// became larger keep their smaller size. Confirm has no effect before confirmAt.
	confirmed bool
	confirmAt time.Time
}

// New returns an applier that writes to plans, and stores the first plan there.
func New(self registrar.Member, plans *holder.Cell[admitter.Plan]) *Applier {
	a := &Applier{
		plans:     plans,
		self:      self,
		confirmed: true,
	}
	plans.Advance(*admitter.InitialPlan(self.Place, self.Incarnation).WithSeats(nil, time.Now()))
	return a
}

// Apply puts a bundle in force if its revision is higher than the one in force, and
// reports whether it did. A configuration is never replaced by an older one.
func (a *Applier) Apply(bundle publisher.Bundle, now time.Time) bool {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	if bundle.Head.Revision <= a.bundle.Head.Revision {
		return false
	}
	// If there was a configuration before, instances may have lent units of its parts.
	a.awaitConfirm(a.bundle.Head.Revision != 0, now)
	a.bundle = bundle
	plan := a.plans.Load().WithTable(router.New(bundle.Head.Revision, bundle.Document.Set()), now)
	a.install(plan, now)
	return true
}

// SetSeats sets the seats that the instance holds. mayHaveLent says that another
// instance may have lent units of the parts of these seats; increased parts then wait
// until all such loans have ended. It makes no difference if no part increases.
func (a *Applier) SetSeats(seats []registrar.Seat, mayHaveLent bool, now time.Time) {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	a.seats = slices.Clone(seats)
	a.awaitConfirm(mayHaveLent, now)
	a.install(a.plans.Load(), now)
}

// SetOthers sets the other instances that hold seats.
func (a *Applier) SetOthers(others []registrar.Member) {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	a.others = slices.Clone(others)
	a.updateHolders(a.plans.Load())
}

// Confirm puts the increased parts of limits of a revision in force, if that revision
// is still in force here and the loans from these parts have ended. It is called when
// all other instances with a seat are known to have at least that revision.
func (a *Applier) Confirm(revision uint64, now time.Time) {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	if a.confirmed || revision != a.bundle.Head.Revision || now.Before(a.confirmAt) {
		return
	}
	a.confirmed = true
	a.plans.Load().Confirm(now)
}

// IncreasesInForce reports whether the parts of limits are in force as the configuration and the
// seats give them, with all increases.
func (a *Applier) IncreasesInForce() bool {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	return a.confirmed
}

// Bundle returns the configuration in force.
func (a *Applier) Bundle() publisher.Bundle {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	return a.bundle
}

// Revision returns the revision in force, or zero before the first configuration.
func (a *Applier) Revision() uint64 {
	return a.plans.Load().Table().RevisionNumber()
}

// awaitConfirm holds increased parts of limits back until the next Confirm. If another
// instance may have lent units of such a part, Confirm has no effect until all its
// loans have ended.
func (a *Applier) awaitConfirm(mayHaveLent bool, now time.Time) {
	a.confirmed = false
	earliest := now
	if mayHaveLent {
		earliest = now.Add(sharer.Quarantine)
	}
	if earliest.After(a.confirmAt) {
		a.confirmAt = earliest
	}
}

// install puts a plan in force. It first replaces the plan's seats if the configuration
// gives the held seats other indexes.
func (a *Applier) install(plan *admitter.Plan, now time.Time) {
	var held []splitter.Seat
	indexes := indexSeats(plan.Table().Set())
	for _, seat := range a.seats {
		held = append(held, indexes[seat])
	}
	if !slices.Equal(held, plan.Seats()) {
		plan = plan.WithSeats(held, now)
	}
	a.plans.Advance(*plan)
	a.updateHolders(plan)
}

// seatHolder is another instance and one seat that it holds.
type seatHolder struct {
	incarnation string
	seat        splitter.Seat
	distance    int
}

// updateHolders sets from which instances each team's limiter can borrow, the nearest
// first: those whose seats own a part of the team's limit. SetHolders calls them holders.
func (a *Applier) updateHolders(plan *admitter.Plan) {
	set := plan.Table().Set()
	seatHolders := a.seatHolders(set)
	for team := range set.Teams.All() {
		limiter, found := plan.Limiter(team.Name)
		if !found {
			continue
		}
		var holders []string
		for _, other := range seatHolders {
			if admitter.SeatLimit(team, other.seat).Burst > 0 && !slices.Contains(holders, other.incarnation) {
				holders = append(holders, other.incarnation)
			}
		}
		limiter.SetHolders(holders, team.RatePerSecond)
	}
}

// seatHolders returns one entry for each seat that another instance holds, those of the
// nearest instance first.
func (a *Applier) seatHolders(set declarer.Set) []seatHolder {
	home, _ := set.Places.Get(a.self.Place)
	indexes := indexSeats(set)
	distances := map[string]int{}
	for place := range set.Places.All() {
		distances[place.Name] = home.Distance(set.Places, place.Name)
	}
	var found []seatHolder
	for _, other := range a.others {
		if other.Incarnation == a.self.Incarnation {
			continue
		}
		found = append(found, seatHolder{
			incarnation: other.Incarnation,
			seat:        indexes[other.HeldSeat()],
			distance:    distances[other.Place],
		})
	}
	slices.SortStableFunc(found, func(x, y seatHolder) int { return x.distance - y.distance })
	return found
}

// indexSeats gives each declared seat its index among the seats of all failure domains.
// The first seats of all failure domains come before the second ones, so that the few
// owners of a small limit are in different failure domains. A seat that is not declared
// has no index and no part of a limit.
func indexSeats(set declarer.Set) map[registrar.Seat]splitter.Seat {
	total := set.Seats()
	indexes := make(map[registrar.Seat]splitter.Seat, total)
	for number := 0; len(indexes) < total; number++ {
		for place := range set.Places.All() {
			if number >= place.Seats {
				continue
			}
			seat := registrar.Seat{
				Place:  place.Name,
				Number: number,
			}
			indexes[seat] = splitter.Seat{
				Index: len(indexes),
				Count: total,
			}
		}
	}
	return indexes
}
