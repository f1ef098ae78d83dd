package admitter

import (
	"math"
	"sync/atomic"
)

const (
	// initialLoadBound is the load bound of a service whose requests have not been seen
	// to pass their deadlines.
	initialLoadBound = 4.0
	// minLoadBound is the lowest load bound, at which no request waits for a slot. At lower
	// loads a deadline passes for another reason than the load.
	minLoadBound = 1.0
	// loadBoundDecrease is the factor by which a passed deadline lowers the bound, and
	// loadBoundIncrease the amount by which an answer raises it.
	loadBoundDecrease = 0.9
	loadBoundIncrease = 0.02
)

// loadBound is the load, in requests for each slot, from which on this instance sends an
// upstream of one service no more requests. Requests for which an upstream has no slot wait
// there; if they wait past their deadlines, the work on them is lost, and others wait for
// it. So the bound falls with each request that passes its deadline, and rises with the
// answers of loaded upstreams (additive increase, multiplicative decrease; Chiu and Jain,
// 1989). Successive plans share it. It is safe for concurrent use, and a request takes no
// lock.
//
// Invariant: the bound is at least minLoadBound.
type loadBound struct {
	// bits is the bound in the form of math.Float64bits.
	bits atomic.Uint64
}

// newLoadBound returns a bound with its initial value.
func newLoadBound() *loadBound {
	bound := &loadBound{}
	bound.bits.Store(math.Float64bits(initialLoadBound))
	return bound
}

// value returns the bound.
func (b *loadBound) value() float64 {
	return math.Float64frombits(b.bits.Load())
}

// admits reports whether an upstream with this load may get another request.
func (b *loadBound) admits(load float64) bool {
	return load < b.value()
}

// recordTimeout records that a request has passed its deadline at an upstream with this
// load.
func (b *loadBound) recordTimeout(load float64) {
	if load < minLoadBound {
		return
	}
	b.update(func(bound float64) float64 {
		return max(bound*loadBoundDecrease, minLoadBound)
	})
}

// recordAnswer records that an upstream with this load has answered in time. Only a load
// near the bound shows that the bound may be higher.
func (b *loadBound) recordAnswer(load float64) {
	b.update(func(bound float64) float64 {
		if load < bound/2 {
			return bound
		}
		return bound + loadBoundIncrease
	})
}

// update replaces the bound by the value that next returns for it.
func (b *loadBound) update(next func(bound float64) float64) {
	for {
		before := b.bits.Load()
		after := math.Float64bits(next(math.Float64frombits(before)))
		if before == after || b.bits.CompareAndSwap(before, after) {
			return
		}
	}
}
