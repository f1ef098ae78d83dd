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
	// minClaimBackoffMillis and maxClaimBackoffMillis bound the delay between two
	// attempts to claim a seat, in milliseconds.
	minClaimBackoffMillis = 100
	maxClaimBackoffMillis = 2000
	// listedPollInterval is the time between two reads of the platform's list of
	// instances until it shows this one.
	listedPollInterval = 2 * time.Second
)

// heldSeats are the seats that an instance holds: its own first, then those that it
// has taken over. It is safe for concurrent use.
type heldSeats struct {
	mutex sync.Mutex
	held  []claimer.Held
}

// own returns the instance's own seat, or nil if it holds none.
func (s *heldSeats) own() *claimer.Held {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.held) == 0 {
		return nil
	}
	own := s.held[0]
	return &own
}

// all returns all seats held.
func (s *heldSeats) all() []claimer.Held {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.held)
}

// takenOver returns the seats taken over from other instances.
func (s *heldSeats) takenOver() []claimer.Held {
	all := s.all()
	return all[min(len(all), 1):]
}

// put adds a seat, or replaces its value and the store's revision if it is held.
func (s *heldSeats) put(held claimer.Held) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := slices.IndexFunc(s.held, func(known claimer.Held) bool {
		return known.Member.HeldSeat() == held.Member.HeldSeat()
	})
	if at >= 0 {
		s.held[at] = held
	} else {
		s.held = append(s.held, held)
	}
}

// remove removes a seat.
func (s *heldSeats) remove(seat registrar.Seat) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held = slices.DeleteFunc(s.held, func(known claimer.Held) bool {
		return known.Member.HeldSeat() == seat
	})
}

// ids returns the failure domain and number of each seat held.
func (s *heldSeats) ids() []registrar.Seat {
	var ids []registrar.Seat
	for _, held := range s.all() {
		ids = append(ids, held.Member.HeldSeat())
	}
	return ids
}

// acquireSeat claims a seat as soon as the configuration declares seats here, and
// then marks it as listed as soon as the platform's list shows this instance.
func (s *Server) acquireSeat(ctx context.Context) error {
	backoff := retrier.NewBackoff(minClaimBackoffMillis, maxClaimBackoffMillis)
	for s.seats.own() == nil {
		if !s.tryClaim(ctx) {
			// The platform was not called; only failed calls increase the delay.
			backoff.Reset()
		}
		if s.seats.own() == nil && backoff.Wait(ctx) != nil {
			return nil
		}
	}
	for {
		if s.markListed(ctx) || retrier.Sleep(ctx, listedPollInterval) != nil {
			return nil
		}
	}
}

// tryClaim tries once to claim a seat. It returns false if it has not called the
// platform: while the failure domain is not declared, or once the instance is leaving.
func (s *Server) tryClaim(ctx context.Context) bool {
	place, declared := s.plans.Load().Table().Set().Places.Get(s.settings.Place)
	if !declared || s.leaving.Load() {
		return false
	}
	held, err := s.claimer.Claim(ctx, s.self, place.Seats, time.Now())
	if err != nil {
		s.metrics.storeFaults.Inc(1)
		return true
	}
	s.useSeat(held, "SeatClaimed")
	return true
}

// useSeat puts a seat that was claimed or taken over in use: it applies the seat's parts
// of the limits and notifies the peers.
func (s *Server) useSeat(held claimer.Held, kind string) {
	s.seats.put(held)
	s.applier.SetSeats(s.seats.ids(), held.Used, time.Now())
	s.hub.HeartbeatNow()
	s.recordEvent(kind, held.Member.HeldSeat().Name(), "")
}

// markListed marks the own seat as listed if the platform's list shows this instance. It
// returns true once nothing is left to do: the seat is marked, or the instance holds
// none or is leaving.
func (s *Server) markListed(ctx context.Context) bool {
	held := s.seats.own()
	if held == nil || held.Member.Listed || s.leaving.Load() {
		return true
	}
	marked, err := s.claimer.MarkListed(ctx, *held)
	if err != nil {
		s.metrics.storeFaults.Inc(1)
		return false
	}
	s.seats.put(marked)
	return marked.Member.Listed
}

// markSeatsLeaving marks the seats as leaving. If the platform does not answer, the
// peers still learn it from the heartbeats.
func (s *Server) markSeatsLeaving(ctx context.Context) {
	for _, held := range s.seats.all() {
		if left, err := s.claimer.MarkLeaving(ctx, held); err == nil {
			s.seats.put(left)
		}
	}
}

// releaseSeats releases all seats. It is called once no request runs any more.
func (s *Server) releaseSeats(ctx context.Context) {
	// Without seats all parts of the limits become zero at once.
	s.applier.SetSeats(nil, true, time.Now())
	for _, held := range s.seats.all() {
		s.releaseSeat(ctx, held)
	}
}

// releaseSeat releases one seat. The caller has made sure that the seat's parts of the
// limits are no longer in use.
func (s *Server) releaseSeat(ctx context.Context, held claimer.Held) {
	s.seats.remove(held.Member.HeldSeat())
	if err := s.claimer.Release(ctx, held); err != nil {
		s.recordEvent("SeatNotReleased", held.Member.HeldSeat().Name(), err.Error())
	}
}
