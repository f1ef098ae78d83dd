// Package pipeliner is an HTTP/1.1 server for callers that pipeline requests. It
// handles the requests of a connection concurrently and sends the responses in the
// order of the requests. Package net/http parses the requests, but its server isn't
// used, as it starts each request only after the response to the previous one.
//
// An unsafe request, any but a GET or HEAD without a body, may change something and runs
// alone: no other request of its connection runs at the same time. Further requests count as
// unsafe by WithUnsafe. A request that runs behind others has run if one of their responses
// closes the connection, and its caller sends it again all the same.
//
// The package knows nothing of admission: it leaves every request to its handler, and
// refuses only what it can't read.
package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// Limits bounds the resources of one connection.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// HeaderMillis bounds the time to receive a header, from its first byte, in
	// milliseconds.
	HeaderMillis int
	// IdleMillis bounds the time without a request, in milliseconds.
	IdleMillis int
	// WriteMillis bounds the writing of a response, in milliseconds.
	WriteMillis int
	// BufferedBodyBytes is up to which size the handler reads a request's body completely
	// before it uses it, in bytes. It decides what a body takes from the budget.
	BufferedBodyBytes int64
	// MaxPipelined is how many requests of one connection may run concurrently behind
	// the one whose response is next; at least 1.
	MaxPipelined int
}

// Server serves HTTP/1.1 connections. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	// limits are replaced while connections are served; never nil.
	limits  atomic.Pointer[Limits]
	onPanic func(reason any)
	// budget bounds what the requests of all connections hold; nil if nothing does.
	budget *bounder.Budget
	// onEvent is called for each event; never nil.
	onEvent func(Event)
	// isUnsafe reports whether a GET or HEAD without a body is unsafe; never nil.
	isUnsafe func(*http.Request) bool
	// upgrades says that requests for other protocols are passed on (see WithUpgrades).
	upgrades bool
	// largeBuffers holds readers whose buffers have largeBufferBytes.
	largeBuffers sync.Pool

	// requestsCtx is the parent context of all requests; abort cancels it.
	requestsCtx context.Context
	abort       context.CancelCauseFunc
	// closeAnnounced reports that the server is draining, so that the last response of
	// each connection closes it.
	closeAnnounced atomic.Bool
	// conns holds the *conn of each open connection as a key.
	conns sync.Map
	// heldBytes is what the responses of all connections have reserved (see maxHeldBytes).
	heldBytes atomic.Int64
	// connGroup runs the connections.
	connGroup errgroup.Group
	// stopped reports that Shutdown has been called.
	stopped atomic.Bool
	// listenerMu guards listener, which Shutdown closes, and served.
	listenerMu sync.Mutex
	listener   net.Listener
	// served is closed when Serve has returned; nil before Serve.
	served chan struct{}
}

// Option changes a default of a server.
type Option func(server *Server)

// WithBudget bounds what the requests of all connections hold together. Without it, or with
// nil, nothing does.
func WithBudget(budget *bounder.Budget) Option {
	return func(server *Server) {
		server.budget = budget
	}
}

// WithEvents calls a function for each event. It must not wait.
func WithEvents(onEvent func(Event)) Option {
	return func(server *Server) {
		server.onEvent = onEvent
	}
}

// WithUnsafe sets the function that reports whether a GET or HEAD without a body is unsafe, as
// one that is not idempotent. Without it none is. The function is called for each of them before
// its handler and must not wait.
func WithUnsafe(isUnsafe func(*http.Request) bool) Option {
	return func(server *Server) {
		server.isUnsafe = isUnsafe
	}
}

// New returns a server. It calls onPanic with the value of each panic of the handler,
// except http.ErrAbortHandler, which only aborts the response.
func New(handler http.Handler, limits Limits, onPanic func(reason any), opts ...Option) *Server {
	requestsCtx, abort := context.WithCancelCause(context.Background())
	server := &Server{
		handler:     handler,
		onPanic:     onPanic,
		onEvent:     func(Event) {},
		isUnsafe:    func(*http.Request) bool { return false },
		requestsCtx: requestsCtx,
		abort:       abort,
	}
	server.limits.Store(&limits)
	for _, opt := range opts {
		opt(server)
	}
	return server
}

