package pipeliner_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// hookedListener accepts connections with hooks.
type hookedListener struct {
	net.Listener
	hooks hooks
}

// hooks are called by a connection of a hookedListener, unless they are nil.
type hooks struct {
	// beforeRead is called before each read.
	beforeRead func()
	// afterDeadlineRemoved is called after a read deadline was removed.
	afterDeadlineRemoved func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{
		Conn:  accepted,
		hooks: l.hooks,
	}, nil
}

type hookedConn struct {
	net.Conn
	hooks hooks
}

func (c *hookedConn) Read(p []byte) (int, error) {
	if c.hooks.beforeRead != nil {
		c.hooks.beforeRead()
	}
	return c.Conn.Read(p)
}

func (c *hookedConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if deadline.IsZero() && c.hooks.afterDeadlineRemoved != nil {
		c.hooks.afterDeadlineRemoved()
	}
	return err
}

// stopPause is long enough for Shutdown to have gone through all connections.
const stopPause = 50 * time.Millisecond

// stopTest is a server that is shut down at a certain point of one request.
type stopTest struct {
	server *pipeliner.Server
	group  errgroup.Group
	once   sync.Once
}

// shutdown shuts the server down in the background, once, and waits for stopPause.
func (s *stopTest) shutdown() {
	s.once.Do(func() {
		s.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return s.server.Shutdown(ctx)
		})
		time.Sleep(stopPause)
	})
}

// TestArrivedRequestsAreAnsweredAtShutdown guards against a Shutdown that closes a
// connection on which a request has arrived, without a response.
func TestArrivedRequestsAreAnsweredAtShutdown(t *testing.T) {
	const order = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder"
	cases := []struct {
		name string
		// first and second are the parts of the request that the caller sends before and
		// after Shutdown.
		first  string
		second string
		// hooksOf returns the hooks of the server's connections.
		hooksOf func(test *stopTest) hooks
	}{
		{
			name:  "the request is in the socket buffer",
			first: order,
			hooksOf: func(test *stopTest) hooks {
				return hooks{
					beforeRead: sync.OnceFunc(func() {
						time.Sleep(stopPause)
						test.shutdown()
					}),
				}
			},
		},
		{
			name:   "the header is being read",
			first:  order[:20],
			second: order[20:],
		},
		{
			name:   "the header has been read, but not the body",
			first:  order[:len(order)-5],
			second: order[len(order)-5:],
			hooksOf: func(test *stopTest) hooks {
				return hooks{
					afterDeadlineRemoved: test.shutdown,
				}
			},
		},
		{
			name:   "the handler reads the body",
			first:  order[:len(order)-2],
			second: order[len(order)-2:],
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			test := &stopTest{}
			hooked := &hookedListener{
				Listener: listener,
			}
			if c.hooksOf != nil {
				hooked.hooks = c.hooksOf(test)
			}
			test.server = pipeliner.New(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				io.Copy(w, request.Body)
			}), limits, func(reason any) { t.Error("handler panicked:", reason) })
			test.group.Go(func() error { return test.server.Serve(hooked) })
			caller, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
			send(t, caller, c.first)
			time.Sleep(stopPause)
			test.shutdown()
			send(t, caller, c.second)
			if got := receive(t, bufio.NewReader(caller), http.MethodPost); got.body != "order" || !got.closes {
				t.Errorf("got %+v, want body \"order\" and closes true", got)
			}
			if err = test.group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestAbortedRequestsAreAnswered guards against connections that are closed at the end of
// Shutdown before the handlers of the aborted requests can respond.
func TestAbortedRequestsAreAnswered(t *testing.T) {
	const view = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	cases := []struct {
		name     string
		requests string
		count    int
		// halted says that Shutdown's context is cancelled instead of reaching its deadline.
		halted bool
	}{
		{
			name:     "one request",
			requests: view,
			count:    1,
		},
		{
			name:     "pipelined requests",
			requests: view + view,
			count:    2,
		},
		{
			name:     "halted",
			requests: view,
			count:    1,
			halted:   true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			errStopped := errors.New("stopped")
			started := make(chan struct{}, c.count)
			server, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
				started <- struct{}{}
				<-request.Context().Done()
				if !c.halted && !errors.Is(context.Cause(request.Context()), errStopped) {
					t.Errorf("got cause %v, want %v", context.Cause(request.Context()), errStopped)
				}
				time.Sleep(stopPause)
				w.WriteHeader(http.StatusBadGateway)
			})
			send(t, caller, c.requests)
			for range c.count {
				<-started
			}
			ctx, cancel := context.WithTimeoutCause(t.Context(), stopPause, errStopped)
			defer cancel()
			if c.halted {
				cancel()
			}
			if err := server.Shutdown(ctx); err == nil {
				t.Error("Shutdown: got no error, want that of its context")
			}
			reader := bufio.NewReader(caller)
			if c.halted {
				if _, err := reader.ReadByte(); err == nil {
					t.Error("got a response after a halt, want none")
				}
				return
			}
			for range c.count {
				if got := receive(t, reader, http.MethodGet); got.status != http.StatusBadGateway {
					t.Fatalf("got %+v, want status 502", got)
				}
			}
		})
	}
}

// TestConnectionsCloseDespiteStuckHandlers guards against a Shutdown that waits for the responses
// of handlers that ignore the end of their context.
func TestConnectionsCloseDespiteStuckHandlers(t *testing.T) {
	const handlerTime = time.Second
	started := make(chan struct{})
	server, caller := startServer(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		time.Sleep(handlerTime)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), stopPause)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return server.Shutdown(ctx) })
	_ = caller.SetReadDeadline(time.Now().Add(handlerTime / 2))
	if _, err := caller.Read(make([]byte, 1)); isTimeout(err) {
		t.Error("the connection is open long after the end of Shutdown, want it closed")
	}
	_ = group.Wait()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// TestServeAfterShutdownEnds guards against a server that accepts connections for ever because
// it was stopped right after its start, before it had taken over the listener. The process
// then hangs.
func TestServeAfterShutdownEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := pipeliner.New(http.NotFoundHandler(), limits, func(any) {})
	if err = server.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ended <- server.Serve(listener)
		return nil
	})
	select {
	case err = <-ended:
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Serve still accepts connections after Shutdown")
	}
}
