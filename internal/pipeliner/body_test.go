package pipeliner_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestBodyOfABrokenResponseKeepsItsBuffer guards against a buffer that another connection gets
// while the body of a request is still read from it, because the handler has panicked.
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
