package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// watchersPerPlace is how many instances in a failure domain watch the platform. The
// others receive changes from them, so that the number of calls to the platform grows
// with the number of failure domains and not with that of instances.
const watchersPerPlace = 2

// updateWatching decides whether this instance watches the platform. It does if it is
// among the first watchersPerPlace instances of its failure domain, in the order of
// names, that are alive and that the platform answers. An instance that the platform
// does not answer keeps trying.
func (s *Steerer) updateWatching() {
	watching := s.storeLostNanos.Load() != 0 || s.countWatchersBefore() < watchersPerPlace
	if s.roster.Load().Position().IsZero() {
		// The peers of this instance are not known yet.
		watching = false
	}
	if s.watching.Swap(watching) == watching {
		return
	}
	s.log.Info().Bool("Watching", watching).Msg("WatchingChanged")
	for _, reflector := range s.reflectors {
		reflector.recheckWatch()
	}
}

// countWatchersBefore returns how many instances of the same failure domain take
// precedence over this one in watching the platform.
func (s *Steerer) countWatchersBefore() int {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	before := 0
	for member := range s.otherMembers() {
		if member.Place != s.self.Place || member.Name > s.self.Name {
			continue
		}
		if heartbeat, alive := s.isAlive(member); alive && !heartbeat.StoreLost {
			before++
		}
	}
	return before
}

// receivesFrom reports whether this instance receives changes from a peer instead of
// the platform.
func (s *Steerer) receivesFrom(peer registrar.Member) bool {
	return !s.watching.Load() && peer.Place == s.self.Place
}

// viewFetched handles the arrival of a newer view from a peer. If this instance receives
// its changes from the peer, and the peer's last heartbeat said that the platform did not
// answer it, the view shows that the platform answers again, before the peer's next
// heartbeat does. Registrations may have expired during the outage.
func (s *Steerer) viewFetched(peer registrar.Member) {
	known, linked := s.hub.Peer(peer.Incarnation)
	if linked && known.Heartbeat.StoreLost && s.receivesFrom(peer) {
		s.startRegistrationGrace()
	}
}

// startRegistrationGrace starts the grace period after an outage of the platform. In it,
// upstreams whose registrations have expired during the outage are kept, so that those
// that are alive can register again. Each one is kept for no longer than that after the view
// that first lacked it (see retainer.Grace).
func (s *Steerer) startRegistrationGrace() {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.registrationGrace = s.registrationGrace.WithOutageEnded(time.Now())
	s.keepsRegistrations = true
}
