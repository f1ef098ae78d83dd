package server

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
)

// callTimeout bounds each call to the platform or to peers during a drain.
const callTimeout = 2 * time.Second

// drain shuts the instance down gracefully: it withdraws the instance from lookups,
// accepts requests from callers with older lookup answers for the grace period, lets
// running requests finish, and releases the seats.
func (s *Server) drain(work context.Context, stopServing stopper.StopServing) {
	begun := time.Now()
	s.leaving.Store(true)
	s.recordEvent("DrainBegun", s.self.Incarnation, "")
	s.updateLocator()
	s.hub.HeartbeatNow()
	callWithTimeout(work, s.markSeatsLeaving)
	schedule := drainer.NewSchedule(time.Now(), s.settings.Drain.GraceMillis, s.settings.Drain.LimitMillis).
		WithKill(begun, s.settings.Drain.KillSeconds)
	s.drainer.Begin(schedule)
	if !schedule.CloseBy.IsZero() {
		s.listeners.callers.Lingering.LimitLinger(schedule.CloseBy)
	}
	if !stopper.ServeThenStop(work, schedule, stopServing) {
		// The work has ended early and the requests are aborted; the platform is not
		// called any more.
		return
	}
	s.recordEvent("DrainEnded", s.self.Incarnation, "")
	// Peers close their links once the seat is released, so the events are copied
	// before that.
	callWithTimeout(work, s.replicator.Flush)
	callWithTimeout(work, s.releaseSeats)
}

// callWithTimeout calls a function with a context that ends after callTimeout.
func callWithTimeout(work context.Context, call func(context.Context)) {
	ctx, cancel := context.WithTimeout(work, callTimeout)
	defer cancel()
	call(ctx)
}
