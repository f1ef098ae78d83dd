package forwarder

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// guardLimit bounds the wait until a reused connection is known to hold no answer
// that nobody asked for.
const guardLimit = 20 * time.Millisecond

// errUnasked means that a connection holds an answer that nobody asked for.
var errUnasked = errors.New("connection holds an answer that nobody asked for")

// guard is a connection that a transport reuses. It sends a request only when the
// transport's reader waits for bytes, so that its buffer is empty: an answer that
// is there already would be taken for the request's own.
type guard struct {
	net.Conn
	// waiting says that the reader waits for bytes; waits tells when it begins to.
	waiting atomic.Bool
	waits   chan struct{}
	// heard says that bytes came since the last write, so that the next write
	// begins a request.
	heard atomic.Bool
	// sent counts the writes.
	sent atomic.Uint64
}

// dialGuarded returns how to dial guarded connections.
func dialGuarded(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guard{
			Conn:  conn,
			waits: make(chan struct{}, 1),
		}, nil
	}
}

// Read waits for bytes.
func (g *guard) Read(p []byte) (int, error) {
	g.waiting.Store(true)
	select {
	case g.waits <- struct{}{}:
	default:
		// The last one has not been taken.
	}
	count, err := g.Conn.Read(p)
	g.waiting.Store(false)
	if count > 0 {
		g.heard.Store(true)
	}
	return count, err
}

// Write sends bytes. The first ones of a request wait for the reader; if it does
// not come to wait, nothing is sent and the connection ends.
func (g *guard) Write(p []byte) (int, error) {
	if g.heard.Load() && !g.readerWaits() {
		g.Close()
		return 0, errUnasked
	}
	g.heard.Store(false)
	g.sent.Add(1)
	return g.Conn.Write(p)
}

// readerWaits says whether the reader waits for bytes, or comes to in time.
func (g *guard) readerWaits() bool {
	if g.waiting.Load() {
		return true
	}
	timer := time.NewTimer(guardLimit)
	defer timer.Stop()
	for !g.waiting.Load() {
		select {
		case <-g.waits:
		case <-timer.C:
			return false
		}
	}
	return true
}

// witness remembers which connection a request got, and what had been sent there
// before.
type witness struct {
	guard  *guard
	before uint64
}

// see takes note of the connection.
func (w *witness) see(conn net.Conn) {
	guarded, ok := conn.(*guard)
	if !ok {
		return
	}
	w.guard = guarded
	w.before = guarded.sent.Load()
}

// end closes the connection, so that no other request is sent there.
func (w *witness) end() {
	if w.guard != nil {
		w.guard.Close()
	}
}

// unasked says whether an answer came although nothing was sent.
func (w *witness) unasked() bool {
	return w.guard != nil && w.guard.sent.Load() == w.before
}
