package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// watchersOfPlace is how many instances of a place watch the platform. The others hear
// of changes from them, so that calls to the platform grow with places and not with
// instances.
const watchersOfPlace = 2

// chooseWatching decides whether this instance watches the platform: if it is among
// the first of its place, in the order of names, that live and that the platform
// answers. One that the platform does not answer goes on trying.
func (s *Steerer) chooseWatching() {
	watching := s.storeLostNanos.Load() != 0 || s.watchersBefore() < watchersOfPlace
	if s.roster.Load().Revision() == 0 {
		// Its peers are not known yet.
		watching = false
	}
	if s.watching.Swap(watching) != watching {
		s.log.Info().Bool("Watching", watching).Msg("WatchingChanged")
	}
}

// watchersBefore returns how many instances of the own place come before this one in
// watching the platform.
func (s *Steerer) watchersBefore() int {
	s.locating.Lock()
	defer s.locating.Unlock()
	before := 0
	for _, member := range s.others() {
		if member.Place != s.self.Place || member.Name > s.self.Name {
			continue
		}
		if beat, alive := s.alive(member); alive && !beat.StoreLost {
			before++
		}
	}
	return before
}

// follows says whether this instance hears of changes from a peer, and not from the
// platform.
func (s *Steerer) follows(peer registrar.Member) bool {
	return !s.watching.Load() && peer.Place == s.self.Place
}

// noteRelay takes in that a peer has told what the platform says. If the platform had
// not answered that peer, it has just come back.
func (s *Steerer) noteRelay(peer registrar.Member) {
	known, linked := s.hub.Peer(peer.Incarnation)
	if linked && known.Beat.StoreLost && s.follows(peer) {
		s.keepLapsed()
	}
}

// keepLapsed keeps the upstreams that the platform has forgotten while it was away,
// until those that live have come back.
func (s *Steerer) keepLapsed() {
	s.planning.Lock()
	defer s.planning.Unlock()
	s.lapsesAt = time.Now().Add(time.Duration(s.settings.Upstreams.LapseMillis) * time.Millisecond)
}
