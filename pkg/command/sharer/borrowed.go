package sharer

import (
	"math"
	"sync/atomic"
	"time"
)

// purseSlots is how many batches of borrowed units are at hand at most.
const purseSlots = 32

// closed is far below zero, so that no request takes from a closed batch.
const closed = math.MinInt32

// batch is borrowed units that one ask brought.
type batch struct {
	holder string
	serial Serial
	// until is the instant from which the units must not be used.
	until time.Time
	// returnAt is the instant from which unused units are given back.
	returnAt time.Time
	// left is how many are unused; below zero if requests found it empty.
	left atomic.Int64
}

// purse holds borrowed units. Taking one takes no lock.
type purse struct {
	slots [purseSlots]atomic.Pointer[batch]
}

// take uses one unit, if there is one.
func (p *purse) take(now time.Time) bool {
	for i := range p.slots {
		b := p.slots[i].Load()
		if b != nil && now.Before(b.until) && b.left.Load() > 0 && b.left.Add(-1) >= 0 {
			return true
		}
	}
	return false
}

// put adds a batch and returns false if the purse is full. Called by one
// goroutine at a time.
func (p *purse) put(b *batch) bool {
	for i := range p.slots {
		if p.slots[i].Load() == nil {
			p.slots[i].Store(b)
			return true
		}
	}
	return false
}

// left returns how many units are at hand.
func (p *purse) left(now time.Time) int {
	sum := int64(0)
	for i := range p.slots {
		if b := p.slots[i].Load(); b != nil && now.Before(b.until) {
			sum += max(b.left.Load(), 0)
		}
	}
	return int(sum)
}

// sweep takes out the batches that are used up or have not been used for long, and
// calls settle for each with what is unused. Called by one goroutine at a time.
func (p *purse) sweep(now time.Time, settle func(b *batch, unused int)) {
	for i := range p.slots {
		b := p.slots[i].Load()
		if b == nil || (b.left.Load() > 0 && now.Before(b.returnAt)) {
			continue
		}
		p.slots[i].Store(nil)
		settle(b, int(max(b.left.Swap(closed), 0)))
	}
}
