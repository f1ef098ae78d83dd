package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// deregisterTimeout bounds the call to the platform during a drain.
const deregisterTimeout = time.Second

// drain stops the instance gracefully. It withdraws the instance from look-ups, accepts
// requests for a grace period from callers that hold older look-up answers, and then
// finishes the requests in flight.
func (s *Steerer) drain(work context.Context, stopServing stopper.StopServing) {
	s.leaving.Store(true)
	s.callerServer.AnnounceClose()
	s.log.Info().Int("InFlight", s.inFlight.Count()).Msg("DrainBegun")
	s.updateLocator()
	s.hub.HeartbeatNow()
	serveUntil := time.Now().Add(time.Duration(s.settings.Drain.GraceMillis) * time.Millisecond)
	s.deregister(work)
	if !stopper.ServeThenStop(work, serveUntil, s.settings.Drain.LimitMillis, stopServing) {
		return
	}
	s.log.Info().Int("InFlight", s.inFlight.Count()).Msg("DrainEnded")
}

// deregister removes this instance's entry from the platform. If that fails, another
// instance removes the entry later.
func (s *Steerer) deregister(work context.Context) {
	ctx, cancel := context.WithTimeout(work, deregisterTimeout)
	defer cancel()
	err := s.memberStore().Delete(ctx, s.entryName(s.self.Name), storer.Always())
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		s.log.Warn().Err(err).Msg("EntryKept")
	}
}
