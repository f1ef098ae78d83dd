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
	// inheritInterval is the time between two looks at seats without a live holder.
	inheritInterval = 500 * time.Millisecond
	// vacancyLimit is how long a seat that nobody holds is left to a newcomer.
	vacancyLimit = 5 * time.Second
)

// heir decides which seats this instance takes over. Used by one goroutine.
type heir struct {
	server  *Server
	claimer *claimer.Claimer
	// vacantUntil holds, for each seat that nobody holds, until when it is left to a
	// newcomer.
	vacantUntil map[registrar.Seat]time.Time
}

// inheritSeats takes over the seats of dead instances, so that their parts of the
// limits are not lost, and gives them back to newcomers.
func (s *Server) inheritSeats(ctx context.Context) error {
	h := &heir{
		server:      s,
		claimer:     s.newClaimer(),
		vacantUntil: map[registrar.Seat]time.Time{},
	}
	for retrier.Sleep(ctx, inheritInterval) == nil {
		if s.seats.own() == nil || s.leaving.Load() {
			continue
		}
		h.giveBack(ctx)
		h.takeOver(ctx)
	}
	return nil
}

// takeOver inherits the seats that it falls to this instance to look after.
func (h *heir) takeOver(ctx context.Context) {
	set := h.server.plans.Load().Table().Set()
	for place := range set.Places.All() {
		if h.guardian(set, place.Name) != h.server.self.Incarnation {
			continue
		}
		for number := range place.Seats {
			h.consider(ctx, registrar.Seat{
				Place:  place.Name,
				Number: number,
			})
		}
	}
}

// isGuardian says whether it falls to this instance to do what one instance is to
// do for all: the first of those that it knows to live. Instances that disagree
// both do it; what they do is ordered by the store.
func (s *Server) isGuardian() bool {
	for _, member := range s.present() {
		if member.Incarnation < s.self.Incarnation {
			return false
		}
	}
	return !s.leaving.Load()
}

// guardian returns the incarnation that looks after a place's seats: the first of
// the live instances in the place, or in the next place that has any. Instances
// that disagree race, and the store lets one win.
func (h *heir) guardian(set declarer.Set, place string) string {
	places := set.Places.Rows()
	at := slices.IndexFunc(places, func(row declarer.Place) bool { return row.Name == place })
	live := h.server.present()
	for i := range places {
		name := places[(at+i)%len(places)].Name
		first := ""
		for _, member := range live {
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

// consider inherits a seat if its holder is dead, or if nobody holds it and no
// newcomer has come for it in time.
func (h *heir) consider(ctx context.Context, seat registrar.Seat) {
	holder, held := h.holder(seat)
	if held {
		delete(h.vacantUntil, seat)
	}
	if held && h.alive(holder) {
		return
	}
	if !held && !h.overdue(seat) {
		return
	}
	taken, err := h.claimer.Inherit(ctx, h.server.self, seat, time.Now())
	if err == nil {
		delete(h.vacantUntil, seat)
		h.server.takeSeat(taken, "SeatInherited")
	}
}

// holder returns who holds a seat, as far as the roster tells.
func (h *heir) holder(seat registrar.Seat) (string, bool) {
	if slices.Contains(h.server.seats.names(), seat) {
		return h.server.self.Incarnation, true
	}
	for _, member := range h.server.roster.Load().Members() {
		if member.HeldSeat() == seat {
			return member.Incarnation, true
		}
	}
	return "", false
}

// alive says whether an instance is linked. One that is not may be dead: only the
// platform's list can tell.
func (h *heir) alive(incarnation string) bool {
	if incarnation == h.server.self.Incarnation {
		return true
	}
	_, linked := h.server.hub.Peer(incarnation)
	return linked
}

func (h *heir) overdue(seat registrar.Seat) bool {
	until, known := h.vacantUntil[seat]
	if !known {
		h.vacantUntil[seat] = time.Now().Add(vacancyLimit)
		return false
	}
	return !time.Now().Before(until)
}

// giveBack releases an inherited seat to a newcomer in the seat's place. The parts
// go first, and what was lent from them is waited out by the newcomer.
func (h *heir) giveBack(ctx context.Context) {
	for _, peer := range h.server.hub.Peers() {
		if !peer.Beat.Seatless || peer.Beat.Leaving {
			continue
		}
		for _, held := range h.server.seats.inherited() {
			if held.Member.HeldSeat().Place == peer.Member.Place {
				h.giveUp(ctx, held)
				return
			}
		}
	}
}

func (h *heir) giveUp(ctx context.Context, held claimer.Held) {
	seat := held.Member.HeldSeat()
	kept := slices.DeleteFunc(h.server.seats.names(), func(name registrar.Seat) bool { return name == seat })
	h.server.adopter.TakeSeats(kept, false, time.Now())
	h.server.releaseSeat(ctx, held)
	h.server.announce("SeatGivenBack", seat.Name(), "")
}
