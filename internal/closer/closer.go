// Package closer provides listeners whose connections linger when they are closed: the
// connection is closed for writing at once, and what the peer still sends is discarded
// until the peer closes it too, or for LingerTimeout. Otherwise the kernel would reset a
// connection with unread bytes, and a caller that has pipelined requests would lose the
// responses that are still in transit when a response closes its connection.
package closer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// LingerTimeout is how long a closed connection goes on reading and discarding, unless
// its peer closes it earlier.
const LingerTimeout = 500 * time.Millisecond

// Listener accepts connections whose Close is a lingering close.
type Listener struct {
	net.Listener
	// lingering runs one goroutine for each connection that is closed but still read.
	lingering errgroup.Group
	// lingerUntil bounds the lingering closes that begin from now on; nil if nothing does.
	lingerUntil atomic.Pointer[time.Time]
	// maxLingering bounds the connections that linger at the same time; 0 if nothing does.
	maxLingering int64
	// lingeringCount is the number of connections that linger.
	lingeringCount atomic.Int64
}

// New returns a listener that wraps another one.
func New(listener net.Listener) *Listener {
	return &Listener{
		Listener: listener,
	}
}

// WithMaxLingering returns a listener that wraps the same one, and of which at most the
// given number of connections linger at the same time. Further ones are closed at once. 0
// means that there is no bound.
func (l *Listener) WithMaxLingering(connections int) *Listener {
	return &Listener{
		Listener:     l.Listener,
		maxLingering: int64(connections),
	}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:     accepted,
		listener: l,
	}, nil
}

// LimitLinger sets the time after which no connection that is closed from now on lingers.
func (l *Listener) LimitLinger(until time.Time) {
	l.lingerUntil.Store(&until)
}

// lingerEnd returns the time until which a connection that is closed now lingers.
func (l *Listener) lingerEnd(now time.Time) time.Time {
	end := now.Add(LingerTimeout)
	if until := l.lingerUntil.Load(); until != nil && until.Before(end) {
		return *until
	}
	return end
}

// Wait waits until no connection lingers. It must be called after the last Close of a
// connection.
func (l *Listener) Wait() {
	// The goroutines return no errors.
	_ = l.lingering.Wait()
}

// conn is a connection whose Close is a lingering close.
type conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	// lingerUntil is the read deadline of the lingering close; nil while the connection is
	// open.
	lingerUntil atomic.Pointer[time.Time]
}

// SetReadDeadline sets the read deadline. It returns net.ErrClosed once the connection is
// closed.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if until := c.lingerUntil.Load(); until != nil {
		// This call may have replaced the deadline of the lingering close.
		_ = c.Conn.SetReadDeadline(*until)
		return net.ErrClosed
	}
	return err
}

// SetDeadline sets the read and the write deadline. It returns net.ErrClosed once the
// connection is closed.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// limitReads sets the read deadline of the lingering close, which replaces any other.
func (c *conn) limitReads() {
	until := c.listener.lingerEnd(time.Now())
	c.lingerUntil.Store(&until)
	// An error means that the connection has failed.
	_ = c.Conn.SetReadDeadline(until)
}

// halfCloser is a connection that can be closed for writing and still be read.
type halfCloser interface {
	CloseWrite() error
}

// Close closes the connection for writing and returns. The connection itself is closed
// when its peer has closed it, LingerTimeout has passed or LimitLinger ends it. One that can't be
// half-closed, or for which there is no room among the connections that linger, is closed
// immediately.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		writer, ok := c.Conn.(halfCloser)
		if !ok || !c.listener.beginLinger() {
			c.Conn.Close()
			return
		}
		if writer.CloseWrite() != nil {
			c.listener.lingeringCount.Add(-1)
			c.Conn.Close()
			return
		}
		c.listener.lingering.Go(func() error {
			defer c.listener.lingeringCount.Add(-1)
			c.discardUntilClosed()
			return nil
		})
	})
	return nil
}

// SetLinger sets what a close does with bytes that have not been sent (see net.TCPConn).
func (c *conn) SetLinger(seconds int) error {
	lingering, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return lingering.SetLinger(seconds)
}

// SyscallConn returns access to the connection's descriptor (see syscall.Conn).
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// Abort closes the connection immediately, also one that lingers.
func (c *conn) Abort() error {
	c.closeOnce.Do(func() {})
	return c.Conn.Close()
}

// beginLinger counts one more connection that lingers and returns true, unless there are
// maxLingering.
func (l *Listener) beginLinger() bool {
	if l.lingeringCount.Add(1) > l.maxLingering && l.maxLingering > 0 {
		l.lingeringCount.Add(-1)
		return false
	}
	return true
}

// discardUntilClosed discards what is received until the peer closes the connection or
// LingerTimeout has passed, and closes the connection.
func (c *conn) discardUntilClosed() {
	defer c.Conn.Close()
	c.limitReads()
	// An error means that the connection has already failed or closed.
	_, _ = io.Copy(io.Discard, c.Conn)
}
