package pipeliner

import "sync/atomic"

const (
	// maxHeldBytes is how much of the body of one response is buffered while requests behind
	// it run. Downloads have some 90 KB.
	maxHeldBytes = 1 << 20
	// maxHeldTotalBytes bounds what the responses of all connections buffer beyond
	// maxBufferedBytes. The smallest machine has 136 MB, and a buffer may have twice the
	// capacity that it uses.
	maxHeldTotalBytes = 8 << 20
	// streamingMark is added to the count of open exchanges while a response streams.
	streamingMark = 1 << 32
)

// mayStream reports whether the handler may write to the connection from now on. It may not
// while requests behind its own have started: if the response broke off midway, the connection
// would have to close, and their responses would be lost. The response is then buffered
// until it is complete, and replaced by another one if it breaks off. Only if the given number
// of bytes would exceed the bounds on what is held does it stream nevertheless. While it
// streams, no further request starts.
//
// It is called during the response's turn, when no exchange before it is open.
func (e *exchange) mayStream(more int) bool {
	for {
		open := e.conn.openExchanges.Load()
		if open < 0 {
			return true
		}
		if open > 1 && e.hold(more) {
			return false
		}
		if e.conn.openExchanges.CompareAndSwap(open, open+streamingMark) {
			e.marked = true
			return true
		}
	}
}

// hold reserves room for a number of bytes in the response's buffer, and reports whether the
// bounds allow it.
func (e *exchange) hold(more int) bool {
	size := e.buffered.Len() + more
	if size > maxHeldBytes {
		return false
	}
	missing := max(int64(size-maxBufferedBytes)-e.reservedBytes, 0)
	if !reserve(&e.conn.server.heldBytes, missing) {
		return false
	}
	e.reservedBytes += missing
	return e.take(int64(more))
}

// reserve adds a number of bytes to those that are held, unless they would exceed
// maxHeldTotalBytes, and reports whether it did.
func reserve(held *atomic.Int64, bytes int64) bool {
	if held.Add(bytes) <= maxHeldTotalBytes {
		return true
	}
	held.Add(-bytes)
	return false
}

// releaseHeld returns what the response has reserved. The handler must have returned.
func (e *exchange) releaseHeld() {
	if e.reservedBytes != 0 {
		e.conn.server.heldBytes.Add(-e.reservedBytes)
		e.reservedBytes = 0
	}
}

// closingCount returns what is to be added to the connection's count of open exchanges after
// the response. If the response has ended the connection, no further exchange may start.
func (e *exchange) closingCount(ended bool) int64 {
	count := int64(-1)
	if e.marked {
		count -= streamingMark
	}
	if ended {
		count += noNewExchanges
	}
	return count
}
