package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

var (
	readBuffers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// isOutOfDescriptors reports whether an error means that the process or the system has
// no free file descriptors.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// noNewExchanges is stored as the count of open exchanges when no further one may start.
// Any negative number would do, as the count only decreases from there.
const noNewExchanges = -1 << 32

// conn is one connection. One goroutine reads the requests, one for each request runs
// the handler, and one writes the responses in order.
type conn struct {
	server  *Server
	netConn net.Conn
	// source is what reader reads from. It keeps the read deadline of a request that is
	// being read.
	source *source
	reader *bufio.Reader
	writer *bufio.Writer
	// queue holds the exchanges whose responses are to be written, in order.
	queue chan *exchange
	// currentMu guards current, the exchange whose response is being written, and the
	// write deadline, which belongs to that exchange.
	currentMu sync.Mutex
	current   *exchange
	// openExchanges counts the exchanges that have started and whose responses have not
	// been written or discarded. It is negative once no further exchange may start, and has
	// streamingMark added while a response streams.
	openExchanges atomic.Int64
	// last is what is kept of the exchange that has started last. Only readRequests uses it.
	last predecessor
	// readerInUse reports that reader, and writer after an upgrade, may be in use after the
	// connection has closed, so that their buffers can't be reused.
	readerInUse atomic.Bool
	// upgraded is the exchange whose request asks for another protocol, or nil. Only readRequests
	// and serve use it.
	upgraded *exchange
	// stopping reports that the connection closes: after the responses to the requests that
	// have started or, if there are none, after one last attempt to read a request.
	stopping atomic.Bool
	// largeBytes is what reader's buffer has taken from the budget, in bytes; 0 if it is a
	// small one.
	largeBytes atomic.Int64
	// headSince is when the first byte of the head arrived that is being read, and idleSince
	// when the last request ended or the connection was accepted, both in nanoseconds since
	// the Unix epoch. headSince is 0 while no head is read.
	headSince atomic.Int64
	idleSince atomic.Int64
	// cutShort reports that the end of the connection would mark the end of a response that is
	// not complete.
	cutShort atomic.Bool
	// used reports that the first byte of a request has arrived.
	used atomic.Bool
	// ctx is the parent context of the connection's requests; cancel cancels it.
	ctx    context.Context
	cancel context.CancelFunc
}

// predecessor is what the reading of requests has to know of an exchange that has started. It
// keeps neither the request nor the response in memory while the connection is idle, as the
// budget has got back what they cost. The zero value means that no exchange has started.
type predecessor struct {
	// safe is the exchange's own.
	safe bool
	// written is closed when the response has been written or discarded.
	written <-chan struct{}
}

func newConn(server *Server, accepted net.Conn) *conn {
	ctx, cancel := context.WithCancel(server.requestsCtx)
	created := &conn{
		server:  server,
		netConn: accepted,
		queue:   make(chan *exchange, server.limits.Load().MaxPipelined),
		ctx:     ctx,
		cancel:  cancel,
	}
	created.idleSince.Store(time.Now().UnixNano())
	return created
}

// serve serves the connection and closes it at the end.
func (c *conn) serve() {
	if !c.completeHandshake() {
		c.cancel()
		c.close()
		return
	}
	c.source = newSource(c.ctx, c.netConn)
	c.reader = readBuffers.Get().(*bufio.Reader)
	c.reader.Reset(c.source)
	c.writer = writeBuffers.Get().(*bufio.Writer)
	c.writer.Reset(c.netConn)
	var group errgroup.Group
	group.Go(func() error {
		c.writeResponses()
		return nil
	})
	c.readRequests(&group)
	close(c.queue)
	// The goroutines return no errors.
	_ = group.Wait()
	if c.upgraded != nil {
		c.serveUpgrade(c.upgraded)
	}
	c.cancel()
	c.close()
	c.putReader()
	c.putWriter()
}

// putWriter returns the writer's buffer to its pool at the end of the connection.
func (c *conn) putWriter() {
	if c.upgraded != nil && c.readerInUse.Load() {
		return
	}
	c.writer.Reset(nil)
	writeBuffers.Put(c.writer)
}

// close closes the connection so that its last response does not look complete if it is not.
func (c *conn) close() {
	if c.cutShort.Load() {
		reset(c.netConn)
		return
	}
	c.netConn.Close()
}

// stop ends the wait for further requests. A connection without open exchanges closes once
// a request that has arrived has its response; any other closes after its last response.
func (c *conn) stop() {
	c.stopping.Store(true)
	if c.openExchanges.Load() == 0 {
		c.interruptRead()
	}
}

// interruptRead ends the wait for the next request by a read deadline in the past. It
// doesn't interrupt the reading of a request that has begun to arrive, unless ctx has ended.
func (c *conn) interruptRead() {
	_ = c.netConn.SetReadDeadline(time.Now())
}

// readRequests reads requests and starts their handlers until the caller closes the
// connection, sends something malformed, or the connection is stopped.
func (c *conn) readRequests(group *errgroup.Group) {
	for {
		if err := c.awaitRequest(); err != nil {
			c.handleReadError(err)
			return
		}
		next, last := c.readRequest()
		if next == nil {
			return
		}
		// An unsafe request starts only after the responses to all requests before it,
		// and the next request starts only after the response to the unsafe one.
		isUpgrade := c.server.isUpgrade(next.request)
		if c.last.written != nil && (!next.safe || !c.last.safe || isUpgrade) {
			<-c.last.written
		}
		// The response to a request that starts once the connection is stopping, or an
		// earlier one, closes the connection.
		last = last || c.stopping.Load()
		if isUpgrade && c.ctx.Err() == nil && !c.stopping.Load() {
			c.upgraded = next
			return
		}
		if c.ctx.Err() != nil || !c.startExchange(next, group) {
			next.release()
			return
		}
		<-next.bodyDone
		c.source.endRequest()
		if !next.body.isFullyRead() {
			// The handler may have left a goroutine that still reads the body.
			return
		}
		c.source.noteUnread(time.Now())
		c.shrinkReader()
		if last {
			c.watchForClose()
			return
		}
	}
}

// watchForClose cancels the last request if the caller closes the connection. It
// returns when the response has been written at the latest.
func (c *conn) watchForClose() {
	if _, err := c.reader.Peek(1); err != nil {
		c.handleReadError(err)
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	if c.openExchanges.Load() == 0 {
		c.setIdleDeadline()
		if c.stopping.Load() {
			c.interruptRead()
		}
	}
	_, err := c.reader.Peek(1)
	if isTimeout(err) && c.mayStartExchange() {
		return c.awaitArrived()
	}
	return err
}

// mayStartExchange reports whether no response has closed the connection so far.
func (c *conn) mayStartExchange() bool {
	return c.ctx.Err() == nil && c.openExchanges.Load() >= 0
}

// arrivalTimeout is how long a connection that is stopping waits for the first byte of a
// request that may have arrived before.
const arrivalTimeout = 100 * time.Millisecond

// awaitArrived makes the last attempt to read the first byte of a request. A read whose
// deadline has passed fails even if bytes have arrived. The read is repeated until
// arrivalTimeout is over, because interruptRead may end it earlier.
func (c *conn) awaitArrived() error {
	until := time.Now().Add(arrivalTimeout)
	for {
		_ = c.netConn.SetReadDeadline(until)
		_, err := c.reader.Peek(1)
		if !isTimeout(err) || !time.Now().Before(until) {
			return err
		}
	}
}

// setIdleDeadline limits the wait for the next request.
func (c *conn) setIdleDeadline() {
	timeout := time.Duration(c.server.limits.Load().IdleMillis) * time.Millisecond
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
}

// handleReadError cancels the connection's requests, as the caller has closed the
// connection. An error by a deadline cancels nothing: the connection was idle or has
// been stopped.
func (c *conn) handleReadError(err error) {
	answerPlain(err)
	if !isTimeout(err) {
		c.cancel()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// startExchange queues an exchange, so that its response is written in turn, runs its
// handler in a goroutine and returns true. If no further exchange may start, it does
// nothing and returns false.
func (c *conn) startExchange(next *exchange, group *errgroup.Group) bool {
	if !c.open() {
		return false
	}
	c.last = predecessor{
		safe:    next.safe,
		written: next.written,
	}
	c.queue <- next
	group.Go(func() error {
		next.run()
		return nil
	})
	return true
}

// open counts one more open exchange and returns true, unless no further one may start. While
// a response streams, it waits: should that response break off, the connection closes, and the
// request must not have been passed on.
func (c *conn) open() bool {
	for {
		open := c.openExchanges.Load()
		switch {
		case open < 0:
			return false
		case open >= streamingMark:
			<-c.last.written
		case c.openExchanges.CompareAndSwap(open, open+1):
			return true
		}
	}
}

// forbidNewIfLast forbids further exchanges if exactly one is open, and reports whether
// it did.
func (c *conn) forbidNewIfLast() bool {
	return c.openExchanges.CompareAndSwap(1, noNewExchanges) ||
		c.openExchanges.CompareAndSwap(streamingMark+1, noNewExchanges)
}

// writeResponses writes the responses in order. It discards those after a response that
// closes the connection.
func (c *conn) writeResponses() {
	ended := false
	for next := range c.queue {
		if ended {
			next.discard()
			continue
		}
		ended = !next.writeResponse()
		c.setCurrent(nil, time.Time{})
		c.idleSince.Store(time.Now().UnixNano())
		if remaining := c.openExchanges.Add(next.closingCount(ended)); remaining == 0 {
			c.becomeIdle()
		}
		next.releaseHeld()
		next.release()
		close(next.written)
		if ended {
			c.cancel()
			c.stopping.Store(true)
			c.interruptRead()
		}
	}
}

// setCurrent sets the exchange whose response is being written and its write deadline.
func (c *conn) setCurrent(next *exchange, deadline time.Time) {
	c.currentMu.Lock()
	defer c.currentMu.Unlock()
	c.current = next
	_ = c.netConn.SetWriteDeadline(deadline)
}

// setWriteDeadline changes the write deadline if the response of the owner is being
// written.
func (c *conn) setWriteDeadline(owner *exchange, deadline time.Time) error {
	c.currentMu.Lock()
	defer c.currentMu.Unlock()
	if c.current != owner {
		return nil
	}
	return c.netConn.SetWriteDeadline(deadline)
}

// becomeIdle limits the wait for the next request, or ends it if the connection has
// been stopped. It is called when no exchange is open.
func (c *conn) becomeIdle() {
	c.setIdleDeadline()
	if c.stopping.Load() {
		c.interruptRead()
	}
}
