package apportioner

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// returnWait is how long after the first report of an instance that has returned its reservation
// lasts: it may use what was reserved until all others have confirmed the report.
const returnWait = 2 * time.Second

// Reservation is what the members may not use because an instance that has been removed without
// having announced its stop may still use it. Instances that start later have to be told of it.
// It is immutable.
type Reservation struct {
	// Member is the name of the instance.
	Member string
	// Until is when the reservation ends.
	Until time.Time
	// Parts are sorted by resource.
	Parts []ReservedPart
}

// ReservedPart is the reserved fraction of a resource, from 0 to 1.
type ReservedPart struct {
	Resource string
	Fraction float64
}

// reservation holds what is reserved for a removed instance.
type reservation struct {
	until time.Time
	// fractions holds the fractions that the instance may still use, by resource.
	fractions map[string]float64
}

// Reservations returns the reservations that hold at a time, in the order of the names.
func (a *Apportioner) Reservations(now time.Time) []Reservation {
	var all []Reservation
	for member, reserved := range a.reservations {
		if now.Before(reserved.until) {
			all = append(all, reserved.exported(member))
		}
	}
	slices.SortFunc(all, func(x, y Reservation) int { return strings.Compare(x.Member, y.Member) })
	return all
}

// ReservationFor returns what has to be reserved for an instance if it is removed now. It returns
// false if its link has not been lost or it has announced that it stops.
func (a *Apportioner) ReservationFor(member string, now time.Time) (Reservation, bool) {
	if !a.isCutOff(member) {
		return Reservation{}, false
	}
	return a.newReservation(member, now).exported(member), true
}

// isCutOff reports whether the link to an instance has been lost that has not announced that it
// stops.
func (a *Apportioner) isCutOff(member string) bool {
	_, lost := a.lost[member]
	return lost && !a.left[member]
}

// Reserve takes over a reservation that another instance has made, for reserveTime at most. It
// changes nothing if the instance that it is for is a member again, and leaves out parts whose
// fraction makes no sense.
func (a *Apportioner) Reserve(told Reservation, now time.Time) {
	if state, known := a.members[told.Member]; told.Member == a.self || known && state.removeAt.IsZero() {
		return
	}
	next := reservation{
		until:     earliest(told.Until, now.Add(reserveTime)),
		fractions: map[string]float64{},
	}
	if known, found := a.reservations[told.Member]; found {
		next.fractions = maps.Clone(known.fractions)
		next.until = latest(known.until, next.until)
	}
	for _, part := range told.Parts {
		if !(part.Fraction > 0 && part.Fraction <= 1) {
			continue
		}
		next.fractions[part.Resource] = max(next.fractions[part.Resource], part.Fraction)
	}
	a.reservations[told.Member] = next
}

// newReservation returns keptFraction of the fractions of an instance whose link has been lost.
func (a *Apportioner) newReservation(member string, now time.Time) reservation {
	reserved := make(map[string]float64, len(a.lost[member]))
	for resource, fraction := range a.lost[member] {
		reserved[resource] = keptFraction * fraction
	}
	return reservation{
		until:     now.Add(reserveTime),
		fractions: reserved,
	}
}

// exported returns the reservation in the form in which it is told.
func (r reservation) exported(member string) Reservation {
	told := Reservation{
		Member: member,
		Until:  r.until,
	}
	for _, resource := range slices.Sorted(maps.Keys(r.fractions)) {
		told.Parts = append(told.Parts, ReservedPart{
			Resource: resource,
			Fraction: r.fractions[resource],
		})
	}
	return told
}

// reserve reserves keptFraction of the fractions of an instance that has been removed without
// having announced that it stops.
func (a *Apportioner) reserve(member string, now time.Time) {
	if a.isCutOff(member) {
		a.reservations[member] = a.newReservation(member, now)
	}
	delete(a.lost, member)
	delete(a.left, member)
}

// endReservation ends the reservation for an instance that has returned.
func (a *Apportioner) endReservation(member string, now time.Time) {
	returned, found := a.reservations[member]
	if end := now.Add(returnWait); found && end.Before(returned.until) {
		returned.until = end
		a.reservations[member] = returned
	}
}

// unreserved returns the fraction of a resource that is not reserved for removed instances.
func (a *Apportioner) unreserved(resource string, now time.Time) float64 {
	maps.DeleteFunc(a.reservations, func(_ string, r reservation) bool { return !now.Before(r.until) })
	left := 1.0
	for _, reserved := range a.reservations {
		left -= reserved.fractions[resource]
	}
	return max(left, 0)
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
