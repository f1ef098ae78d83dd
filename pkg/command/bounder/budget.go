package bounder

import "sync/atomic"

// Budget is a number of bytes that many connections share. It is safe for concurrent use
// and takes no lock. A nil budget has no bound.
//
// Invariant: what has been taken and not returned is at most the limit.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of a number of bytes, or nil, which has no bound, for 0.
func NewBudget(limit int64) *Budget {
	if limit == 0 {
		return nil
	}
	return &Budget{
		limit: limit,
	}
}

// Take takes bytes from the budget and reports whether they were free; 0 always are. It leaves a part of
// the budget to TakeForAnswer. A size above ordinaryBytes must leave half of the budget
// free, so that a few large requests do not keep out all ordinary ones, unless nothing else is
// held: a single request is served if it fits at all.
func (b *Budget) Take(bytes int64) bool {
	return b.TakeFurther(0, bytes)
}

// TakeFurther is Take for a request that has taken some bytes before.
func (b *Budget) TakeFurther(taken, bytes int64) bool {
	switch {
	case b == nil || bytes == 0:
		return true
	case bytes > ordinaryBytes:
		return b.takeUpTo(b.limit/2, bytes) || b.takeAlone(taken, bytes)
	default:
		return b.takeUpTo(b.limit-b.limit/answersPart, bytes)
	}
}

// takeAlone takes bytes if the request that has taken some before is the only one, and the part that
// is left to TakeForAnswer stays free.
func (b *Budget) takeAlone(taken, bytes int64) bool {
	return taken+bytes <= b.limit-b.limit/answersPart && b.held.CompareAndSwap(taken, taken+bytes)
}

// TakeForAnswer takes bytes for an answer to a request that has run, also from the part of
// the budget that Take leaves free: a new request is refused before such an answer is lost.
func (b *Budget) TakeForAnswer(bytes int64) bool {
	return b.TakeAny(bytes)
}

// TakeAny takes bytes from all of the budget and reports whether they were free.
func (b *Budget) TakeAny(bytes int64) bool {
	return b == nil || b.takeUpTo(b.limit, bytes)
}

func (b *Budget) takeUpTo(limit, bytes int64) bool {
	for {
		held := b.held.Load()
		if held+bytes > limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Return returns bytes that were taken.
func (b *Budget) Return(bytes int64) {
	if b != nil && bytes != 0 {
		b.held.Add(-bytes)
	}
}

// Held returns how many bytes are taken.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

const (
	// requestBytes is what a request in flight costs beside its head and its body, in bytes:
	// its goroutines, its exchange, and a connection to an upstream with its buffers.
	requestBytes = 24 << 10
	// lineBytes is what a header line costs beside its bytes, in bytes: an entry of a map, a
	// slice and two strings, as parsed, in the copy that goes to the upstream and in that of an
	// attempt. A map that has just grown is half empty.
	lineBytes = 384
	// bytesFactor is how often the bytes of a head are held: as they arrived, as parsed
	// strings, and in the copy that goes to the upstream.
	bytesFactor = 3
	// ordinaryBytes is the largest cost of an ordinary request, in bytes: one with a head of
	// up to 4 KB and 80 lines, or a part of its answer or body of as much.
	ordinaryBytes = 48 << 10
	// answersPart is the part of the budget that is left to answers: one in answersPart.
	answersPart = 8
	// StreamBytes is what an answer or a body that is passed on in parts costs, in bytes.
	StreamBytes = 40 << 10
)

// HeadCost returns what a request costs whose head has a number of bytes and lines, in
// bytes. It is an upper bound: 16 KB of nine-byte lines with other names cost some 760 KB, and hold 650.
func HeadCost(bytes, lines int) int64 {
	return requestBytes + int64(bytes)*bytesFactor + int64(lines)*lineBytes
}

// BodyCost returns what a request's body costs, in bytes. A body of up to bufferedBytes is
// held completely before the request is sent, a longer one or one of unknown length (-1) is
// passed on in parts.
func BodyCost(length, bufferedBytes int64) int64 {
	if length < 0 || length > bufferedBytes {
		return StreamBytes
	}
	return length
}
