package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestContinueIsNotWrittenIntoAResponse guards against an interim response in the middle of a final one.
func TestContinueIsNotWrittenIntoAResponse(t *testing.T) {
	cases := []struct {
		name string
		// handler answers with "quilt", and reads the body afterwards.
		handler http.HandlerFunc
	}{
		{
			name: "the handler reads on",
			handler: func(w http.ResponseWriter, request *http.Request) {
				writeQuilt(t, w)
				_, _ = io.ReadAll(request.Body)
			},
		},
		{
			name: "another goroutine reads on",
			handler: func(w http.ResponseWriter, request *http.Request) {
				writeQuilt(t, w)
				var reading errgroup.Group
				reading.Go(func() error {
					_, err := io.ReadAll(request.Body)
					return err
				})
				_, _ = io.WriteString(w, strings.Repeat("q", 16<<10))
				_ = reading.Wait()
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, caller := startServer(t, c.handler)
			send(t, caller, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
			send(t, caller, "order")
			received, _ := io.ReadAll(bufio.NewReader(caller))
			if heads := strings.Count(string(received), "HTTP/1.1 "); heads != 1 {
				t.Errorf("got %d heads, want 1: %q", heads, received[:min(len(received), 300)])
			}
		})
	}
}

// writeQuilt begins a response that closes its connection, and sends what there is of it.
func writeQuilt(t *testing.T, w http.ResponseWriter) {
	t.Helper()
	w.Header().Set("Connection", "close")
	if _, err := io.WriteString(w, "quilt"); err != nil {
		t.Error(err)
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		t.Error(err)
	}
}

// TestBodyOfABrokenResponseKeepsItsBuffer guards against a buffer that another connection gets while a body is still read from it.
func TestBodyOfABrokenResponseKeepsItsBuffer(t *testing.T) {
	ended := make(chan struct{})
	_, first := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		begun := make(chan struct{})
		var reading errgroup.Group
		reading.Go(func() error {
			_, _ = io.ReadFull(request.Body, make([]byte, len("order")))
			close(begun)
			_, _ = io.ReadAll(request.Body)
			ended <- struct{}{}
			return nil
		})
		<-begun
		// The next read waits for bytes of the caller by then.
		time.Sleep(2 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	for range 20 {
		caller, err := net.Dial("tcp", first.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		send(t, caller, "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n")
		_, _ = io.Copy(io.Discard, caller)
		<-ended
		caller.Close()
	}
}
