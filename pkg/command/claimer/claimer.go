// Package claimer claims seats in the store for an entry instance. A seat is the right
// to one part of every limit, held by one incarnation, so two live instances must never
// hold the same seat.
//
// The package decides by the platform's list of instances whether a holder is dead. When
// to claim a seat, which ones to take over and when to release them is decided by its
// caller (package server).
package claimer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// maxListLag is the longest time by which the platform's list of instances lags behind.
const maxListLag = time.Minute

var (
	// ErrNoFreeSeat means that no seat may be claimed: each one in question has a holder
	// that may be alive, or was claimed by another instance first.
	ErrNoFreeSeat = errors.New("no seat is free")
	// ErrSeatLost means that another instance holds the seat now.
	ErrSeatLost = errors.New("another instance holds the seat now")
)

// Claimer claims, marks and releases seats. It is not safe for concurrent use.
type Claimer struct {
	seats  storer.Typed[registrar.Member]
	lister storer.Lister
	// deadFrom holds, for each incarnation that the list has not shown yet, the instant
	// from which it counts as dead if the list still does not show it.
	deadFrom map[string]time.Time
}

// Held is a seat held by the instance.
type Held struct {
	// Member is the seat's value in the store.
	Member registrar.Member
	// Revision is the store's revision of that value.
	Revision uint64
	// Used is true if another instance held the seat before, or may have. Only Claim and
	// TakeOver set it.
	Used bool
}

// New returns a claimer that uses the store and the platform's list of instances. The
// codec encodes the values of seats.
func New(store storer.Store, lister storer.Lister, codec handler.Codec[registrar.Member]) *Claimer {
	return &Claimer{
		seats:    storer.NewTyped(store, codec),
		lister:   lister,
		deadFrom: map[string]time.Time{},
	}
}

// Claim claims one of the seats of the member's failure domain that nobody holds or
// whose holder is dead. The parameter seats is the number of seats of the failure
// domain. It returns ErrNoFreeSeat if there is none. If the answer to a successful
// claim was lost, the next call finds and returns that seat.
func (c *Claimer) Claim(ctx context.Context, member registrar.Member, seats int, now time.Time) (Held, error) {
	taken, err := c.seats.List(ctx, registrar.SeatPrefix+member.Place+"/")
	if err != nil {
		return Held{}, err
	}
	for _, object := range taken.Objects {
		if object.Value.Incarnation == member.Incarnation && object.Value.SeatPlace == member.Place {
			// The answer to the claim was lost, so it is unknown whether the seat
			// was used before.
			return Held{
				Member:   object.Value,
				Revision: object.Revision,
				Used:     true,
			}, nil
		}
	}
	instances, err := c.lister.Instances(ctx)
	if err != nil {
		return Held{}, err
	}
	for number := range seats {
		seat := registrar.Seat{
			Place:  member.Place,
			Number: number,
		}
		condition, free := c.claimCondition(taken.Objects, seat.Name(), instances, now)
		if !free {
			continue
		}
		held, err := c.put(ctx, member.WithSeat(seat), condition)
		held.Used = !condition.IsAbsent()
		if !errors.Is(err, storer.ErrConflict) {
			return held, err
		}
	}
	return Held{}, fmt.Errorf("%w: %q has %d seats", ErrNoFreeSeat, member.Place, seats)
}

// TakeOver takes over a given seat that nobody holds or whose holder is dead, for an
// instance that already has a seat of its own. It returns ErrNoFreeSeat if the holder
// may be alive, and storer.ErrConflict if another instance claimed the seat first.
func (c *Claimer) TakeOver(ctx context.Context, member registrar.Member, seat registrar.Seat, now time.Time) (Held, error) {
	taken, err := c.seats.List(ctx, seat.Name())
	if err != nil {
		return Held{}, err
	}
	instances, err := c.lister.Instances(ctx)
	if err != nil {
		return Held{}, err
	}
	condition, free := c.claimCondition(taken.Objects, seat.Name(), instances, now)
	if !free {
		return Held{}, fmt.Errorf("%w: the holder of %q may be alive", ErrNoFreeSeat, seat.Name())
	}
	held, err := c.put(ctx, member.WithSeat(seat), condition)
	held.Used = !condition.IsAbsent()
	return held, err
}

