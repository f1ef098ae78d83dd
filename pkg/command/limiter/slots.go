package limiter

import "sync/atomic"

// Slots bounds how many requests are at work at once.
//
// Invariant: InUse is between 0 and the limit, but for the instant in which an
// Acquire that fails takes its claim back, and after the limit was lowered until
// the requests above it have ended.
type Slots struct {
	limit atomic.Int64
	inUse atomic.Int64
}

// NewSlots returns that many free slots.
func NewSlots(limit int) *Slots {
	slots := &Slots{}
	slots.limit.Store(int64(limit))
	return slots
}

// Acquire takes a slot if one is free.
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

// InUse returns how many slots are taken.
func (s *Slots) InUse() int {
	return int(s.inUse.Load())
}

// Limit returns how many slots there are.
func (s *Slots) Limit() int {
	return int(s.limit.Load())
}

// SetLimit changes how many slots there are. Requests at work go on.
func (s *Slots) SetLimit(limit int) {
	s.limit.Store(int64(limit))
}
