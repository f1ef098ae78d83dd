package pipeliner_test

import (
	"bufio"
	"context"
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
