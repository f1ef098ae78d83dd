package pipeliner

import "time"

// handshaker is a connection that begins with a handshake, such as one with TLS.
type handshaker interface {
	Handshake() error
}

// completeHandshake completes the handshake of a connection that begins with one, within the time
// for a head, and returns false if it fails. A connection whose handshake is not complete gives
// way to others as an unused one.
func (c *conn) completeHandshake() bool {
	secured, ok := c.netConn.(handshaker)
	if !ok {
		return true
	}
	timeout := time.Duration(c.server.limits.Load().HeaderMillis) * time.Millisecond
	// Errors mean that the connection has failed, which the handshake reports.
	_ = c.netConn.SetDeadline(time.Now().Add(timeout))
	if err := secured.Handshake(); err != nil {
		answerPlain(err)
		c.server.onEvent(RefusedHandshake)
		return false
	}
	_ = c.netConn.SetWriteDeadline(time.Time{})
	return true
}
