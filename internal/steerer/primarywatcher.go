package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
)

const (
	// maxWatchWait is the timeout of a watch, and primaryWatchWait that of a watch by the
	// primary watcher. A watch may miss a change and report nothing; the primary watcher
	// detects that early, and the other instances learn of the change over the links.
	maxWatchWait     = 30 * time.Second
	primaryWatchWait = 2 * time.Second
)

// watchWait returns the timeout of this instance's watches.
func (s *Steerer) watchWait() time.Duration {
	if s.primaryWatcher.Load() {
		return primaryWatchWait
	}
	return maxWatchWait
}

// updatePrimaryWatcher makes this instance the primary watcher if it is the first in
// the order of names among the instances that are not leaving and that the platform
// answers. Otherwise the instance gives up the role.
func (s *Steerer) updatePrimaryWatcher() {
	first := s.storeLostNanos.Load() == 0 && !s.leaving.Load()
	eligible := func(heartbeat linker.Heartbeat) bool { return !heartbeat.Leaving && !heartbeat.StoreLost }
	first = first && s.countLinkedBefore(eligible) == 0
	if s.primaryWatcher.Swap(first) == first || !first {
		return
	}
	s.log.Info().Msg("SentinelTaken")
	for _, reflector := range s.reflectors {
		reflector.restartWatch()
	}
}
