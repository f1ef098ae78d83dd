// Package pipeliner serves HTTP/1.1 to callers that send requests ahead. It works
// on them side by side and answers in the order in which they came. Package
// net/http parses; its own server would begin each request only after the answer
// to the one before.
//
// A request that changes something is worked on alone: none is begun beside it.
package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits bound what one connection may take.
type Limits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderMillis bounds the time in which a header comes, from its first byte on,
	// and IdleMillis the time without a request; in milliseconds.
	HeaderMillis int
	IdleMillis   int
	// WriteMillis bounds the writing of an answer, in milliseconds.
	WriteMillis int
	// Ahead is how many requests of one connection are worked on at once; at least 1.
	Ahead int
}

// Server serves connections. Safe for many goroutines.
type Server struct {
	handler http.Handler
	limits  Limits
	failed  func(reason any)

	// work is the life of all requests; abort ends it.
	work  context.Context
	abort context.CancelFunc
	// leaving says that callers are told to go.
	leaving atomic.Bool
	// conns holds a *conn as key for each open connection.
	conns sync.Map
	// serving runs the connections.
	serving errgroup.Group
	// stopped says that no further connection is served.
	stopped atomic.Bool
	// listening guards listener, which Shutdown closes.
	listening sync.Mutex
	listener  net.Listener
}

// New returns a server. Failed is told of each panic of the handler but
// http.ErrAbortHandler, which just breaks off the answer.
func New(handler http.Handler, limits Limits, failed func(reason any)) *Server {
	work, abort := context.WithCancel(context.Background())
	return &Server{
		handler: handler,
		limits:  limits,
		failed:  failed,
		work:    work,
		abort:   abort,
	}
}

// Serve accepts connections until Shutdown closes the listener; then it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.listening.Lock()
	s.listener = listener
	s.listening.Unlock()
	for {
		accepted, err := listener.Accept()
		switch {
		case err == nil:
			s.start(accepted)
		case s.stopped.Load():
			return nil
		case isTimeout(err) || isShort(err):
			// The process is out of descriptors for a moment.
			<-time.After(acceptPause)
		default:
			return err
		}
	}
}

// acceptPause is the time between two tries to accept while descriptors are short.
const acceptPause = 5 * time.Millisecond

// report tells of a handler's panic.
func (s *Server) report(reason any) {
	if reason != http.ErrAbortHandler {
		s.failed(reason)
	}
}

func (s *Server) start(accepted net.Conn) {
	c := newConn(s, accepted)
	s.conns.Store(c, nil)
	s.serving.Go(func() error {
		defer s.conns.Delete(c)
		c.serve()
		return nil
	})
	if s.stopped.Load() {
		// Shutdown may not have seen the connection.
		c.stop()
	}
}

// Leave tells callers to go: the last answer of each connection says that it ends
// there. Requests are served on.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Shutdown closes the listener, ends idle connections, and ends the others after the
// answers to what has been begun. When ctx ends, it breaks off what is left and
// returns its error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopped.Store(true)
	s.leaving.Store(true)
	s.closeListener()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).stop()
		return true
	})
	ended := make(chan struct{})
	var waiting errgroup.Group
	waiting.Go(func() error {
		defer close(ended)
		return s.serving.Wait()
	})
	select {
	case <-ended:
		s.abort()
		return nil
	case <-ctx.Done():
	}
	s.abort()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).net.Close()
		return true
	})
	<-ended
	return ctx.Err()
}

func (s *Server) closeListener() {
	s.listening.Lock()
	defer s.listening.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}
