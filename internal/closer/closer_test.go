package closer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/closer"
)

// responseBytes is more than the socket buffers of both ends hold.
const responseBytes = 8 << 20

// TestLastResponseArrives guards against responses that are truncated by a reset. The
// caller has pipelined a second request, which the server doesn't read, as the response
// to the first one closes the connection. The caller must get all of that response.
func TestLastResponseArrives(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := closer.New(tcpListener)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			io.WriteString(w, strings.Repeat("x", responseBytes))
		}),
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Close()
		_ = group.Wait()
		listener.Wait()

	})
	caller, err := net.Dial("tcp", tcpListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	// The second request is larger than the read buffer of the server.
	pipelined := "GET /2 HTTP/1.1\r\nHost: a\r\nX-Fill: " + strings.Repeat("y", 16<<10) + "\r\n\r\n"
	if _, err = io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+pipelined); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	// The caller reads the body only after the server has closed the connection.
	time.Sleep(100 * time.Millisecond)
	count, err := io.Copy(io.Discard, response.Body)
	if err != nil || count != responseBytes {
		t.Fatalf("response body: got %d bytes and error %v, want %d bytes and no error", count, err, responseBytes)
	}
}

// TestDeadlinesDoNotProlongALingeringClose guards against a lingering close that waits for as
// long as the peer keeps the connection open, because a deadline is set after Close.
func TestDeadlinesDoNotProlongALingeringClose(t *testing.T) {
	cases := []struct {
		name        string
		setDeadline func(net.Conn)
	}{
		{
			name:        "read deadline",
			setDeadline: func(conn net.Conn) { _ = conn.SetReadDeadline(time.Time{}) },
		},
		{
			name:        "both deadlines",
			setDeadline: func(conn net.Conn) { _ = conn.SetDeadline(time.Time{}) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer tcpListener.Close()
			listener := closer.New(tcpListener)
			peer, err := net.Dial("tcp", tcpListener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			accepted.Close()
			time.Sleep(closer.LingerTimeout / 10)
			c.setDeadline(accepted)
			ended := make(chan struct{})
			var group errgroup.Group
			group.Go(func() error {
				defer close(ended)
				listener.Wait()
				return nil
			})
			select {
			case <-ended:
			case <-time.After(4 * closer.LingerTimeout):
				t.Errorf("the connection lingers after %v, want at most %v", 4*closer.LingerTimeout, closer.LingerTimeout)
				peer.Close()
			}
			_ = group.Wait()
		})
	}
}
