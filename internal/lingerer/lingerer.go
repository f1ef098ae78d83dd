// Package lingerer closes connections so that the last answer arrives. A
// connection that is closed while bytes of its peer are unread is reset, and takes
// answers with it that are still under way; callers that send requests ahead meet
// that whenever one answer ends their connection.
package lingerer

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limit is how long a closed connection goes on reading, unless its peer closes it
// before.
const Limit = 500 * time.Millisecond

// Listener accepts connections that linger when they are closed.
type Listener struct {
	net.Listener
	// closing runs the connections that linger.
	closing errgroup.Group
}

// New returns a listener over another one.
func New(listener net.Listener) *Listener {
	return &Listener{
		Listener: listener,
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

// Wait waits until no connection lingers any more. It is called once none is
// closed any more.
func (l *Listener) Wait() {
	// Lingering connections return no errors.
	_ = l.closing.Wait()
}

// conn is a connection that lingers when it is closed.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// halfCloser can end the sending and go on reading.
type halfCloser interface {
	CloseWrite() error
}

// Close ends the sending at once, and the connection once its peer has closed it
// or Limit has passed.
func (c *conn) Close() error {
	c.once.Do(func() {
		half, ok := c.Conn.(halfCloser)
		if !ok || half.CloseWrite() != nil {
			c.Conn.Close()
			return
		}
		c.listener.closing.Go(func() error {
			c.linger()
			return nil
		})
	})
	return nil
}

func (c *conn) linger() {
	defer c.Conn.Close()
	// What fails here has gone already.
	_ = c.Conn.SetReadDeadline(time.Now().Add(Limit))
	_, _ = io.Copy(io.Discard, c.Conn)
}
