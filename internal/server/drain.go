package server

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/internal/stopper"
)

// callTimeout bounds each call to the platform or to peers during a drain.
const callTimeout = 2 * time.Second

// drain shuts the instance down gracefully: it withdraws the instance from
// look-ups, accepts requests from callers with older look-up answers for the grace
// period, lets running requests finish, and releases the seats.
func (s *Server) drain(work context.Context, stopServing stopper.StopServing) {
	s.leaving.Store(true)
	s.recordEvent("DrainBegun", s.self.Incarnation, "")
	s.updateLocator()
	s.hub.HeartbeatNow()
	callWithTimeout(work, s.leaveSeats)
	serveUntil := time.Now().Add(time.Duration(s.settings.Drain.GraceMillis) * time.Millisecond)
	if !stopper.ServeThenStop(work, serveUntil, s.settings.Drain.LimitMillis, stopServing) {
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
