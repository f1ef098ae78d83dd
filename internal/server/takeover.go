package server

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/claimer"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// takeoverInterval is the time between two checks for seats that have no holder or
	// whose holder is not linked.
	takeoverInterval = 500 * time.Millisecond
	// vacancyGrace is how long a seat without a holder is reserved for a new
	// instance.
	vacancyGrace = 5 * time.Second
)

// takeover takes over the seats of dead instances and returns them to new ones. It is
// for use by one goroutine.
type takeover struct {
	server  *Server
	claimer *claimer.Claimer
	// reservedUntil holds, for each seat without a holder, the time until which it
	// is reserved for a new instance.
	reservedUntil map[registrar.Seat]time.Time
}

// takeOverSeats takes over the seats of dead instances, so that their parts of the
// limits are not lost, and returns them to new instances.
func (s *Server) takeOverSeats(ctx context.Context) error {
	t := &takeover{
		server:        s,
		claimer:       s.newClaimer(),
		reservedUntil: map[registrar.Seat]time.Time{},
	}
	for retrier.Sleep(ctx, takeoverInterval) == nil {
		if s.seats.own() == nil || s.leaving.Load() {
			continue
		}
		t.returnSeat(ctx)
		t.checkSeats(ctx)
	}
	return nil
}

// checkSeats checks the seats that this instance is responsible for.
func (t *takeover) checkSeats(ctx context.Context) {
	set := t.server.plans.Load().Table().Set()
	for place := range set.Places.All() {
		if t.responsibleInstance(set, place.Name) != t.server.self.Incarnation {
			continue
		}
		for number := range place.Seats {
			t.checkSeat(ctx, registrar.Seat{
				Place:  place.Name,
				Number: number,
			})
		}
	}
}

// isFirstInstance reports whether this instance does the work that a single instance
// does for the whole deployment, such as applying edits from the platform: it is the
// first, by incarnation, of the available instances that it knows. Instances that know
// different ones may all do the work; the store puts their writes in order.
func (s *Server) isFirstInstance() bool {
	for _, member := range s.availableMembers() {
		if member.Incarnation < s.self.Incarnation {
			return false
		}
	}
	return !s.leaving.Load()
}

// responsibleInstance returns the incarnation that is responsible for the seats of a
// failure domain: the first of the available instances in it or else in the next failure
// domain, in the order of names and starting again after the last, that has any. It
// returns an empty text if there is none. Instances that know different ones race for a
// seat, and the store lets one of them win.
func (t *takeover) responsibleInstance(set declarer.Set, place string) string {
	places := set.Places.Rows()
	at := slices.IndexFunc(places, func(row declarer.Place) bool { return row.Name == place })
	available := t.server.availableMembers()
	for i := range places {
		name := places[(at+i)%len(places)].Name
		first := ""
		for _, member := range available {
			if member.Place == name && (first == "" || member.Incarnation < first) {
				first = member.Incarnation
			}
		}
		if first != "" {
			return first
		}
	}
	return ""
}

// checkSeat tries to take a seat over if its holder is not linked, or if it has no
// holder and no new instance has claimed it within vacancyGrace. The claimer takes a
// held seat only if the platform's list of instances shows that the holder is dead.
func (t *takeover) checkSeat(ctx context.Context, seat registrar.Seat) {
	holder, held := t.holder(seat)
	if held {
		delete(t.reservedUntil, seat)
	}
	if held && t.isLinked(holder) {
		return
	}
	if !held && !t.reservationEnded(seat) {
		return
	}
	taken, err := t.claimer.TakeOver(ctx, t.server.self, seat, time.Now())
	if err == nil {
		delete(t.reservedUntil, seat)
		t.server.useSeat(taken, "SeatInherited")
	}
}

// holder returns the incarnation that holds a seat according to the roster, or
// false if there is none.
func (t *takeover) holder(seat registrar.Seat) (string, bool) {
	if slices.Contains(t.server.seats.ids(), seat) {
		return t.server.self.Incarnation, true
	}
	for _, member := range t.server.roster.Load().Members() {
		if member.HeldSeat() == seat {
			return member.Incarnation, true
		}
	}
	return "", false
}

// isLinked reports whether an instance is this one or is linked. An instance that is
// not linked may be dead; only the platform's list of instances shows whether it is.
func (t *takeover) isLinked(incarnation string) bool {
	if incarnation == t.server.self.Incarnation {
		return true
	}
	_, linked := t.server.hub.Peer(incarnation)
	return linked
}

// reservationEnded reports whether the reservation of a seat without a holder has
// ended. The first call for a seat begins its reservation.
func (t *takeover) reservationEnded(seat registrar.Seat) bool {
	until, known := t.reservedUntil[seat]
	if !known {
		t.reservedUntil[seat] = time.Now().Add(vacancyGrace)
		return false
	}
	return !time.Now().Before(until)
}

// returnSeat releases one seat that was taken over, if a new instance in the seat's
// failure domain has none. This instance gives up the seat's parts of the limits first;
// the new holder waits until all loans from them have ended.
func (t *takeover) returnSeat(ctx context.Context) {
	for _, peer := range t.server.hub.Peers() {
		if !peer.Heartbeat.Seatless || peer.Heartbeat.Leaving {
			continue
		}
		for _, held := range t.server.seats.takenOver() {
			if held.Member.HeldSeat().Place == peer.Member.Place {
				t.release(ctx, held)
				return
			}
		}
	}
}

// release gives up a seat's parts of the limits, and then the seat.
func (t *takeover) release(ctx context.Context, held claimer.Held) {
	seat := held.Member.HeldSeat()
	kept := slices.DeleteFunc(t.server.seats.ids(), func(name registrar.Seat) bool { return name == seat })
	t.server.applier.SetSeats(kept, false, time.Now())
	t.server.releaseSeat(ctx, held)
	t.server.recordEvent("SeatGivenBack", seat.Name(), "")
}
