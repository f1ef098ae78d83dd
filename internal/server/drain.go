package server

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/internal/stopper"
)

// callLimit bounds each call to the platform and to peers during a drain.
const callLimit = 2 * time.Second

// drain is the graceful stop: leave the look-ups, take requests of callers with
// older answers for a while, finish what runs, give the seat back.
func (s *Server) drain(work context.Context, stopServing stopper.StopServing) {
	s.leaving.Store(true)
	s.announce("DrainBegun", s.self.Incarnation, "")
	s.relocate()
	s.hub.Nudge()
	within(work, s.leaveSeats)
	serveUntil := time.Now().Add(time.Duration(s.settings.Drain.GraceMillis) * time.Millisecond)
	if !stopper.Finish(work, serveUntil, s.settings.Drain.LimitMillis, stopServing) {
		return
	}
	s.announce("DrainEnded", s.self.Incarnation, "")
	// The peers end their links once the seat is gone, so the copies go first.
	within(work, s.copier.Flush)
	within(work, s.releaseSeats)
}

// within makes a call with a bounded time.
func within(work context.Context, call func(context.Context)) {
	ctx, cancel := context.WithTimeout(work, callLimit)
	defer cancel()
	call(ctx)
}
