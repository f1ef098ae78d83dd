// Package registrar describes the entry instances that hold seats.
package registrar

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// SeatPrefix starts the names of all seats in the store.
const SeatPrefix = "Seats/"

// Member is an entry instance that holds a seat. It is the seat's value in the
// store.
type Member struct {
	// Incarnation is unique to one start of the process.
	Incarnation string
	// Name is the instance's name in its settings.
	Name string
	// Place is the failure domain.
	Place string
	// SeatPlace is the place of the seat; empty means Place. It is another one if
	// the instance has taken over the seat of a dead one.
	SeatPlace string
	// Seat is the number of the seat in its place, from 0.
	Seat int
	// CallerAddress is where callers reach the instance.
	CallerAddress string
	// PeerAddress is where other instances reach it.
	PeerAddress string
	// Listed says that the platform's list has shown the instance. From then on the
	// instance is dead once the list drops it.
	Listed bool
	// Leaving says that the instance has begun its stop.
	Leaving bool
}

// Seat is the right to one part of every limit.
type Seat struct {
	// Place is the failure domain that the seat is declared in.
	Place string
	// Number is from 0 to the number of the place's seats, less 1.
	Number int
}

// Name returns the name of the seat in the store.
func (s Seat) Name() string {
	return fmt.Sprintf("%s%s/%d", SeatPrefix, s.Place, s.Number)
}

// HeldSeat returns the seat that the member holds.
func (m Member) HeldSeat() Seat {
	place := m.SeatPlace
	if place == "" {
		place = m.Place
	}
	return Seat{
		Place:  place,
		Number: m.Seat,
	}
}

// Vacant returns the value of a seat that was given back.
func Vacant(seat Seat) Member {
	return Member{
		Place: seat.Place,
		Seat:  seat.Number,
	}
}

// IsVacant says whether nobody holds the seat.
func (m Member) IsVacant() bool {
	return m.Incarnation == ""
}

// WithSeat returns a copy that holds another seat.
func (m Member) WithSeat(seat Seat) Member {
	m.SeatPlace = seat.Place
	m.Seat = seat.Number
	return m
}

// WithListed returns a copy that the platform's list has shown.
func (m Member) WithListed() Member {
	m.Listed = true
	return m
}

// WithLeaving returns a copy that has begun its stop.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// Roster is an immutable list of members, in the order of place and seat.
type Roster struct {
	// revision is the store's revision that the list is complete up to.
	revision uint64
	members  []Member
}

// NewRoster returns a roster of members. Vacant seats are left out.
func NewRoster(revision uint64, members ...Member) Roster {
	sorted := slices.DeleteFunc(slices.Clone(members), Member.IsVacant)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Place, b.Place), cmp.Compare(a.Seat, b.Seat))
	})
	return Roster{
		revision: revision,
		members:  sorted,
	}
}

// Revision returns the store's revision that the roster is complete up to.
func (r Roster) Revision() uint64 {
	return r.revision
}

// Members returns a copy of the members.
func (r Roster) Members() []Member {
	return slices.Clone(r.members)
}

// Get returns the member of an incarnation.
func (r Roster) Get(incarnation string) (Member, bool) {
	for _, member := range r.members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}
