package pipeliner

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// source reads from a connection. While limited is set, it returns an error once the limit
// has been read. While a request is read, only that request's own deadline ends a read:
// conn.interruptRead and the idle timeout apply to the wait for a request.
type source struct {
	conn net.Conn
	// remaining is the number of bytes that may still be read, while limited.
	remaining int64
	limited   bool
	// exceeded reports that a read was attempted beyond the limit.
	exceeded bool
	// deadline is the read deadline of the request that is being read, whose zero time
	// means none; nil between requests.
	deadline atomic.Pointer[time.Time]
}

var errHeaderTooLarge = errors.New("request header is too large")

func newSource(conn net.Conn) *source {
	return &source{
		conn: conn,
	}
}

func (s *source) limit(bytes int64) {
	s.remaining = bytes
	s.limited = true
	s.exceeded = false
}

func (s *source) unlimit() {
	s.limited = false
}

// beginRequest sets the deadline for reading a request that has begun to arrive.
func (s *source) beginRequest(deadline time.Time) {
	s.setDeadline(deadline)
}

// endRequest says that the request has been read, or isn't read any further.
func (s *source) endRequest() {
	s.deadline.Store(nil)
}

// setDeadline changes the deadline for reading the current request.
func (s *source) setDeadline(deadline time.Time) {
	s.deadline.Store(&deadline)
	// An error means that the connection is closed.
	_ = s.conn.SetReadDeadline(deadline)
}

// Read reads from the connection, up to the limit.
func (s *source) Read(p []byte) (int, error) {
	if !s.limited {
		return s.read(p)
	}
	if s.remaining <= 0 {
		s.exceeded = true
		return 0, errHeaderTooLarge
	}
	p = p[:min(int64(len(p)), s.remaining)]
	count, err := s.read(p)
	s.remaining -= int64(count)
	return count, err
}

// read reads from the connection. A read that a deadline other than the request's has
// ended is made again.
func (s *source) read(p []byte) (int, error) {
	for {
		count, err := s.conn.Read(p)
		if count > 0 || !isTimeout(err) || !s.restoreDeadline() {
			return count, err
		}
	}
}

// restoreDeadline sets the request's deadline on the connection again and returns true. It
// returns false if no request is read or its deadline has passed.
func (s *source) restoreDeadline() bool {
	for {
		deadline := s.deadline.Load()
		if deadline == nil || !deadline.IsZero() && !time.Now().Before(*deadline) {
			return false
		}
		_ = s.conn.SetReadDeadline(*deadline)
		// A deadline that was set meanwhile must not be overwritten.
		if s.deadline.Load() == deadline {
			return true
		}
	}
}
