package server

import (
	"context"
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/prober"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
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

// keepSeat claims a seat as soon as the configuration has one, and sees to it
// that the platform's list is known to have shown its holder.
func (s *Server) keepSeat(ctx context.Context) error {
	backoff := retrier.NewBackoff(firstClaimMillis, longestClaimMillis)
	for s.held.Load() == nil {
		s.claim(ctx)
		if s.held.Load() == nil && backoff.Wait(ctx) != nil {
			return nil
		}
	}
	for {
		if s.confirm(ctx) || retrier.Sleep(ctx, listedInterval) != nil {
			return nil
		}
	}
}

// claim tries once to get a seat.
func (s *Server) claim(ctx context.Context) {
	place, declared := s.plans.Load().Table().Set().Places.Get(s.settings.Place)
	if !declared || s.leaving.Load() {
		return
	}
	held, err := s.claimer.Claim(ctx, s.self, place.Seats, time.Now())
	if err != nil {
		s.gauges.storeFaults.Inc(1)
		return
	}
	s.held.Store(&held)
	s.adopter.TakeSeat(held.Member.Seat, held.Used, time.Now())
	s.announce("SeatClaimed", registrar.SeatName(s.settings.Place, held.Member.Seat), "")
}

// confirm says whether nothing is left to confirm.
func (s *Server) confirm(ctx context.Context) bool {
	held := s.held.Load()
	if held.Member.Listed || s.leaving.Load() {
		return true
	}
	confirmed, err := s.claimer.Confirm(ctx, *held)
	if err != nil {
		s.gauges.storeFaults.Inc(1)
		return false
	}
	s.held.CompareAndSwap(held, &confirmed)
	return confirmed.Member.Listed
}

// leaveSeat marks the seat as leaving. Without an answer from the platform the
// peers still learn it from the beats.
func (s *Server) leaveSeat(ctx context.Context) {
	held := s.held.Load()
	if held == nil {
		return
	}
	if left, err := s.claimer.Leave(ctx, *held); err == nil {
		s.held.Store(&left)
	}
}

// releaseSeat gives the seat back once no request runs any more.
func (s *Server) releaseSeat(ctx context.Context) {
	held := s.held.Load()
	if held == nil {
		return
	}
	s.adopter.TakeSeat(-1, true, time.Now())
	if err := s.claimer.Release(ctx, *held); err != nil {
		s.announce("SeatNotReleased", registrar.SeatName(s.settings.Place, held.Member.Seat), err.Error())
	}
}

// probeUpstreams asks all upstreams for their health again and again.
func (s *Server) probeUpstreams(ctx context.Context) error {
	interval := time.Duration(s.settings.Upstreams.ProbeMillis) * time.Millisecond
	for {
		_ = s.prober.Round(ctx, s.plans.Load().Upstreams(), func(change prober.Change) {
			s.announce("Upstream"+change.After.String(), change.Upstream.Address(), "was "+change.Before.String())
		})
		if retrier.Sleep(ctx, interval) != nil {
			return nil
		}
	}
}

// suspected is told of an upstream that has just failed a request.
func (s *Server) suspected(upstream *admitter.Upstream, refusal *arbiter.Refusal) {
	s.gauges.suspicions.Inc(1)
	s.announce("UpstreamSuspect", upstream.Address(), fmt.Sprintf("%s: %s", refusal.Reason, refusal.Detail))
}
