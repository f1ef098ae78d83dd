package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// deregisterTimeout bounds the call to the platform during a drain.
const deregisterTimeout = time.Second

// drain stops the instance gracefully. It withdraws the instance from lookups, accepts
// requests for a grace period from callers that hold older lookup answers, as far as the
// answers are expected before the end of the drain, and then finishes the requests in flight.
func (s *Steerer) drain(work context.Context, stopServing stopper.StopServing) {
	begun := time.Now()
	schedule := drainer.NewSchedule(begun, s.settings.Drain.GraceMillis, s.settings.Drain.LimitMillis).
		WithKill(begun, s.settings.Drain.KillSeconds)
	s.drainer.Begin(schedule)
	s.wakeQueues()
	if !schedule.CloseBy.IsZero() {
		s.listeners.callers.Lingering.LimitLinger(schedule.CloseBy)
	}
	s.leaving.Store(true)
	s.callerServer.AnnounceClose()
	s.log.Info().
		Int("InFlight", s.inFlight.Count()).
		Time("ServeUntil", schedule.ServeUntil).
		Time("End", schedule.End).
		Msg("DrainBegun")
	s.updateLocator()
	s.hub.HeartbeatNow()
	s.deregister(work)
	if !stopper.ServeThenStop(work, schedule, stopServing) {
		// The work has ended early and the requests are aborted; the drain is not complete.
		return
	}
	s.log.Info().Int("InFlight", s.inFlight.Count()).Msg("DrainEnded")
}

// deregister removes this instance's entry from the platform. If that fails, the first
// instance by name removes it once this one counts as dead.
func (s *Steerer) deregister(work context.Context) {
	ctx, cancel := context.WithTimeout(work, deregisterTimeout)
	defer cancel()
	err := s.memberStore().Delete(ctx, s.entryName(s.self.Name), storer.Always())
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		s.log.Warn().Err(err).Msg("EntryKept")
	}
}
