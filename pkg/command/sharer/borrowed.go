package sharer

import (
	"math"
	"sync/atomic"
	"time"
)

// maxBatches is the largest number of batches of borrowed units held at once.
const maxBatches = 32

// closedCount is the value of batch.remaining after the batch was given back. It is far below
// zero, so that no request takes from such a batch.
const closedCount = math.MinInt32

// batch holds the units that were borrowed with one ask.
type batch struct {
	holder string
	serial Serial
	// expiresAt is the instant from which the units must not be used.
	expiresAt time.Time
	// returnAt is the instant from which unused units are given back.
	returnAt time.Time
	// remaining is the number of unused units. It is negative if requests tried to take
	// from the empty batch.
	remaining atomic.Int64
}

// borrowedUnits holds the batches of borrowed units. A request takes a unit without a
// lock.
type borrowedUnits struct {
	slots [maxBatches]atomic.Pointer[batch]
}

// take uses one unit, and returns false if there is none.
func (u *borrowedUnits) take(now time.Time) bool {
	for i := range u.slots {
		b := u.slots[i].Load()
		if b != nil && now.Before(b.expiresAt) && b.remaining.Load() > 0 && b.remaining.Add(-1) >= 0 {
			return true
		}
	}
	return false
}

// add stores a batch. It returns false if all slots are taken. It must be called by
// one goroutine at a time.
func (u *borrowedUnits) add(b *batch) bool {
	for i := range u.slots {
		if u.slots[i].Load() == nil {
			u.slots[i].Store(b)
			return true
		}
	}
	return false
}

// remaining returns how many units can still be used.
func (u *borrowedUnits) remaining(now time.Time) int {
	sum := int64(0)
	for i := range u.slots {
		if b := u.slots[i].Load(); b != nil && now.Before(b.expiresAt) {
			sum += max(b.remaining.Load(), 0)
		}
	}
	return int(sum)
}

// sweep removes the batches that are used up or have reached returnAt, and calls settle
// for each with the number of unused units. It must be called by one goroutine at a
// time.
func (u *borrowedUnits) sweep(now time.Time, settle func(b *batch, unused int)) {
	for i := range u.slots {
		b := u.slots[i].Load()
		if b == nil || (b.remaining.Load() > 0 && now.Before(b.returnAt)) {
			continue
		}
		u.slots[i].Store(nil)
		settle(b, int(max(b.remaining.Swap(closedCount), 0)))
	}
}
