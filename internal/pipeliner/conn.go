package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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

// isShort says whether an error means that descriptors are short.
func isShort(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// closed is the count of open exchanges from which on none is begun.
const closed = -1 << 32

// conn is one connection: a goroutine reads requests, one for each request works on
// it, and one writes the answers in order.
type conn struct {
	server *Server
	net    net.Conn
	source *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// queue holds the exchanges whose answers are to be written, in order.
	queue chan *exchange
	// turning guards turn, the exchange whose answer is written, and the write
	// deadline, which is that one's.
	turning sync.Mutex
	turn    *exchange
	// open counts the exchanges that have been begun and not been answered. Once it
	// is closed, none is begun.
	open atomic.Int64
	// tainted says that the reader may be in use after the connection has ended.
	tainted atomic.Bool
	// stopping says that no further request is read.
	stopping atomic.Bool
	// ctx is the life of the connection's requests.
	ctx    context.Context
	cancel context.CancelFunc
}

func newConn(server *Server, accepted net.Conn) *conn {
	ctx, cancel := context.WithCancel(server.work)
	return &conn{
		server: server,
		net:    accepted,
		queue:  make(chan *exchange, server.limits.Ahead),
		ctx:    ctx,
		cancel: cancel,
	}
}

// serve serves the connection until it ends.
func (c *conn) serve() {
	c.source = &limitedReader{
		conn: c.net,
	}
	c.reader = readBuffers.Get().(*bufio.Reader)
	c.reader.Reset(c.source)
	c.writer = writeBuffers.Get().(*bufio.Writer)
	c.writer.Reset(c.net)
	var group errgroup.Group
	group.Go(func() error {
		c.writeAnswers()
		return nil
	})
	c.readRequests(&group)
	close(c.queue)
	// The goroutines return no errors.
	_ = group.Wait()
	c.cancel()
	c.net.Close()
	if !c.tainted.Load() {
		c.reader.Reset(nil)
		readBuffers.Put(c.reader)
	}
	c.writer.Reset(nil)
	writeBuffers.Put(c.writer)
}

// stop ends the reading of requests. A connection without any ends at once, another
// one after its last answer.
func (c *conn) stop() {
	c.stopping.Store(true)
	if c.open.Load() == 0 {
		c.wake()
	}
}

// wake ends the reader's wait for the next request.
func (c *conn) wake() {
	_ = c.net.SetReadDeadline(time.Now())
}

// readRequests reads and begins requests until the caller goes, sends something
// malformed or is to go.
func (c *conn) readRequests(group *errgroup.Group) {
	var before *exchange
	for !c.stopping.Load() {
		if err := c.awaitRequest(); err != nil {
			c.callerGone(err)
			return
		}
		if c.stopping.Load() {
			return
		}
		next, last := c.readRequest()
		if next == nil {
			return
		}
		// What changes something waits until all before it is answered, and nothing is
		// begun beside it.
		if before != nil && (!next.safe || !before.safe) {
			<-before.written
		}
		if c.ctx.Err() != nil || !c.begin(next, group) {
			return
		}
		<-next.bodyRead
		if !next.body.wholly() {
			// Somebody may be reading it still.
			return
		}
		if last {
			c.watch()
			return
		}
		before = next
	}
}

// watch ends the last request if its caller goes. It returns when the answer has
// been written.
func (c *conn) watch() {
	if _, err := c.reader.Peek(1); err != nil {
		c.callerGone(err)
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	if c.open.Load() == 0 {
		c.setIdle()
		if c.stopping.Load() {
			c.wake()
		}
	}
	_, err := c.reader.Peek(1)
	return err
}

func (c *conn) setIdle() {
	limit := time.Duration(c.server.limits.IdleMillis) * time.Millisecond
	_ = c.net.SetReadDeadline(time.Now().Add(limit))
}

// callerGone ends the requests of a caller that has closed the connection. One that
// was merely idle or was told to go has none.
func (c *conn) callerGone(err error) {
	if !isTimeout(err) {
		c.cancel()
	}
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// readRequest reads the next request, and says whether it is the last one. It
// returns nil if there is none; then the caller has been told why.
func (c *conn) readRequest() (next *exchange, last bool) {
	limit := time.Duration(c.server.limits.HeaderMillis) * time.Millisecond
	_ = c.net.SetReadDeadline(time.Now().Add(limit))
	c.source.limit(int64(c.server.limits.HeaderBytes - c.reader.Buffered()))
	request, err := http.ReadRequest(c.reader)
	exceeded := c.source.exceeded
	c.source.unlimit()
	_ = c.net.SetReadDeadline(time.Time{})
	switch {
	case exceeded:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return nil, true
	case isTimeout(err):
		return nil, true
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel()
		return nil, true
	case err != nil:
		c.refuse(http.StatusBadRequest)
		return nil, true
	case request.ProtoAtLeast(1, 1) && request.Host == "":
		c.refuse(http.StatusBadRequest)
		return nil, true
	}
	request.RemoteAddr = c.net.RemoteAddr().String()
	next = newExchange(c, request)
	return next, request.Close
}

// refuse answers a request that cannot be read, and ends the connection.
func (c *conn) refuse(status int) {
	refused := newExchange(c, nil)
	refused.header.Set("Content-Length", "0")
	refused.status = status
	refused.ends = true
	refused.finish()
	if c.enter() {
		c.queue <- refused
	}
}

// begin works on a request beside the others, and returns false if the connection
// ends before it.
func (c *conn) begin(next *exchange, group *errgroup.Group) bool {
	if !c.enter() {
		return false
	}
	c.queue <- next
	group.Go(func() error {
		next.run()
		return nil
	})
	return true
}

// enter counts one more open exchange, unless none is begun any more.
func (c *conn) enter() bool {
	for {
		open := c.open.Load()
		if open < 0 {
			return false
		}
		if c.open.CompareAndSwap(open, open+1) {
			return true
		}
	}
}

// closeIfLast closes the count if just one exchange is open, and says whether it
// has.
func (c *conn) closeIfLast() bool {
	return c.open.CompareAndSwap(1, closed)
}

// writeAnswers writes the answers in order. After one that ends the connection, no
// other is written.
func (c *conn) writeAnswers() {
	ended := false
	for next := range c.queue {
		if ended {
			next.skip()
			continue
		}
		ended = !next.write()
		c.takeTurn(nil, time.Time{})
		if left := c.open.Add(-1); left == 0 && !ended {
			c.afterLast()
		}
		close(next.written)
		if ended {
			c.cancel()
			c.stopping.Store(true)
			c.wake()
		}
	}
}

// takeTurn makes it an exchange's turn, with a write deadline.
func (c *conn) takeTurn(next *exchange, deadline time.Time) {
	c.turning.Lock()
	defer c.turning.Unlock()
	c.turn = next
	_ = c.net.SetWriteDeadline(deadline)
}

// setWriteDeadline changes the write deadline if it is the exchange's turn.
func (c *conn) setWriteDeadline(of *exchange, deadline time.Time) error {
	c.turning.Lock()
	defer c.turning.Unlock()
	if c.turn != of {
		return nil
	}
	return c.net.SetWriteDeadline(deadline)
}

// afterLast is called when no request is open.
func (c *conn) afterLast() {
	c.setIdle()
	if c.stopping.Load() {
		c.wake()
	}
}

// limitedReader reads from a connection, at most so many bytes while it is limited.
type limitedReader struct {
	conn net.Conn
	// left is how many bytes may come, while limited.
	left    int64
	limited bool
	// exceeded says that more were wanted.
	exceeded bool
}

var errHeaderTooLarge = errors.New("header is too large")

func (r *limitedReader) limit(bytes int64) {
	r.left = bytes
	r.limited = true
	r.exceeded = false
}

func (r *limitedReader) unlimit() {
	r.limited = false
}

// Read reads what has come.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(p)
	}
	if r.left <= 0 {
		r.exceeded = true
		return 0, errHeaderTooLarge
	}
	p = p[:min(int64(len(p)), r.left)]
	count, err := r.conn.Read(p)
	r.left -= int64(count)
	return count, err
}
