// Package adopter puts a configuration or a seat in force on this instance.
package adopter

import (
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

// Adopter is the one writer of the plan. Requests read the plan without it.
type Adopter struct {
	// writing orders the writers. No request takes it.
	writing sync.Mutex
	plans   *holder.Cell[admitter.Plan]
	// bundle is the configuration in force; zero before the first.
	bundle publisher.Bundle
	// place and number name the seat held; number is -1 without one.
	place  string
	number int
}

// New returns an adopter that writes to a cell, in which it puts the first plan.
func New(home string, plans *holder.Cell[admitter.Plan]) *Adopter {
	adopter := &Adopter{
		plans:  plans,
		place:  home,
		number: -1,
	}
	plans.Advance(*admitter.First(home).WithSeat(splitter.Seat{}, time.Now()))
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
	a.bundle = bundle
	table := router.New(bundle.Head.Revision, bundle.Document.Set())
	plan := a.plans.Load().WithTable(table, now)
	return a.plans.Advance(*a.seated(plan, now))
}

// TakeSeat records the seat that the instance holds in its place; -1 means none.
func (a *Adopter) TakeSeat(number int, now time.Time) {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.number = number
	plan := a.plans.Load()
	if next := a.seated(plan, now); next != plan {
		a.plans.Advance(*next)
	}
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

// seated returns the plan with the seat that follows from the configuration.
func (a *Adopter) seated(plan *admitter.Plan, now time.Time) *admitter.Plan {
	seat := seatOf(plan.Table().Set(), a.place, a.number)
	if seat == plan.Seat() {
		return plan
	}
	return plan.WithSeat(seat, now)
}

// seatOf numbers a place's seat among the seats of all places.
func seatOf(set declarer.Set, home string, number int) splitter.Seat {
	index := 0
	for place := range set.Places.All() {
		if place.Name != home {
			index += place.Seats
			continue
		}
		if number < 0 || number >= place.Seats {
			return splitter.Seat{}
		}
		return splitter.Seat{
			Index: index + number,
			Of:    set.Seats(),
		}
	}
	return splitter.Seat{}
}
