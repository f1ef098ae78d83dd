package pipeliner_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// TestUnsafeRequestsWaitForTheConnection guards against an unsafe request that has run behind a response which closes the connection.
func TestUnsafeRequestsWaitForTheConnection(t *testing.T) {
	cases := []struct {
		name string
		// second is the request behind the one that closes the connection.
		second string
		runs   bool
	}{
		{
			name:   "by GET, and unsafe",
			second: "GET /orders/1 HTTP/1.1\r\nHost: a\r\n\r\n",
		},
		{
			name:   "by HEAD, and unsafe",
			second: "HEAD /orders/1 HTTP/1.1\r\nHost: a\r\n\r\n",
		},
		{
			name:   "by POST",
			second: "POST /views/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		},
		{
			name:   "by GET, with a body",
			second: "GET /views/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nq",
		},
		{
			name:   "by GET, and safe",
			second: "GET /views/1 HTTP/1.1\r\nHost: a\r\n\r\n",
			runs:   true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			second := make(chan struct{}, 1)
			server := pipeliner.New(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path != "/first" {
					second <- struct{}{}
					return
				}
				if c.runs {
					<-second
					second <- struct{}{}
				}
				time.Sleep(stopPause)
				w.Header().Set("Connection", "close")
			}), limits, func(reason any) { t.Error("handler panicked:", reason) },
				pipeliner.WithUnsafe(func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, "/orders/") }))
			var group errgroup.Group
			group.Go(func() error { return server.Serve(listener) })
			caller, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
			send(t, caller, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"+c.second)
			received, _ := io.ReadAll(caller)
			if heads := strings.Count(string(received), "HTTP/1.1 "); heads != 1 {
				t.Errorf("got %d responses, want 1", heads)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			// Shutdown returns after the last handler.
			if err = server.Shutdown(ctx); err != nil {
				t.Error("Shutdown:", err)
			}
			_ = group.Wait()
			if ran := len(second) != 0; ran != c.runs {
				t.Errorf("the second request has run: %t, want %t", ran, c.runs)
			}
		})
	}
}
