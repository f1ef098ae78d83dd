// Package tracker keeps track of the requests in flight, so that a command can act on
// those that it concerns, such as all that presented a withdrawn key.
package tracker

import "sync/atomic"

// Tracker holds items in flight in a fixed number of slots. It takes no lock.
//
// Invariant: each added item is in at most one slot; count is at least the number of
// filled slots.
type Tracker[T any] struct {
	slots []atomic.Pointer[T]
	count atomic.Int64
}

// Ticket identifies the slot of an item that was added.
type Ticket int

// New returns a tracker for at most capacity items at once.
func New[T any](capacity int) *Tracker[T] {
	return &Tracker[T]{
		slots: make([]atomic.Pointer[T], capacity),
	}
}

// Add puts an item into a free slot. It searches from the slot that random selects, and
// returns false if all slots are taken.
func (t *Tracker[T]) Add(item *T, random uint64) (Ticket, bool) {
	capacity := uint64(len(t.slots))
	if t.count.Add(1) > int64(capacity) {
		t.count.Add(-1)
		return 0, false
	}
	start := random % capacity
	for i := range capacity {
		index := (start + i) % capacity
		if t.slots[index].CompareAndSwap(nil, item) {
			return Ticket(index), true
		}
	}
	t.count.Add(-1)
	return 0, false
}

// Remove frees the slot that a ticket identifies.
func (t *Tracker[T]) Remove(ticket Ticket) {
	t.slots[ticket].Store(nil)
	t.count.Add(-1)
}

// Count returns how many items are in flight.
func (t *Tracker[T]) Count() int {
	return int(t.count.Load())
}

// Each calls visit for every item that is in flight throughout the call. Items that are
// added or removed meanwhile may be visited or not.
func (t *Tracker[T]) Each(visit func(item *T)) {
	for i := range t.slots {
		if item := t.slots[i].Load(); item != nil {
			visit(item)
		}
	}
}
