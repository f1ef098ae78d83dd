package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// headScan finds the end of a head in bytes that arrive in parts, and counts its lines,
// without keeping any of them.
type headScan struct {
	// scanned is how many bytes have been searched, up to the end of the head.
	scanned int
	// lineStart is where the line begins that is not complete.
	lineStart int
	// lines is the number of complete lines, with the request line and the empty one.
	lines int
}

// advance searches what has arrived of a head, from its first byte, and reports whether the
// head is complete. An empty line ends it, also in place of the request line, which the
// parser refuses.
func (h *headScan) advance(arrived []byte) bool {
	for {
		length := bytes.IndexByte(arrived[h.scanned:], '\n')
		if length < 0 {
			h.scanned = len(arrived)
			return false
		}
		line := arrived[h.lineStart : h.scanned+length]
		h.scanned += length + 1
		h.lineStart = h.scanned
		h.lines++
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return true
		}
	}
}

// awaitHead reads until the next head is complete in the buffer of the connection's reader.
// It allocates nothing for a head that fits into the small buffer. status is the status with
// which the request is refused, if it is not 0.
func (c *conn) awaitHead() (scan headScan, status int, err error) {
	limit := c.server.limits.Load().HeaderBytes
	for {
		buffered := c.reader.Buffered()
		// The bytes are in the buffer, so this neither reads nor fails.
		arrived, _ := c.reader.Peek(buffered)
		complete := scan.advance(arrived)
		switch {
		case complete && scan.scanned <= limit:
			return scan, 0, nil
		case complete || buffered >= limit:
			return scan, http.StatusRequestHeaderFieldsTooLarge, nil
		case buffered == c.reader.Size() && !c.growReader(limit):
			return scan, http.StatusServiceUnavailable, nil
		}
		if _, err = c.reader.Peek(buffered + 1); err != nil {
			return scan, 0, err
		}
	}
}

const (
	// largeBufferBytes is the size of the first buffer of a head that the small one does not take,
	// in bytes, and growthFactor how many times larger each further one is.
	largeBufferBytes = 32 << 10
	growthFactor     = 4
)

// growReader replaces the reader by one with the next larger buffer, of at most limit bytes, and
// returns false if the budget does not allow it. A head that another caller sends slowly gives
// way.
func (c *conn) growReader(limit int) bool {
	size := min(max(largeBufferBytes, c.reader.Size()*growthFactor), limit)
	take := func() bool { return c.server.budget.TakeFurther(c.largeBytes.Load(), int64(size)) }
	if !take() && !(c.server.closeSlowestHead(c) && take()) {
		return false
	}
	c.server.budget.Return(c.largeBytes.Swap(int64(size)))
	c.moveReader(c.server.largeBuffer(size))
	return true
}

// shrinkReader returns the large buffer once a request has been read, unless the next one
// has arrived in it and does not fit into a small one.
func (c *conn) shrinkReader() {
	if c.largeBytes.Load() == 0 || c.reader.Buffered() > readBufferBytes {
		return
	}
	large := c.reader
	c.moveReader(readBuffers.Get().(*bufio.Reader))
	c.server.keepLarge(large)
	c.returnLarge()
}

// moveReader replaces the connection's reader, and takes over what is in its buffer.
func (c *conn) moveReader(next *bufio.Reader) {
	previous := c.reader
	buffered := previous.Buffered()
	// The bytes are in the buffer, so this neither reads nor fails.
	c.source.pending, _ = previous.Peek(buffered)
	next.Reset(c.source)
	if buffered > 0 {
		_, _ = next.Peek(buffered)
	}
	// Even an empty slice would keep the previous buffer in memory.
	c.source.pending = nil
	c.reader = next
	previous.Reset(nil)
	if previous.Size() == readBufferBytes {
		readBuffers.Put(previous)
	}
}

// returnLarge returns the bytes of the large buffer to the budget, once.
func (c *conn) returnLarge() {
	c.server.budget.Return(c.largeBytes.Swap(0))
}

// putReader returns the reader's buffer to its pool at the end of the connection.
func (c *conn) putReader() {
	defer c.returnLarge()
	if c.readerInUse.Load() {
		return
	}
	c.reader.Reset(nil)
	if c.reader.Size() == readBufferBytes {
		readBuffers.Put(c.reader)
		return
	}
	c.server.keepLarge(c.reader)
}

// takeForHead takes what a complete head costs from the budget. While the budget is used up
// it waits for the responses to the earlier requests of the connection, if there are any,
// and closes the connection of one head that arrives slowly. It returns 0 if the request has
// to be refused.
func (c *conn) takeForHead(scan headScan) int64 {
	cost := bounder.HeadCost(scan.scanned, scan.lines)
	take := func() bool { return c.server.budget.TakeFurther(c.largeBytes.Load(), cost) }
	if take() {
		return cost
	}
	if c.last.written != nil {
		<-c.last.written
		if take() {
			return cost
		}
	}
	if c.server.closeSlowestHead(c) && take() {
		return cost
	}
	return 0
}

// beginHead notes that the first byte of a head has arrived.
func (c *conn) beginHead(now time.Time) {
	c.used.Store(true)
	c.headSince.Store(now.UnixNano())
}

// endHead notes that the head is complete or is not read further.
func (c *conn) endHead() {
	c.headSince.Store(0)
}