// MarkListed marks a seat's holder as listed if the platform's list shows it. Otherwise
// it returns held as it is.
func (c *Claimer) MarkListed(ctx context.Context, held Held) (Held, error) {
	if held.Member.Listed {
		return held, nil
	}
	instances, err := c.lister.Instances(ctx)
	if err != nil || !contains(instances, held.Member.Incarnation) {
		return held, err
	}
	return c.put(ctx, held.Member.WithListed(), storer.AtRevision(held.Revision))
}

// MarkLeaving marks a seat's holder as leaving (draining).
func (c *Claimer) MarkLeaving(ctx context.Context, held Held) (Held, error) {
	return c.put(ctx, held.Member.WithLeaving(), storer.AtRevision(held.Revision))
}

// Release gives a seat back. The holder must have stopped using its parts. The seat
// stays in the store without a holder, so that the next holder knows that it was used
// before. If the revision has changed by an earlier write whose answer was lost,
// Release reads the seat again and repeats the write.
func (c *Claimer) Release(ctx context.Context, held Held) error {
	seat := held.Member.HeldSeat()
	vacant := registrar.Vacant(seat)
	_, err := c.put(ctx, vacant, storer.AtRevision(held.Revision))
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	object, err := c.seats.Get(ctx, seat.Name())
	if err != nil {
		return err
	}
	if object.Value.Incarnation != held.Member.Incarnation {
		return fmt.Errorf("%w: %q, held by %q", ErrSeatLost, seat.Name(), object.Value.Incarnation)
	}
	_, err = c.put(ctx, vacant, storer.AtRevision(object.Revision))
	return err
}

// put writes a seat to the store under a condition.
func (c *Claimer) put(ctx context.Context, member registrar.Member, condition storer.Condition) (Held, error) {
	object, err := c.seats.Put(ctx, member.HeldSeat().Name(), member, condition)
	if err != nil {
		return Held{}, err
	}
	return Held{
		Member:   member,
		Revision: object.Revision,
	}, nil
}

// claimCondition returns the condition for the write that claims a seat, and false if
// the seat must not be claimed.
func (c *Claimer) claimCondition(
	taken []storer.Object[registrar.Member],
	name string,
	instances []storer.Instance,
	now time.Time,
) (storer.Condition, bool) {
	index := slices.IndexFunc(taken, func(object storer.Object[registrar.Member]) bool {
		return object.Name == name
	})
	if index < 0 {
		return storer.Absent(), true
	}
	return storer.AtRevision(taken[index].Revision), c.isDead(taken[index].Value, instances, now)
}

// isDead reports whether a seat is vacant or its holder is known to be dead. A holder is
// dead if the list showed it and no longer does, or if the list has not shown it for
// longer than the list can lag behind.
func (c *Claimer) isDead(holder registrar.Member, instances []storer.Instance, now time.Time) bool {
	if holder.IsVacant() {
		return true
	}
	if contains(instances, holder.Incarnation) {
		delete(c.deadFrom, holder.Incarnation)
		return false
	}
	if holder.Listed {
		return true
	}
	deadFrom, known := c.deadFrom[holder.Incarnation]
	if !known {
		c.deadFrom[holder.Incarnation] = now.Add(maxListLag)
		return false
	}
	return !now.Before(deadFrom)
}

// contains reports whether the list shows an incarnation.
func contains(instances []storer.Instance, incarnation string) bool {
	return slices.ContainsFunc(instances, func(instance storer.Instance) bool {
		return instance.Incarnation == incarnation
	})
}
