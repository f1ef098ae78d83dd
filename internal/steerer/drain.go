package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// leaveLimit bounds the call to the platform during a drain.
const leaveLimit = time.Second

// drain is the graceful stop: leave the look-ups, take requests of callers with
// older answers for a while, finish what runs.
func (s *Steerer) drain(work context.Context, stopServing stopper.StopServing) {
	s.leaving.Store(true)
	s.callers.Leave()
	s.log.Info().Int("InFlight", s.flights.Count()).Msg("DrainBegun")
	s.locate()
	s.hub.Nudge()
	serveUntil := time.Now().Add(time.Duration(s.settings.Drain.GraceMillis) * time.Millisecond)
	s.leave(work)
	if !stopper.Finish(work, serveUntil, s.settings.Drain.LimitMillis, stopServing) {
		return
	}
	s.log.Info().Int("InFlight", s.flights.Count()).Msg("DrainEnded")
}

// leave removes this instance's entry. If that fails, the others remove it later.
func (s *Steerer) leave(work context.Context) {
	ctx, cancel := context.WithTimeout(work, leaveLimit)
	defer cancel()
	err := s.members().Delete(ctx, s.entryName(s.self.Name), storer.Always())
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		s.log.Warn().Err(err).Msg("EntryKept")
	}
}
