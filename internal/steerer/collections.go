package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/assessor"
	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// newReflectors returns the reflectors of all collections on the platform. The index of a
// reflector is that of its collection in linker.Heartbeat's Feeds, so the order is part
// of the encoding.
func (s *Steerer) newReflectors() [linker.MaxCollections]reflector {
	declarations := retainer.New(plainRetention[declarer.Declaration]{}, keepMillis)
	registrations := retainer.New(registrationRetention{}, s.settings.Upstreams.LapseMillis)
	moves := retainer.New(moveRetention{}, keepMillis)
	evacuations := retainer.New(plainRetention[Evacuation]{}, keepMillis)
	members := retainer.New(plainRetention[registrar.Member]{}, keepMillis)
	return [linker.MaxCollections]reflector{
		newReflector(s, s.platform.Declarations, declarations, s.applyDeclarations).withOnView(s.confirmDeclaration),
		newReflector(s, s.platform.Registrations, registrations, s.applyRegistrations),
		newReflector(s, s.platform.Moves, moves, s.applyMoves),
		newReflector(s, s.platform.Evacuations, evacuations, s.applyEvacuations),
		newReflector(s, s.platform.Members, members, s.applyMembers),
	}
}

// applyDeclarations applies the operators' declaration.
func (s *Steerer) applyDeclarations(entries []retainer.Entry[declarer.Declaration], _ storer.Position) {
	for _, entry := range entries {
		s.offerDeclaration(entry.Value)
	}
}

// confirmDeclaration records that the declaration is confirmed to be the newest. It runs for
// each new view, whether from the platform or from a peer, but not when the platform answers
// that nothing has changed.
func (s *Steerer) confirmDeclaration() {
	s.freshness.Confirm(time.Now())
}

// applyRegistrations applies the registrations of upstreams.
func (s *Steerer) applyRegistrations(entries []retainer.Entry[registrar.Registration], position storer.Position) {
	listed := make([]registrar.Registration, 0, len(entries))
	var unlisted []string
	for _, entry := range entries {
		registration := entry.Value.WithName(entry.Name)
		listed = append(listed, registration)
		if entry.Kept {
			unlisted = append(unlisted, registration.Upstream.Name)
		}
	}
	s.setRegistrations(listed, unlisted)
	s.log.Info().Int("Upstreams", len(listed)).EmbedObject(loggedPosition(position)).Msg("UpstreamsListed")
}

// applyEvacuations applies the list of evacuated failure domains.
func (s *Steerer) applyEvacuations(entries []retainer.Entry[Evacuation], position storer.Position) {
	places := make([]string, 0, len(entries))
	for _, entry := range entries {
		places = append(places, entry.Name)
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.updatePlan(s.inputs.withEvacuatedPlaces(places, time.Now()))
	s.log.Info().Strs("Places", places).EmbedObject(loggedPosition(position)).Msg("EvacuationsListed")
}

// applyMembers applies the list of entry instances.
func (s *Steerer) applyMembers(entries []retainer.Entry[registrar.Member], position storer.Position) {
	listed := make([]registrar.Member, 0, len(entries))
	selfListed := false
	for _, entry := range entries {
		listed = append(listed, entry.Value)
		if entry.Value.Incarnation == s.self.Incarnation && !entry.Kept {
			selfListed = true
		}
	}
	s.selfListed.Store(selfListed)
	s.setRoster(registrar.NewRoster(position, listed...))
}

// storeAnswered handles an answer of the store, and ends an outage if there was one.
func (s *Steerer) storeAnswered() {
	s.contact.store.Confirm(time.Now())
	s.changeAvailability(assessor.Availability.WithAnswer)
}

// storeFailed handles a call with which the store was to be read and that has failed. The error
// storer.ErrCompacted is an answer: the platform no longer knows the changes since the view,
// so the watcher lists the objects again.
func (s *Steerer) storeFailed(err error) {
	if s.lifecycle.Work().Err() != nil {
		return
	}
	if errors.Is(err, storer.ErrCompacted) {
		s.log.Info().Err(err).Msg("HistoryLost")
		return
	}
	s.readFailures.Inc(1)
	s.storeMu.Lock()
	s.readError = err
	s.storeMu.Unlock()
	now := time.Now()
	s.changeAvailability(func(a assessor.Availability) assessor.Availability { return a.WithFailure(now) })
}

// refreshAvailability begins an outage if the store has not answered for some time after a call
// has failed.
func (s *Steerer) refreshAvailability(now time.Time) {
	s.changeAvailability(func(a assessor.Availability) assessor.Availability { return a.WithTime(now) })
}

// changeAvailability replaces what the calls to the store have shown by what next returns for it,
// and begins or ends an outage accordingly.
func (s *Steerer) changeAvailability(next func(assessor.Availability) assessor.Availability) {
	s.storeMu.Lock()
	before := s.storeAvailability.LostSince()
	s.storeAvailability = next(s.storeAvailability)
	since := s.storeAvailability.LostSince()
	if since.IsZero() {
		s.storeLostNanos.Store(0)
	} else {
		s.storeLostNanos.Store(since.UnixNano())
	}
	err := s.readError
	s.storeMu.Unlock()
	switch {
	case before.IsZero() && !since.IsZero():
		s.log.Warn().Dur("AwayMillis", time.Since(since)).Err(err).Msg("PlatformLost")
		s.hub.HeartbeatPlaceNow()
	case !before.IsZero() && since.IsZero():
		s.log.Info().Dur("AwayMillis", time.Since(before)).Msg("PlatformRegained")
		s.startRegistrationGrace()
		s.requestRecords()
		s.hub.HeartbeatPlaceNow()
	}
}

// sleep waits for a duration, and returns false if ctx has ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	return retrier.Sleep(ctx, wait) == nil
}
