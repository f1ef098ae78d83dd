package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/inspector"
)

// readerWaitTimeout bounds the wait until a reused connection is known to hold no
// unsolicited answer.
const readerWaitTimeout = 20 * time.Millisecond

// errUnsolicited means that a connection holds an answer that no request on it asked
// for.
var errUnsolicited = errors.New("connection holds an unsolicited answer")

// guardedConn is a connection that a transport reuses. It sends a request only while
// the transport's reader waits for bytes, so that the reader's buffer is empty:
// otherwise the transport would take an answer that has already arrived for the
// answer to this request.
type guardedConn struct {
	*inspector.Conn
	// readerWaiting is set while the reader waits for bytes. waitBegun receives a signal
	// each time the reader begins to wait.
	readerWaiting atomic.Bool
	waitBegun     chan struct{}
	// begins is set when a request is given the connection, until its first write. That
	// write must wait until the reader has taken all bytes that have arrived. Later writes
	// of the request may follow an answer that came before the end of its body.
	begins atomic.Bool
	// received is set if bytes have arrived since the last write.
	received atomic.Bool
	// writes counts the writes that have sent at least one byte, and the one in progress.
	writes atomic.Uint64
}

// newGuardedConn returns a guarded connection over another one.
func newGuardedConn(conn net.Conn) *guardedConn {
	return &guardedConn{
		Conn:      inspector.NewConn(conn),
		waitBegun: make(chan struct{}, 1),
	}
}

// dialGuarded returns a function that dials guarded connections.
func dialGuarded(dialer *net.Dialer) inspector.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newGuardedConn(conn), nil
	}
}

// Read reads bytes, and signals that the reader waits for them.
func (g *guardedConn) Read(p []byte) (int, error) {
	g.readerWaiting.Store(true)
	select {
	case g.waitBegun <- struct{}{}:
	default:
		// The previous signal has not been received.
	}
	count, err := g.Conn.Read(p)
	g.readerWaiting.Store(false)
	if count > 0 {
		g.received.Store(true)
	}
	return count, err
}

// Write sends bytes. Before the first bytes of a request it waits until the reader
// waits for bytes. If that takes too long, it sends nothing and closes the
// connection.
func (g *guardedConn) Write(p []byte) (int, error) {
	if g.begins.Swap(false) && g.received.Load() && !g.awaitReader() {
		g.Close()
		return 0, errUnsolicited
	}
	g.received.Store(false)
	// The count increases before an answer can arrive.
	g.writes.Add(1)
	count, err := g.Conn.Write(p)
	if count == 0 {
		g.writes.Add(^uint64(0))
	}
	return count, err
}

// awaitReader reports whether the reader waits for bytes, or begins to within
// readerWaitTimeout.
func (g *guardedConn) awaitReader() bool {
	if g.readerWaiting.Load() {
		return true
	}
	timer := time.NewTimer(readerWaitTimeout)
	defer timer.Stop()
	for !g.readerWaiting.Load() {
		select {
		case <-g.waitBegun:
		case <-timer.C:
			return false
		}
	}
	return true
}

// connObserver records the connection that a request was given, and how many writes
// the connection had carried before.
type connObserver struct {
	// inspected is the connection, or nil before there is one, and guarded the same one if
	// it is guarded.
	inspected    *inspector.Conn
	guarded      *guardedConn
	writesBefore uint64
	// reused reports that the connection has carried another request before.
	reused bool
}

// observe records the connection that a request with a method was given.
func (o *connObserver) observe(info httptrace.GotConnInfo, method string) {
	switch conn := info.Conn.(type) {
	case *inspector.Conn:
		o.inspected = conn
	case *guardedConn:
		o.inspected = conn.Conn
		o.guarded = conn
		conn.begins.Store(true)
		o.writesBefore = conn.writes.Load()
		o.reused = info.Reused
	}
	if o.inspected != nil {
		o.inspected.Expect(method)
	}
}

// closeConn closes the connection, so that no other request is sent on it.
func (o *connObserver) closeConn() {
	if o.inspected != nil {
		o.inspected.Close()
	}
}

// malformed returns what was wrong with an answer on the connection, or nil.
func (o *connObserver) malformed() *inspector.MalformedError {
	if o.inspected == nil {
		return nil
	}
	return o.inspected.Malformed()
}

// nothingWritten reports whether nothing has been sent on a guarded connection since the request
// was given it. An answer that has arrived then was not asked for.
func (o *connObserver) nothingWritten() bool {
	return o.guarded != nil && o.guarded.writes.Load() == o.writesBefore
}

// unsent reports whether a reused connection had ended before a byte of the request was sent.
// It must be called after the transport has reported an error: then the transport writes
// nothing more.
func (o *connObserver) unsent() bool {
	return o.reused && o.nothingWritten()
}
