package pipeliner

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"time"
)

// WithUpgrades makes the server pass a request that asks for another protocol (RFC 9110, section
// 7.8) to the handler with a response that is an http.Hijacker. The connection belongs to the
// handler until it returns. While the handler has not called Keep, the connection gives way to
// others as one whose head is incomplete, and what the request has taken from the budget stays
// taken.
func WithUpgrades() Option {
	return func(server *Server) {
		server.upgrades = true
	}
}

// upgrade is the response to a request that asks for another protocol.
type upgrade struct {
	conn   *conn
	header http.Header
	// held is what the request has taken from the server's budget, in bytes.
	held int64
	// headWritten says that the status line and the header have been written.
	headWritten bool
	// hijacked says that the handler uses the connection.
	hijacked bool
}

// isUpgrade reports whether a request is passed to the handler with an upgrade.
func (s *Server) isUpgrade(request *http.Request) bool {
	return s.upgrades && request.Header.Get("Upgrade") != "" && request.Body == http.NoBody
}

// serveUpgrade calls the handler with the request of an exchange that asks for another protocol. No
// other exchange is open then.
func (c *conn) serveUpgrade(next *exchange) {
	response := &upgrade{
		conn:   c,
		header: http.Header{},
		held:   next.held,
	}
	defer response.release()
	c.headSince.Store(next.arrivedAt.UnixNano())
	defer c.endHead()
	defer func() {
		if reason := recover(); reason != nil {
			c.server.reportPanic(reason)
		}
	}()
	timeout := time.Duration(c.server.limits.Load().WriteMillis) * time.Millisecond
	// An error means that the connection has failed.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(timeout))
	c.server.handler.ServeHTTP(response, next.request.WithContext(c.ctx))
	if !response.hijacked {
		response.WriteHeader(http.StatusOK)
		_ = c.writer.Flush()
	}
}

// Header returns the header of the response.
func (u *upgrade) Header() http.Header {
	return u.header
}

// WriteHeader writes the status and the header. Only the first call has an effect. Any status but
// 101 closes the connection.
func (u *upgrade) WriteHeader(status int) {
	if u.headWritten {
		return
	}
	u.headWritten = true
	if status != http.StatusSwitchingProtocols {
		u.header.Set("Connection", "close")
	}
	// An error means that the connection has failed, which the next write reports.
	_ = writeHead(u.conn.writer, status, u.header, nil)
}

// Write writes a part of the response's body.
func (u *upgrade) Write(p []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.conn.writer.Write(p)
}

var errHijackedTwice = errors.New("the connection has been hijacked before")

// Hijack hands the connection over to the handler (see http.Hijacker).
func (u *upgrade) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	if u.hijacked {
		return nil, nil, errHijackedTwice
	}
	u.hijacked = true
	c := u.conn
	// The handler may leave a goroutine that uses the buffers.
	c.readerInUse.Store(true)
	c.shrinkReader()
	c.source.endRequest()
	if err := c.writer.Flush(); err != nil {
		return nil, nil, err
	}
	return c.netConn, bufio.NewReadWriter(c.reader, c.writer), c.netConn.SetDeadline(time.Time{})
}

// Keep says that the peer has shown that it may use the connection, which from then on does not give
// way to others. It returns false if the connection has given way.
func (u *upgrade) Keep() bool {
	if !u.conn.openExchanges.CompareAndSwap(0, 1) {
		return false
	}
	u.conn.endHead()
	u.release()
	return true
}

// release returns what the request has taken from the budget.
func (u *upgrade) release() {
	u.conn.server.budget.Return(u.held)
	u.held = 0
}
