package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
)

const (
	// longWait is how long a watch waits at most, and sentinelWait how long the
	// watches of the sentinel do. A watch may stay silent though something has
	// changed; the sentinel finds out, and the others hear of it over links.
	longWait     = 30 * time.Second
	sentinelWait = 2 * time.Second
)

// watchWait returns how long a watch of this instance waits at most.
func (s *Steerer) watchWait() time.Duration {
	if s.sentinel.Load() {
		return sentinelWait
	}
	return longWait
}

// chooseSentinel makes this instance the sentinel if it is the first of those that
// live, in the order of names, and lets another one be it.
func (s *Steerer) chooseSentinel() {
	first := s.storeLostNanos.Load() == 0 && !s.leaving.Load()
	able := func(beat linker.Beat) bool { return !beat.Leaving && !beat.StoreLost }
	first = first && s.linkedBefore(able) == 0
	if s.sentinel.Swap(first) == first || !first {
		return
	}
	s.log.Info().Msg("SentinelTaken")
	for _, follower := range s.followers {
		follower.renew()
	}
}
