package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
)

// scriptedUpstream is an upstream that runs a script, usually a way to fail, on each
// connection.
type scriptedUpstream struct {
	address string
	// received counts the connections on which at least one byte arrived.
	received atomic.Int64
}

// connectionScript is what a scripted upstream does with one connection.
type connectionScript func(t testing.TB, conn net.Conn, request *bufio.Reader)

// newScriptedUpstream starts an upstream that runs the script on each connection and
// closes the connection when the script returns.
func newScriptedUpstream(t testing.TB, script connectionScript) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &scriptedUpstream{
		address: listener.Addr().String(),
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				script(t, conn, bufio.NewReader(&countingConn{
					Conn:     conn,
					upstream: upstream,
				}))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	return upstream
}

// countingConn counts its connection in the upstream when the first bytes arrive.
type countingConn struct {
	net.Conn
	upstream *scriptedUpstream
	counted  bool
}

func (c *countingConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if count > 0 && !c.counted {
		c.counted = true
		c.upstream.received.Add(1)
	}
	return count, err
}

func readRequest(request *bufio.Reader) error {
	message, err := http.ReadRequest(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, message.Body)
	return err
}

// replyWith returns a script that reads one request and answers with the text.
func replyWith(text string) connectionScript {
	return func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
		if readRequest(request) == nil {
			_, _ = io.WriteString(conn, text)
		}
	}
}
