package server

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// storeLimit bounds the calls to the platform during a drain.
const storeLimit = 2 * time.Second

// drain is the graceful stop: leave the look-ups, take requests of callers with
// older answers for a while, finish what runs, give the seat back.
func (s *Server) drain(work context.Context, stopServing func(context.Context)) {
	s.leaving.Store(true)
	s.announce("DrainBegun", s.self.Incarnation, "")
	s.relocate()
	s.hub.Nudge()
	s.callStore(work, s.leaveSeat)
	grace := time.Duration(s.settings.Drain.GraceMillis) * time.Millisecond
	if retrier.Sleep(work, grace) != nil {
		stopServing(work)
		return
	}
	limit := time.Duration(s.settings.Drain.LimitMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(work, limit)
	defer cancel()
	stopServing(ctx)
	s.callStore(work, s.releaseSeat)
	s.announce("DrainEnded", s.self.Incarnation, "")
}

func (s *Server) callStore(work context.Context, call func(context.Context)) {
	ctx, cancel := context.WithTimeout(work, storeLimit)
	defer cancel()
	call(ctx)
}
