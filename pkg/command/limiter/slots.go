package limiter

import "sync/atomic"

// Slots limits the number of concurrent requests.
//
// Invariant: InUse is between 0 and the limit, with two exceptions. A failing Acquire
// exceeds the limit for the moment until it gives its slot back, and after the limit
// was lowered it is exceeded until the surplus requests have ended.
type Slots struct {
	// limit is the number of slots.
	limit atomic.Int64
	// inUse is the number of slots that are taken.
	inUse atomic.Int64
}

// NewSlots returns Slots with that limit, of which none is taken.
func NewSlots(limit int) *Slots {
	slots := &Slots{}
	slots.limit.Store(int64(limit))
	return slots
}

// Acquire takes a slot and returns true, or returns false if none is free.
func (s *Slots) Acquire() bool {
	if s.inUse.Add(1) <= s.limit.Load() {
		return true
	}
	s.inUse.Add(-1)
	return false
}

// Release gives back a slot that Acquire took.
func (s *Slots) Release() {
	s.inUse.Add(-1)
}

// InUse returns the number of slots that are taken.
func (s *Slots) InUse() int {
	return int(s.inUse.Load())
}

// Limit returns the number of slots.
func (s *Slots) Limit() int {
	return int(s.limit.Load())
}

// SetLimit changes the number of slots. Running requests continue.
func (s *Slots) SetLimit(limit int) {
	s.limit.Store(int64(limit))
}
