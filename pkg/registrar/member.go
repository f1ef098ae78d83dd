// Package registrar defines the records by which entry instances and upstreams are
// registered: the seats and their holders, the roster, and the registrations of
// upstreams.
//
// A seat is the right to one part of every limit. One incarnation of an entry instance
// holds it. The roster is the list of seats that are held. On an external platform
// nobody claims seats: package steerer derives an instance's seat from its position in
// the roster.
package registrar

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// SeatPrefix is the prefix of the names of all seats in the store.
const SeatPrefix = "Seats/"

// Member is an entry instance as the holder of one seat. It is the seat's value in the
// store. On an external platform (package steerer) it is the value of the instance's own
// object in the store, and SeatPlace, Seat and Listed are not used.
type Member struct {
	// Incarnation identifies one start of the instance's process; empty if nobody holds
	// the seat.
	Incarnation string
	// Name is the instance's name in its settings.
	Name string
	// Place is the failure domain that the instance runs in, or that of the seat if
	// nobody holds it.
	Place string
	// SeatPlace is the failure domain of the seat; empty means Place. It differs from
	// Place if the instance has taken over the seat of a dead instance in another
	// failure domain.
	SeatPlace string
	// Seat is the number of the seat in its failure domain, from 0.
	Seat int
	// CallerAddress is the address at which the instance listens for callers, an IP
	// address and a port.
	CallerAddress string
	// PeerAddress is the address at which the instance listens for other instances, an
	// IP address and a port.
	PeerAddress string
	// Listed says that the platform's list of instances has shown this incarnation.
	// From then on it counts as dead once it is missing from the list.
	Listed bool
	// Leaving says that the instance is draining: it has begun to stop.
	Leaving bool
	// Capacity is that of the instance's machine. It is not encoded if it is unknown, so that
	// such a member is encoded as by builds without it.
	Capacity Capacity `cbor:",omitzero"`
}

// Seat is the right to one part of every limit.
type Seat struct {
	// Place is the failure domain that the seat is declared in.
	Place string
	// Number identifies the seat in its failure domain; from 0 to declarer.Place.Seats
	// less 1.
	Number int
}

// Name returns the name of the seat in the store, such as "Seats/derby/0".
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

// Vacant returns the value that a seat has in the store after it was returned.
func Vacant(seat Seat) Member {
	return Member{
		Place: seat.Place,
		Seat:  seat.Number,
	}
}

// IsVacant reports whether nobody holds the seat.
func (m Member) IsVacant() bool {
	return m.Incarnation == ""
}

// WithSeat returns a copy that holds that seat.
func (m Member) WithSeat(seat Seat) Member {
	m.SeatPlace = seat.Place
	m.Seat = seat.Number
	return m
}

// WithListed returns a copy with Listed set.
func (m Member) WithListed() Member {
	m.Listed = true
	return m
}

// WithLeaving returns a copy with Leaving set.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// Roster is an immutable list of members in the order of Place and Seat: of the seats
// that are held or, on an external platform, of all instances that are registered
// there.
type Roster struct {
	// position is the point in the store's history up to which the list is complete.
	position storer.Position
	members  []Member
}

// NewRoster returns a roster of the given members without the vacant seats. They are
// complete up to position in the store's history.
func NewRoster(position storer.Position, members ...Member) Roster {
	sorted := slices.DeleteFunc(slices.Clone(members), Member.IsVacant)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Place, b.Place), cmp.Compare(a.Seat, b.Seat))
	})
	return Roster{
		position: position,
		members:  sorted,
	}
}

// Position returns the point in the store's history up to which the roster is complete; zero
// for an empty roster from before the first list.
func (r Roster) Position() storer.Position {
	return r.position
}

// Members returns a copy of the members.
func (r Roster) Members() []Member {
	return slices.Clone(r.members)
}

// All yields the members.
func (r Roster) All() iter.Seq[Member] {
	return slices.Values(r.members)
}

// Get returns the first member of an incarnation, and false if it holds no seat.
func (r Roster) Get(incarnation string) (Member, bool) {
	for _, member := range r.members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}
