package enumerator

import (
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// period is how long one generation of requests is counted. A digest covers the current
// generation and the one before, so that it forgets objects after one to two periods.
const period = 10 * time.Second

// Enumerator counts the distinct objects of requests. It is safe for concurrent use.
type Enumerator struct {
	// view is replaced when a generation ends.
	view atomic.Pointer[view]
}

// view holds two generations. It is immutable except for the counters of the current one.
type view struct {
	startedAt time.Time
	current   *generation
	previous  *generation
}

// generation counts the requests of one period.
type generation struct {
	samples atomic.Uint64
	bits    [Words]atomic.Uint64
}

// New returns an enumerator that has counted no requests.
func New(now time.Time) *Enumerator {
	e := &Enumerator{}
	e.view.Store(&view{
		startedAt: now,
		current:   &generation{},
		previous:  &generation{},
	})
	return e
}

// Record counts a request for the object with a hash.
func (e *Enumerator) Record(hash uint64) {
	current := e.view.Load().current
	current.samples.Add(1)
	// The hash also orders the upstreams, so its bits are mixed before they are used again.
	index := hasher.Mix(hash) % bitCount
	word := &current.bits[index/64]
	mask := uint64(1) << (index % 64)
	if word.Load()&mask == 0 {
		word.Or(mask)
	}
}

// Advance ends the current generation if its period is over. One goroutine at a time may
// call it.
func (e *Enumerator) Advance(now time.Time) {
	before := e.view.Load()
	age := now.Sub(before.startedAt)
	if age < period {
		return
	}
	next := &view{
		startedAt: now,
		current:   &generation{},
		previous:  &generation{},
	}
	if age < 2*period {
		next.previous = before.current
	}
	e.view.Store(next)
}

// Digest returns the digest of the requests that have been counted in the last one to two
// periods.
func (e *Enumerator) Digest() Digest {
	recent := e.view.Load()
	return recent.current.digest().WithMerged(recent.previous.digest())
}

// digest returns the digest of one generation.
func (g *generation) digest() Digest {
	digest := Digest{
		Samples: g.samples.Load(),
	}
	for i := range g.bits {
		digest.Bits[i] = g.bits[i].Load()
	}
	return digest
}
