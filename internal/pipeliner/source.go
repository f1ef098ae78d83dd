package pipeliner

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// source reads from a connection. While a head that has arrived is parsed, it returns an
// error in place of reading further. While a request is read, only that request's own
// deadline ends a read: conn.interruptRead and the idle timeout apply to the wait for a
// request.
type source struct {
	conn net.Conn
	// ctx ends when no further request can get a response. From then on any read deadline
	// ends a read.
	ctx context.Context
	// pending is what the next reads return before they read from the connection.
	pending []byte
	// parsing says that a head that has arrived is parsed.
	parsing bool
	// arrivedAt is when the last bytes that were read from the connection arrived, as far as that
	// is known; zero before the first.
	arrivedAt time.Time
	// leftUnread says that the connection was not read for a while, so that the next bytes may
	// have arrived long before they are read.
	leftUnread bool
	// deadline is the read deadline of the request that is being read, whose zero time
	// means none; nil between requests.
	deadline atomic.Pointer[time.Time]
}

var errHeadIncomplete = errors.New("the parser reads beyond the end of the request's head")

func newSource(ctx context.Context, conn net.Conn) *source {
	return &source{
		conn: conn,
		ctx:  ctx,
	}
}

// endRequest says that the request has been read, or isn't read any further.
func (s *source) endRequest() {
	s.deadline.Store(nil)
}

// setDeadline sets the deadline for reading a request that has begun to arrive, or changes it.
// The zero time means none.
func (s *source) setDeadline(deadline time.Time) {
	s.deadline.Store(&deadline)
	s.applyDeadline(deadline)
}

// applyDeadline sets the read deadline of the connection, in the past if ctx has ended:
// whoever ends ctx interrupts the read after that, which this call may have undone.
func (s *source) applyDeadline(deadline time.Time) {
	// Errors mean that the connection is closed.
	_ = s.conn.SetReadDeadline(deadline)
	if s.ctx.Err() != nil {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// Read reads from the connection, after what is pending.
func (s *source) Read(p []byte) (int, error) {
	if len(s.pending) > 0 {
		count := copy(p, s.pending)
		s.pending = s.pending[count:]
		return count, nil
	}
	if s.parsing {
		return 0, errHeadIncomplete
	}
	return s.read(p)
}

// read reads from the connection. A read that a deadline other than the request's has
// ended is made again.
func (s *source) read(p []byte) (int, error) {
	for {
		count, err := s.conn.Read(p)
		if count > 0 {
			s.noteArrival(time.Now())
		}
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
		if s.ctx.Err() != nil || deadline == nil || !deadline.IsZero() && !time.Now().Before(*deadline) {
			return false
		}
		s.applyDeadline(*deadline)
		// A deadline that was set meanwhile must not be overwritten.
		if s.deadline.Load() == deadline {
			return true
		}
	}
}
