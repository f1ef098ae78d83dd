package sharer

import "sync/atomic"

// Borrower identifies an instance to lenders and numbers its asks. It outlives the limiters of
// the instance: if a limiter that is dropped and created again numbered its asks from 1,
// a lender would answer them with the loans of the earlier limiter, without lending units. It
// is safe for concurrent use.
type Borrower struct {
	// incarnation identifies one start of the instance.
	incarnation string
	// lastNumber is the number of the last ask.
	lastNumber atomic.Uint64
}

// NewBorrower returns the borrower of an instance that has asked for nothing yet.
func NewBorrower(incarnation string) *Borrower {
	return &Borrower{
		incarnation: incarnation,
	}
}

// nextSerial returns the serial of the next ask.
func (b *Borrower) nextSerial() Serial {
	return Serial{
		Borrower: b.incarnation,
		Number:   b.lastNumber.Add(1),
	}
}
