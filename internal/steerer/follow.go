package steerer

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// follow calls update with each new view of a feed until ctx ends.
func follow[T any](ctx context.Context, s *Steerer, feed Feed[T], update func(watcher.View[T])) error {
	reader := storer.NewTyped(s.platform.Store, feed.Codec)
	always := func() bool { return true }
	pause := time.Duration(feed.PauseMillis) * time.Millisecond
	return watcher.New[T](reader, feed.Prefix, always).WithPause(pause).Run(ctx, func(view watcher.View[T]) {
		s.storeAnswered()
		update(view)
	}, s.storeAnswered, s.storeFailed)
}

// followDeclarations follows the operators' declaration.
func (s *Steerer) followDeclarations(ctx context.Context) error {
	return follow(ctx, s, s.platform.Declarations, func(view watcher.View[Read[declarer.Declaration]]) {
		for _, object := range view.Objects {
			if s.usable(object.Name, object.Revision, object.Value.Fault) {
				s.adopt(object.Value.Value, "platform")
			}
		}
		s.fresh.Confirm(time.Now())
	})
}

// followRegistrations follows the upstreams.
func (s *Steerer) followRegistrations(ctx context.Context) error {
	feed := s.platform.Registrations
	return follow(ctx, s, feed, func(view watcher.View[Read[registrar.Registration]]) {
		listed := make([]registrar.Registration, 0, len(view.Objects))
		for _, object := range view.Objects {
			if s.usable(object.Name, object.Revision, object.Value.Fault) {
				name := strings.TrimPrefix(object.Name, feed.Prefix)
				listed = append(listed, object.Value.Value.WithName(name))
			}
		}
		s.register(listed)
		s.log.Info().Int("Upstreams", len(listed)).Uint64("Revision", view.Revision).Msg("UpstreamsListed")
	})
}

// followMoves follows the moves that operators ask for.
func (s *Steerer) followMoves(ctx context.Context) error {
	return follow(ctx, s, s.platform.Moves, func(view watcher.View[Read[declarer.Move]]) {
		var moves []declarer.Move
		for _, object := range view.Objects {
			if s.usable(object.Name, object.Revision, object.Value.Fault) {
				moves = append(moves, object.Value.Value)
			}
		}
		s.planning.Lock()
		defer s.planning.Unlock()
		s.replan(s.inputs.withMoves(moves))
		s.log.Info().Int("Moves", len(moves)).Uint64("Revision", view.Revision).Msg("MovesListed")
	})
}

// followEvacuations follows the evacuated places.
func (s *Steerer) followEvacuations(ctx context.Context) error {
	feed := s.platform.Evacuations
	return follow(ctx, s, feed, func(view watcher.View[Read[Evacuation]]) {
		var places []string
		for _, object := range view.Objects {
			places = append(places, strings.TrimPrefix(object.Name, feed.Prefix))
		}
		s.planning.Lock()
		defer s.planning.Unlock()
		s.replan(s.inputs.withEvacuated(places))
		s.log.Info().Strs("Places", places).Uint64("Revision", view.Revision).Msg("EvacuationsListed")
	})
}

// usable says whether an object that somebody else wrote can be used, and logs why
// if it cannot.
func (s *Steerer) usable(name string, revision uint64, fault error) bool {
	if fault == nil {
		return true
	}
	s.log.Warn().Str("Object", name).Uint64("Revision", revision).Err(fault).Msg("ObjectUnusable")
	return false
}

func (s *Steerer) storeAnswered() {
	lost := s.storeLostNanos.Swap(0)
	if lost == 0 {
		return
	}
	away := time.Since(time.Unix(0, lost))
	s.log.Info().Dur("AwayMillis", away).Msg("PlatformRegained")
	s.planning.Lock()
	defer s.planning.Unlock()
	s.lapsesAt = time.Now().Add(time.Duration(s.settings.Upstreams.LapseMillis) * time.Millisecond)
}

func (s *Steerer) storeFailed(err error) {
	if s.work.Err() != nil {
		return
	}
	if errors.Is(err, storer.ErrCompacted) {
		s.log.Info().Err(err).Msg("HistoryLost")
		return
	}
	if s.storeLostNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		s.log.Warn().Err(err).Msg("PlatformLost")
	}
}
