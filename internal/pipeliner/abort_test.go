package pipeliner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/closer"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// TestPartialRequestDoesNotDelayTheEndOfShutdown guards against a Shutdown that waits for the
// rest of a request's header, on a connection whose Close lingers.
func TestPartialRequestDoesNotDelayTheEndOfShutdown(t *testing.T) {
	// maxEnd is more than a lingering close takes, and less than the header's timeout.
	const maxEnd = 2 * time.Second
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := closer.New(tcpListener)
	patient := limits
	patient.HeaderMillis = 10_000
	server := pipeliner.New(http.NotFoundHandler(), patient, func(reason any) { t.Error("handler panicked:", reason) })
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	for range 8 {
		caller, err := net.Dial("tcp", tcpListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		send(t, caller, "GET /1 HTTP/1.1\r\nHost:")
	}
	time.Sleep(stopPause)
	ctx, cancel := context.WithTimeout(t.Context(), stopPause)
	defer cancel()
	begun := time.Now()
	_ = server.Shutdown(ctx)
	listener.Wait()
	if took := time.Since(begun); took > maxEnd {
		t.Errorf("Shutdown and the lingering closes took %v, want at most %v", took, maxEnd)
	}
	_ = group.Wait()
}

// TestPartialRequestDoesNotKeepAClosedConnectionOpen guards against a connection that stays open
// after a response that closes it, because the header of a further request is incomplete.
func TestPartialRequestDoesNotKeepAClosedConnectionOpen(t *testing.T) {
	cases := []struct {
		name string
		// handler ends the response to the first request.
		handler http.HandlerFunc
	}{
		{
			name: "the response has Connection: close",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
			},
		},
		{
			name: "the response breaks off",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
				<-release
				c.handler(w, request)
			})
			send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost:")
			time.Sleep(stopPause)
			close(release)
			// The header's timeout is longer.
			_ = caller.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			if _, err := io.Copy(io.Discard, caller); isTimeout(err) {
				t.Error("the connection is open 500ms after the response, want it closed")
			}
		})
	}
}

// TestRequestsBehindAnAbortedOneAreAnswered guards against a finished response, or the refusal in
// place of one that waits for its turn, that is thrown away because the end of Shutdown aborts
// a request before it on its connection.
func TestRequestsBehindAnAbortedOneAreAnswered(t *testing.T) {
	cases := []struct {
		name string
		// body is the response to the second request.
		body string
		// flushed says that the handler flushes the response, as a streamed one.
		flushed bool
		want    result
	}{
		{
			name: "short",
			body: "view",
			want: result{
				status: http.StatusOK,
				body:   "view",
				closes: true,
			},
		},
		{
			name:    "streamed",
			body:    "view",
			flushed: true,
			want: result{
				status: http.StatusBadGateway,
				closes: true,
			},
		},
		{
			name: "longer than the buffer",
			body: strings.Repeat("v", 100<<10),
			want: result{
				status: http.StatusBadGateway,
				closes: true,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			started := make(chan struct{}, 2)
			server, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
				started <- struct{}{}
				if request.URL.Path == "/1" {
					<-request.Context().Done()
					w.WriteHeader(http.StatusBadGateway)
					return
				}
				_, err := io.WriteString(w, c.body)
				if err == nil && c.flushed {
					err = http.NewResponseController(w).Flush()
				}
				if err == nil {
					return
				}
				if !w.(interface{ Reset() bool }).Reset() {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(http.StatusBadGateway)
			})
			send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
			<-started
			<-started
			time.Sleep(stopPause)
			ctx, cancel := context.WithTimeout(t.Context(), stopPause)
			defer cancel()
			var group errgroup.Group
			group.Go(func() error {
				// The error is that of ctx.
				_ = server.Shutdown(ctx)
				return nil
			})
			defer func() { _ = group.Wait() }()
			reader := bufio.NewReader(caller)
			if got := receive(t, reader, http.MethodGet); got.status != http.StatusBadGateway {
				t.Errorf("first response: got %+v, want status 502", got)
			}
			if got := receive(t, reader, http.MethodGet); got != c.want {
				t.Errorf("second response: got %+v, want %+v", got, c.want)
			}
		})
	}
}
