// Package holder keeps one immutable value that many goroutines read while
// another replaces it (read-copy-update).
package holder

import "sync/atomic"

// Revisioned is a value that knows its place in a monotone sequence.
type Revisioned interface {
	// RevisionNumber grows with each newer value and is never zero.
	RevisionNumber() uint64
}

// Cell holds the newest value it was given. Load takes no lock and makes no
// allocation.
//
// Invariant: the revision of the held value never falls.
type Cell[T Revisioned] struct {
	current atomic.Pointer[T]
}

// New returns an empty cell.
func New[T Revisioned]() *Cell[T] {
	return &Cell[T]{}
}

// Load returns the value in force, or nil before the first Advance. The value
// is shared: readers do not change it.
func (c *Cell[T]) Load() *T {
	return c.current.Load()
}

// Revision returns the revision in force, or zero before the first Advance.
func (c *Cell[T]) Revision() uint64 {
	value := c.current.Load()
	if value == nil {
		return 0
	}
	return (*value).RevisionNumber()
}

// Advance puts next in force if its revision is higher than the one held, and
// says whether it did.
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
