package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/claimer"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// firstClaimMillis and longestClaimMillis space the tries to get a seat.
	firstClaimMillis   = 100
	longestClaimMillis = 2000
	// listedInterval is the time between two looks at the platform's list until it
	// shows this instance.
	listedInterval = 2 * time.Second
)

// seats are the seats that an instance holds: its own first, then those that it
// has taken over. Safe for many goroutines.
type seats struct {
	holding sync.Mutex
	held    []claimer.Held
}

// own returns the instance's own seat, or nil.
func (s *seats) own() *claimer.Held {
	s.holding.Lock()
	defer s.holding.Unlock()
	if len(s.held) == 0 {
		return nil
	}
	own := s.held[0]
	return &own
}

// all returns the seats held.
func (s *seats) all() []claimer.Held {
	s.holding.Lock()
	defer s.holding.Unlock()
	return slices.Clone(s.held)
}

// inherited returns the seats that were taken over.
func (s *seats) inherited() []claimer.Held {
	all := s.all()
	return all[min(len(all), 1):]
}

// put adds a seat, or a newer revision of one that is held.
func (s *seats) put(held claimer.Held) {
	s.holding.Lock()
	defer s.holding.Unlock()
	at := slices.IndexFunc(s.held, func(known claimer.Held) bool {
		return known.Member.HeldSeat() == held.Member.HeldSeat()
	})
	if at >= 0 {
		s.held[at] = held
	} else {
		s.held = append(s.held, held)
	}
}

// remove drops a seat.
func (s *seats) remove(seat registrar.Seat) {
	s.holding.Lock()
	defer s.holding.Unlock()
	s.held = slices.DeleteFunc(s.held, func(known claimer.Held) bool {
		return known.Member.HeldSeat() == seat
	})
}

// names returns which seats are held.
func (s *seats) names() []registrar.Seat {
	var names []registrar.Seat
	for _, held := range s.all() {
		names = append(names, held.Member.HeldSeat())
	}
	return names
}

// keepSeat claims a seat as soon as the configuration has one, and sees to it
// that the platform's list is known to have shown its holder.
func (s *Server) keepSeat(ctx context.Context) error {
	backoff := retrier.NewBackoff(firstClaimMillis, longestClaimMillis)
	for s.seats.own() == nil {
		if !s.claim(ctx) {
			// Nothing was asked of the platform; only its failures are spaced out.
			backoff.Reset()
		}
		if s.seats.own() == nil && backoff.Wait(ctx) != nil {
			return nil
		}
	}
	for {
		if s.confirmListed(ctx) || retrier.Sleep(ctx, listedInterval) != nil {
			return nil
		}
	}
}

// claim tries once to get a seat, and says whether the platform was asked.
func (s *Server) claim(ctx context.Context) bool {
	place, declared := s.plans.Load().Table().Set().Places.Get(s.settings.Place)
	if !declared || s.leaving.Load() {
		return false
	}
	held, err := s.claimer.Claim(ctx, s.self, place.Seats, time.Now())
	if err != nil {
		s.gauges.storeFaults.Inc(1)
		return true
	}
	s.takeSeat(held, "SeatClaimed")
	return true
}

// takeSeat records a seat that was claimed.
func (s *Server) takeSeat(held claimer.Held, kind string) {
	s.seats.put(held)
	s.adopter.TakeSeats(s.seats.names(), held.Used, time.Now())
	s.hub.Nudge()
	s.announce(kind, held.Member.HeldSeat().Name(), "")
}

// confirmListed says whether nothing is left to confirm.
func (s *Server) confirmListed(ctx context.Context) bool {
	held := s.seats.own()
	if held == nil || held.Member.Listed || s.leaving.Load() {
		return true
	}
	confirmed, err := s.claimer.Confirm(ctx, *held)
	if err != nil {
		s.gauges.storeFaults.Inc(1)
		return false
	}
	s.seats.put(confirmed)
	return confirmed.Member.Listed
}

// leaveSeats marks the seats as leaving. Without an answer from the platform the
// peers still learn it from the beats.
func (s *Server) leaveSeats(ctx context.Context) {
	for _, held := range s.seats.all() {
		if left, err := s.claimer.Leave(ctx, held); err == nil {
			s.seats.put(left)
		}
	}
}

// releaseSeats gives all seats back once no request runs any more.
func (s *Server) releaseSeats(ctx context.Context) {
	s.adopter.TakeSeats(nil, true, time.Now())
	for _, held := range s.seats.all() {
		s.releaseSeat(ctx, held)
	}
}

// releaseSeat gives one seat back, whose parts are in use no longer.
func (s *Server) releaseSeat(ctx context.Context, held claimer.Held) {
	s.seats.remove(held.Member.HeldSeat())
	if err := s.claimer.Release(ctx, held); err != nil {
		s.announce("SeatNotReleased", held.Member.HeldSeat().Name(), err.Error())
	}
}
