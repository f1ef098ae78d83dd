package memstorer

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Faults are the faults that the store simulates. The zero value is a healthy store.
type Faults struct {
	// Down fails every call as unavailable before it runs.
	Down bool
	// DelayMillis is the delay before every call, in milliseconds.
	DelayMillis int
	// LoseAnswers is how many of the next writes take effect but return an error.
	LoseAnswers int
}

// WithDown returns a copy with that value of Down.
func (f Faults) WithDown(down bool) Faults {
	f.Down = down
	return f
}

// WithDelayMillis returns a copy that delays every call, in milliseconds.
func (f Faults) WithDelayMillis(delay int) Faults {
	f.DelayMillis = delay
	return f
}

// WithLoseAnswers returns a copy that loses the answers to the next writes, as many as
// given.
func (f Faults) WithLoseAnswers(writes int) Faults {
	f.LoseAnswers = writes
	return f
}

// SetFaults replaces the simulated faults and wakes the waiting watches, so that they
// fail if the store is down now.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// countFunc increments the counters that a kind of call belongs to.
type countFunc func(calls *Calls)

func countRead(calls *Calls)  { calls.Reads++ }
func countWrite(calls *Calls) { calls.Writes++ }

func countWatch(prefix string) countFunc {
	return func(calls *Calls) {
		calls.Watches++
		calls.WatchesOf[prefix]++
	}
}

// currentFaults returns the simulated faults.
func (s *Store) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// beginCall counts a call and simulates the faults that occur before it runs.
func (s *Store) beginCall(ctx context.Context, call string, count countFunc) error {
	s.mutex.Lock()
	count(&s.calls)
	faults := s.faults
	s.mutex.Unlock()
	if faults.Down {
		return notRunError(call, storer.ErrUnavailable)
	}
	if faults.DelayMillis == 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(faults.DelayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return notRunError(call, storer.ErrUnavailable)
	}
}

// endWrite simulates the faults that occur after a write took effect.
func (s *Store) endWrite(call string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return &storer.Error{
		Call:    call,
		Verdict: arbiter.MayHaveRun,
		Err:     storer.ErrUnavailable,
	}
}
