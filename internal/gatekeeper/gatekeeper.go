// Package gatekeeper provides listeners with a bounded number of open connections. When
// the number is reached, a connection that waits makes room for the next one, or the next
// one is refused. A connection counts until its descriptor is closed, also while it lingers.
package gatekeeper

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener accepts a bounded number of connections.
type Listener struct {
	net.Listener
	// slots holds an item for each open connection.
	slots chan struct{}
	// makeRoom is called when there are too many connections; nil before OnFull.
	makeRoom atomic.Pointer[MakeRoom]
	// refused is called for each connection that is refused.
	refused func()
}

// MakeRoom closes one connection without the wait for its peer and returns true, or returns
// false if none may be closed. It closes each connection at most once.
type MakeRoom func() bool

// New returns a listener that wraps another one. It allows at most the given number of
// connections, and any number if it is 0.
func New(listener net.Listener, connections int, refused func()) *Listener {
	limited := &Listener{
		Listener: listener,
		refused:  refused,
	}
	if connections > 0 {
		limited.slots = make(chan struct{}, connections)
	}
	return limited
}

// OnFull sets the function that makes room for a further connection.
func (l *Listener) OnFull(makeRoom MakeRoom) {
	l.makeRoom.Store(&makeRoom)
}

// Open returns the number of open connections; 0 if there is no bound.
func (l *Listener) Open() int {
	return len(l.slots)
}

// Accept waits for the next connection that finds room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.slots == nil {
			return accepted, nil
		}
		if l.takeSlot() {
			return &conn{
				Conn:     accepted,
				listener: l,
			}, nil
		}
		l.refused()
		refuse(accepted)
	}
}

// takeSlot takes a slot and returns true, or returns false if no connection can be closed in
// favour of the next one. A connection that makes room may have returned its slot before, so
// that it takes another one.
func (l *Listener) takeSlot() bool {
	for {
		select {
		case l.slots <- struct{}{}:
			return true
		default:
		}
		makeRoom := l.makeRoom.Load()
		if makeRoom == nil || !(*makeRoom)() {
			return false
		}
	}
}

// refusal tells a caller that its request has not run, and to try again.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuseTimeout bounds the write of refusal. The send buffer of a new connection is empty,
// so that the write does not wait.
const refuseTimeout = 10 * time.Millisecond

// refuse tells a caller that there is no room, and closes the connection.
func refuse(accepted net.Conn) {
	// Errors mean that the connection has failed.
	_ = accepted.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = accepted.Write([]byte(refusal))
	accepted.Close()
}

// conn is a connection that holds a slot until it is closed.
type conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
}

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return halfCloser.CloseWrite()
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

// Close closes the connection and returns its slot.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		<-c.listener.slots
	})
	return err
}
