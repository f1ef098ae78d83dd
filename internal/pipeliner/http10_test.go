package pipeliner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/closer"
	"github.com/hemlockport/hemlockport/internal/gatekeeper"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// TestBrokenResponseWithoutChunks guards against a truncated response that looks complete: a
// caller of HTTP/1.0 takes the end of the connection for the end of a response of unknown
// length.
func TestBrokenResponseWithoutChunks(t *testing.T) {
	plain := func(opened net.Listener) net.Listener { return opened }
	wrapped := func(opened net.Listener) net.Listener {
		return closer.New(gatekeeper.New(opened, 10, func() {}))
	}
	cases := []struct {
		name string
		wrap func(net.Listener) net.Listener
		// stops reports that the server stops in place of the handler's failure.
		stops bool
	}{
		{
			name: "plain",
			wrap: plain,
		},
		{
			name: "bounded and lingering",
			wrap: wrapped,
		},
		{
			name:  "plain, and the server stops",
			wrap:  plain,
			stops: true,
		},
		{
			name:  "bounded and lingering, and the server stops",
			wrap:  wrapped,
			stops: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			opened, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			release := make(chan struct{})
			server := pipeliner.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				writeParts(t, w, 1, 0)
				if c.stops {
					<-release
				}
				breakOff(w)
			}), limits, func(reason any) { t.Error("handler panicked:", reason) })
			var group errgroup.Group
			group.Go(func() error { return server.Serve(c.wrap(opened)) })
			t.Cleanup(func() {
				_ = server.Shutdown(t.Context())
				_ = group.Wait()
			})
			caller, err := net.Dial("tcp", opened.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
			send(t, caller, "GET /1 HTTP/1.0\r\n\r\n")
			reader := bufio.NewReader(caller)
			if _, err = reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			if c.stops {
				ended, end := context.WithCancel(t.Context())
				end()
				group.Go(func() error { return server.Shutdown(ended) })
			}
			received, err := io.ReadAll(reader)
			close(release)
			if err == nil {
				t.Errorf("got %d bytes and an orderly end, want an error", len(received))
			}
		})
	}
}
