package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// follow returns the followers of all that the platform tells, in the order of
// linker.Beat's Feeds.
func (s *Steerer) follow() [linker.MaxFeeds]follower {
	return [linker.MaxFeeds]follower{
		newFeeder(s, s.platform.Declarations, s.declared),
		newFeeder(s, s.platform.Registrations, s.registrationsListed),
		newFeeder(s, s.platform.Moves, s.movesListed),
		newFeeder(s, s.platform.Evacuations, s.evacuationsListed),
		newFeeder(s, s.platform.Members, s.membersListed),
	}
}

// declared takes in the operators' declaration.
func (s *Steerer) declared(entries []entry[declarer.Declaration], _ uint64) {
	for _, entry := range entries {
		s.adopt(entry.value)
	}
	s.fresh.Confirm(time.Now())
}

// registrationsListed takes in the upstreams.
func (s *Steerer) registrationsListed(entries []entry[registrar.Registration], revision uint64) {
	listed := make([]registrar.Registration, 0, len(entries))
	for _, entry := range entries {
		listed = append(listed, entry.value.WithName(entry.name))
	}
	s.register(listed)
	s.log.Info().Int("Upstreams", len(listed)).Uint64("Revision", revision).Msg("UpstreamsListed")
}

// evacuationsListed takes in the evacuated places.
func (s *Steerer) evacuationsListed(entries []entry[Evacuation], revision uint64) {
	places := make([]string, 0, len(entries))
	for _, entry := range entries {
		places = append(places, entry.name)
	}
	s.planning.Lock()
	defer s.planning.Unlock()
	s.replan(s.inputs.withEvacuated(places, time.Now()))
	s.log.Info().Strs("Places", places).Uint64("Revision", revision).Msg("EvacuationsListed")
}

// membersListed takes in the instances.
func (s *Steerer) membersListed(entries []entry[registrar.Member], revision uint64) {
	listed := make([]registrar.Member, 0, len(entries))
	for _, entry := range entries {
		listed = append(listed, entry.value)
	}
	s.setRoster(registrar.NewRoster(revision, listed...))
}

func (s *Steerer) storeAnswered() {
	lost := s.storeLostNanos.Swap(0)
	if lost == 0 {
		return
	}
	away := time.Since(time.Unix(0, lost))
	s.log.Info().Dur("AwayMillis", away).Msg("PlatformRegained")
	s.keepLapsed()
	s.hub.NudgePlace()
}

func (s *Steerer) storeFailed(err error) {
	if s.life.Work().Err() != nil {
		return
	}
	if errors.Is(err, storer.ErrCompacted) {
		s.log.Info().Err(err).Msg("HistoryLost")
		return
	}
	if s.storeLostNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		s.log.Warn().Err(err).Msg("PlatformLost")
		s.hub.NudgePlace()
	}
}

// sleep waits for a time and says whether ctx lives on.
func sleep(ctx context.Context, wait time.Duration) bool {
	return retrier.Sleep(ctx, wait) == nil
}
