package keeper

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Faults are the ways in which the store can fail. The zero value is a healthy
// store.
type Faults struct {
	// Down refuses every call.
	Down bool
	// DelayMillis holds every call back, in milliseconds.
	DelayMillis int
	// LoseAnswers is how many of the next writes take effect and are then answered
	// with an error.
	LoseAnswers int
}

// WithDown returns a copy that refuses every call, or does not.
func (f Faults) WithDown(down bool) Faults {
	f.Down = down
	return f
}

// WithDelayMillis returns a copy that holds calls back.
func (f Faults) WithDelayMillis(delay int) Faults {
	f.DelayMillis = delay
	return f
}

// WithLoseAnswers returns a copy that loses the answers to that many writes.
func (f Faults) WithLoseAnswers(writes int) Faults {
	f.LoseAnswers = writes
	return f
}

// SetFaults replaces the faults in force and wakes the waiting watches.
func (k *Keeper) SetFaults(faults Faults) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.faults = faults
	close(k.changed)
	k.changed = make(chan struct{})
}

// counter adds a call to the right count.
type counter func(calls *Calls)

func countRead(calls *Calls)  { calls.Reads++ }
func countWrite(calls *Calls) { calls.Writes++ }

func countWatch(prefix string) counter {
	return func(calls *Calls) {
		calls.Watches++
		calls.WatchesOf[prefix]++
	}
}

func (k *Keeper) faulty() Faults {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.faults
}

// enter counts a call and brings about the faults that come before it.
func (k *Keeper) enter(ctx context.Context, call string, count counter) error {
	k.mutex.Lock()
	count(&k.calls)
	faults := k.faults
	k.mutex.Unlock()
	if faults.Down {
		return refuse(call, storer.ErrUnavailable)
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
		return refuse(call, storer.ErrUnavailable)
	}
}

// leave brings about the faults that come after a write.
func (k *Keeper) leave(call string) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.faults.LoseAnswers == 0 {
		return nil
	}
	k.faults.LoseAnswers--
	return &storer.Error{
		Call:    call,
		Verdict: arbiter.MayHaveRun,
		Err:     storer.ErrUnavailable,
	}
}
