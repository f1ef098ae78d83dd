// Package claimer claims a seat for an entry instance. A seat carries the
// instance's part of every limit, so two live instances never hold the same.
package claimer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// maxListLag is the longest time by which the platform's list lags.
const maxListLag = time.Minute

var (
	// ErrFull means that live instances hold all seats of the place.
	ErrFull = errors.New("live instances hold all seats of the place")
	// ErrLost means that another instance holds the seat now.
	ErrLost = errors.New("another instance holds the seat now")
)

// Claimer claims, marks and gives back seats. Used by one goroutine.
type Claimer struct {
	seats  storer.Typed[registrar.Member]
	lister storer.Lister
	// absentUntil holds, for each incarnation that the list did not show, the
	// instant from which it counts as dead if the list has still not shown it.
	absentUntil map[string]time.Time
}

// Held is a seat that the instance holds.
type Held struct {
	// Member is the seat's value in the store.
	Member registrar.Member
	// Revision is the store's revision of it.
	Revision uint64
	// Used says that another instance has held the seat before.
	Used bool
}

// New returns a claimer over a store and the platform's list of instances.
func New(store storer.Store, lister storer.Lister, members handler.Codec[registrar.Member]) *Claimer {
	return &Claimer{
		seats:       storer.NewTyped(store, members),
		lister:      lister,
		absentUntil: map[string]time.Time{},
	}
}

// Claim takes a free seat of the member's place, of which there are that many, or
// the seat of an instance that the platform has dropped. A claim whose answer was
// lost is found again by the next call.
func (c *Claimer) Claim(ctx context.Context, member registrar.Member, seats int, now time.Time) (Held, error) {
	taken, err := c.seats.List(ctx, registrar.SeatPrefix+member.Place+"/")
	if err != nil {
		return Held{}, err
	}
	for _, object := range taken.Objects {
		if object.Value.Incarnation == member.Incarnation && object.Value.SeatPlace == member.Place {
			// Its first answer was lost, and with it whether the seat was used.
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
		condition, free := c.condition(taken.Objects, seat.Name(), instances, now)
		if !free {
			continue
		}
		held, err := c.put(ctx, member.WithSeat(seat), condition)
		held.Used = !condition.IsAbsent()
		if !errors.Is(err, storer.ErrConflict) {
			return held, err
		}
	}
	return Held{}, ErrFull
}

// Inherit takes over one seat whose holder is dead, or that nobody holds, for an
// instance that has a seat of its own. It returns ErrFull if the holder may live.
func (c *Claimer) Inherit(ctx context.Context, member registrar.Member, seat registrar.Seat, now time.Time) (Held, error) {
	taken, err := c.seats.List(ctx, seat.Name())
	if err != nil {
		return Held{}, err
	}
	instances, err := c.lister.Instances(ctx)
	if err != nil {
		return Held{}, err
	}
	condition, free := c.condition(taken.Objects, seat.Name(), instances, now)
	if !free {
		return Held{}, ErrFull
	}
	held, err := c.put(ctx, member.WithSeat(seat), condition)
	held.Used = !condition.IsAbsent()
	return held, err
}

// Confirm marks a seat's holder as listed once the platform's list shows it.
func (c *Claimer) Confirm(ctx context.Context, held Held) (Held, error) {
	if held.Member.Listed {
		return held, nil
	}
	instances, err := c.lister.Instances(ctx)
	if err != nil || !shows(instances, held.Member.Incarnation) {
		return held, err
	}
	return c.put(ctx, held.Member.WithListed(), storer.At(held.Revision))
}

// Leave marks a seat's holder as leaving.
func (c *Claimer) Leave(ctx context.Context, held Held) (Held, error) {
	return c.put(ctx, held.Member.WithLeaving(), storer.At(held.Revision))
}

// Release gives a seat back. The holder has ended all use of its parts. The seat
// stays in the store without a holder, so that the next one knows that it was used.
// A seat that has changed since, by a write whose answer was lost, is read again
// first.
func (c *Claimer) Release(ctx context.Context, held Held) error {
	seat := held.Member.HeldSeat()
	vacant := registrar.Vacant(seat)
	_, err := c.put(ctx, vacant, storer.At(held.Revision))
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	object, err := c.seats.Get(ctx, seat.Name())
	if err != nil {
		return err
	}
	if object.Value.Incarnation != held.Member.Incarnation {
		return ErrLost
	}
	_, err = c.put(ctx, vacant, storer.At(object.Revision))
	return err
}

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

// condition returns under what condition a seat may be taken, and false if it may
// not.
func (c *Claimer) condition(
	taken []storer.Object[registrar.Member],
	name string,
	instances []storer.Instance,
	now time.Time,
) (storer.Condition, bool) {
	at := slices.IndexFunc(taken, func(object storer.Object[registrar.Member]) bool {
		return object.Name == name
	})
	if at < 0 {
		return storer.Absent(), true
	}
	return storer.At(taken[at].Revision), c.dead(taken[at].Value, instances, now)
}

// dead says whether a seat's holder is proved dead: the list has shown it and
// shows it no longer, or has not shown it for longer than the list can lag.
func (c *Claimer) dead(holder registrar.Member, instances []storer.Instance, now time.Time) bool {
	if holder.IsVacant() {
		return true
	}
	if shows(instances, holder.Incarnation) {
		delete(c.absentUntil, holder.Incarnation)
		return false
	}
	if holder.Listed {
		return true
	}
	until, known := c.absentUntil[holder.Incarnation]
	if !known {
		c.absentUntil[holder.Incarnation] = now.Add(maxListLag)
		return false
	}
	return !now.Before(until)
}

func shows(instances []storer.Instance, incarnation string) bool {
	return slices.ContainsFunc(instances, func(instance storer.Instance) bool {
		return instance.Incarnation == incarnation
	})
}
