package pipeliner

import (
	"net"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// Event is something that the server does because a bound is reached.
type Event string

// The events.
const (
	// ClosedUnused, ClosedIdle and ClosedReading are connections that were closed to make
	// room for another one, by their phase (see bounder.Phase).
	ClosedUnused  Event = "ClosedUnused"
	ClosedIdle    Event = "ClosedIdle"
	ClosedReading Event = "ClosedReading"
	// ClosedHead is a connection that was closed because its head arrived most slowly and
	// the budget was used up.
	ClosedHead Event = "ClosedHead"
	// RefusedHeldBytes is a request that was refused because the budget was used up.
	RefusedHeldBytes Event = "RefusedHeldBytes"
	// RefusedHeader is a request that was refused because its head was too large,
	// RefusedSlow one whose head did not arrive in time, and RefusedMalformed one that was
	// no valid request.
	RefusedHeader    Event = "RefusedHeader"
	RefusedSlow      Event = "RefusedSlow"
	RefusedMalformed Event = "RefusedMalformed"
	// RefusedHandshake is a connection whose handshake failed or did not end in time.
	RefusedHandshake Event = "RefusedHandshake"
	// BrokenOff is an answer that was broken off because the budget was used up.
	BrokenOff Event = "BrokenOff"
)

// Events returns all events.
func Events() []Event {
	return []Event{
		ClosedUnused, ClosedIdle, ClosedReading, ClosedHead,
		RefusedHeldBytes, RefusedHeader, RefusedSlow, RefusedMalformed, RefusedHandshake, BrokenOff,
	}
}

// closedByPhase are the events of connections that were closed, by their phase.
var closedByPhase = [...]Event{
	bounder.Unused:  ClosedUnused,
	bounder.Idle:    ClosedIdle,
	bounder.Reading: ClosedReading,
}

// CloseWaiting closes the connection that gives way first, of those on which no request
// runs, and reports whether there was one.
func (s *Server) CloseWaiting() bool {
	return s.closeFirst(func(*conn) bool { return true }, func(phase bounder.Phase) Event {
		return closedByPhase[phase]
	})
}

// closeSlowestHead closes the connection whose head has been arriving for the longest time,
// of those that hold a large buffer, except one, and reports whether there was one.
func (s *Server) closeSlowestHead(except *conn) bool {
	return s.closeFirst(func(c *conn) bool { return c != except && c.largeBytes.Load() > 0 }, func(bounder.Phase) Event {
		return ClosedHead
	})
}

// closeFirst closes the first connection, in the order of bounder, that a condition allows.
func (s *Server) closeFirst(allowed func(*conn) bool, event func(bounder.Phase) Event) bool {
	for {
		var first *conn
		var firstWaiting bounder.Waiting
		now := time.Now()
		s.conns.Range(func(key, _ any) bool {
			candidate := key.(*conn)
			if waiting, ok := candidate.waiting(); ok && waiting.MayClose(now) && allowed(candidate) &&
				(first == nil || waiting.ClosesBefore(firstWaiting)) {
				first = candidate
				firstWaiting = waiting
			}
			return true
		})
		if first == nil {
			return false
		}
		if first.abandon() {
			s.onEvent(event(firstWaiting.Phase))
			return true
		}
		// A request has started on the connection meanwhile.
	}
}

// waiting returns the phase of the connection, or false if requests run on it or it is
// closing.
func (c *conn) waiting() (bounder.Waiting, bool) {
	if c.openExchanges.Load() != 0 {
		return bounder.Waiting{}, false
	}
	phase := bounder.Unused
	since := c.idleSince.Load()
	if head := c.headSince.Load(); head != 0 {
		phase = bounder.Reading
		since = head
	} else if c.used.Load() {
		phase = bounder.Idle
	}
	return bounder.Waiting{
		Phase: phase,
		Since: time.Unix(0, since),
	}, true
}

// aborter is a connection that can be closed without the wait for its peer.
type aborter interface {
	Abort() error
}

// abandon closes the connection at once and returns true, unless a request runs on it.
func (c *conn) abandon() bool {
	if !c.openExchanges.CompareAndSwap(0, noNewExchanges) {
		return false
	}
	c.cancel()
	c.returnLarge()
	abort(c.netConn)
	return true
}

// wrapper is a connection over another one, such as one with TLS.
type wrapper interface {
	NetConn() net.Conn
}

// abort closes a connection without the wait for its peer, also if it is over another one.
func abort(connection net.Conn) {
	connection = underlying(connection)
	if lingering, ok := connection.(aborter); ok {
		_ = lingering.Abort()
		return
	}
	connection.Close()
}

// resetter is a connection whose close can tell its peer of an error.
type resetter interface {
	SetLinger(seconds int) error
}

// reset closes a connection at once, so that its peer gets an error in place of an orderly end.
func reset(connection net.Conn) {
	if resettable, ok := underlying(connection).(resetter); ok {
		// An error means that the connection has failed.
		_ = resettable.SetLinger(0)
	}
	abort(connection)
}

// underlying returns the connection below one that is over another one, or the same one.
func underlying(connection net.Conn) net.Conn {
	if wrapped, ok := connection.(wrapper); ok {
		return wrapped.NetConn()
	}
	return connection
}