// Limits returns the limits of each connection.
func (s *Server) Limits() Limits {
	return *s.limits.Load()
}

// SetLimits replaces the limits of each connection, but for MaxPipelined, which applies to
// connections that are accepted from now on. A head that is being read and a wait that has
// begun may keep to the earlier ones.
func (s *Server) SetLimits(limits Limits) {
	s.limits.Store(&limits)
}

// largeBuffer returns a reader whose buffer has the given size, in bytes.
func (s *Server) largeBuffer(size int) *bufio.Reader {
	if size != largeBufferBytes {
		return bufio.NewReaderSize(nil, size)
	}
	if large, ok := s.largeBuffers.Get().(*bufio.Reader); ok {
		return large
	}
	return bufio.NewReaderSize(nil, size)
}

// keepLarge keeps a reader with a large buffer for the next head. Larger ones are not kept: what is
// kept does not count in the budget.
func (s *Server) keepLarge(large *bufio.Reader) {
	if large.Size() == largeBufferBytes {
		s.largeBuffers.Put(large)
	}
}

// Serve accepts and serves connections until Shutdown closes the listener. Then it
// returns nil.
func (s *Server) Serve(listener net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.listenerMu.Lock()
	s.listener = listener
	s.served = served
	s.listenerMu.Unlock()
	if s.stopped.Load() {
		// Shutdown may have looked for the listener before it was stored.
		s.closeListener()
	}
	for {
		accepted, err := listener.Accept()
		switch {
		case err == nil:
			s.startConn(accepted)
		case s.stopped.Load():
			return nil
		case isTimeout(err) || isOutOfDescriptors(err):
			// The listener has timed out, or there are no free file descriptors for now.
			<-time.After(acceptPause)
		default:
			return err
		}
	}
}

// acceptPause is the time until the next attempt to accept a connection, after one that
// has timed out or found no free file descriptor.
const acceptPause = 5 * time.Millisecond

// finalResponseTimeout is how long the connections of aborted requests stay open for their
// responses.
const finalResponseTimeout = 200 * time.Millisecond

// reportPanic calls onPanic with a handler's panic, unless it is the one that aborts a
// response.
func (s *Server) reportPanic(reason any) {
	if reason != http.ErrAbortHandler {
		s.onPanic(reason)
	}
}

func (s *Server) startConn(accepted net.Conn) {
	c := newConn(s, accepted)
	s.conns.Store(c, nil)
	s.connGroup.Go(func() error {
		defer s.conns.Delete(c)
		c.serve()
		return nil
	})
	if s.stopped.Load() {
		// Shutdown may have gone through conns before the connection was stored.
		c.stop()
	}
}

// AnnounceClose asks callers to close their connections: the last response of each
// connection from now on has the header Connection: close. The server still accepts
// connections and requests.
func (s *Server) AnnounceClose() {
	s.closeAnnounced.Store(true)
}

// Shutdown closes the listener and the idle connections, and closes each of the others
// after the responses to the requests that have started. When ctx ends, it aborts the
// remaining requests, with the cause of ctx, and returns the error of ctx. If ctx has ended
// by its deadline, their handlers have finalResponseTimeout to respond; otherwise the
// connections are closed immediately.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopped.Store(true)
	s.closeAnnounced.Store(true)
	s.closeListener()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).stop()
		return true
	})
	ended := make(chan struct{})
	var waiter errgroup.Group
	waiter.Go(func() error {
		defer close(ended)
		s.awaitAccepted()
		return s.connGroup.Wait()
	})
	select {
	case <-ended:
		s.abort(nil)
		return nil
	case <-ctx.Done():
	}
	s.abort(context.Cause(ctx))
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).interruptRead()
		return true
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		select {
		case <-ended:
		case <-time.After(finalResponseTimeout):
		}
	}
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).close()
		return true
	})
	<-ended
	return ctx.Err()
}

// awaitAccepted waits until all connections that were accepted are in connGroup. The listener must
// be closed.
func (s *Server) awaitAccepted() {
	s.listenerMu.Lock()
	served := s.served
	s.listenerMu.Unlock()
	if served != nil {
		<-served
	}
}

func (s *Server) closeListener() {
	s.listenerMu.Lock()
	defer s.listenerMu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}
