// Package holder provides a cell for an immutable value that many goroutines read
// while others replace it (read-copy-update). The holders of seats and of parts of limits
// have nothing to do with it.
package holder

import "sync/atomic"

// Revisioned is a value with a revision number, by which newer values are told from
// older ones.
type Revisioned interface {
	// RevisionNumber returns a number that is never zero and is higher for each newer
	// value.
	RevisionNumber() uint64
}

// Cell holds the newest of the values that it was given. It is safe for many
// goroutines. Load takes no lock and does not allocate.
//
// Invariant: the revision of the held value never decreases.
type Cell[T Revisioned] struct {
	current atomic.Pointer[T]
}

// New returns an empty cell.
func New[T Revisioned]() *Cell[T] {
	return &Cell[T]{}
}

// Load returns the current value, or nil before the first Advance. The value is shared:
// readers must not change it.
func (c *Cell[T]) Load() *T {
	return c.current.Load()
}

// Revision returns the revision of the current value, or zero before the first
// Advance.
func (c *Cell[T]) Revision() uint64 {
	value := c.current.Load()
	if value == nil {
		return 0
	}
	return (*value).RevisionNumber()
}

// Advance replaces the current value with next if the revision of next is higher, and
// reports whether it did.
func (c *Cell[T]) Advance(next T) bool {
	for {
		held := c.current.Load()
		if held != nil && (*held).RevisionNumber() >= next.RevisionNumber() {
			return false
		}
		if c.current.CompareAndSwap(held, &next) {
			return true
		}
	}
}
