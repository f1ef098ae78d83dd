package pipeliner_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

var limits = pipeliner.Limits{
	HeaderBytes:  8 << 10,
	HeaderMillis: 1000,
	IdleMillis:   5000,
	WriteMillis:  5000,
	MaxPipelined: 4,
}

// startServer serves a handler and returns the server and a connection to it.
func startServer(t *testing.T, handler http.HandlerFunc) (*pipeliner.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := pipeliner.New(handler, limits, func(reason any) { t.Error("handler panicked:", reason) })
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			t.Error("Shutdown:", err)
		}
		if err := group.Wait(); err != nil {
			t.Error("Serve:", err)
		}
	})
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	if err = caller.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return server, caller
}

func send(t *testing.T, caller net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
}

// result is the part of a response that the tests compare.
type result struct {
	status int
	body   string
	// closes reports that the response has the header Connection: close.
	closes bool
}

func receive(t *testing.T, reader *bufio.Reader, method string) result {
	t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{
		Method: method,
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return result{
		status: response.StatusCode,
		body:   string(body),
		closes: response.Close,
	}
}

// TestSafeRequestsRunConcurrently checks that pipelined safe requests run concurrently
// and get their responses in order.
func TestSafeRequestsRunConcurrently(t *testing.T) {
	arrived := make(chan struct{}, 3)
	release := make(chan struct{})
	_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		if request.URL.Path == "/1" {
			<-release
		}
		fmt.Fprint(w, request.URL.Path)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		select {
		case <-arrived:
		case <-time.After(2 * time.Second):
			t.Fatal("a request had not started after 2s, want all 3 to start before the first response")
		}
	}
	close(release)
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/1", "/2", "/3"} {
		if got := receive(t, reader, http.MethodGet); got.body != want || got.status != http.StatusOK {
			t.Fatalf("got %+v, want status 200 and body %s", got, want)
		}
	}
}

// TestUnsafeRequestsRunAlone checks that no other request of a connection runs while an
// unsafe one does.
func TestUnsafeRequestsRunAlone(t *testing.T) {
	var running, maxRunning atomic.Int64
	_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		body, _ := io.ReadAll(request.Body)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(w, "%s %s", request.URL.Path, body)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+
		"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder"+
		"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"+
		"GET /4 HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/1 ", "/2 order", "/3 two", "/4 "} {
		if got := receive(t, reader, http.MethodGet); got.body != want {
			t.Fatalf("got %+v, want body %q", got, want)
		}
	}
	if maxRunning.Load() != 1 {
		t.Fatalf("got up to %d requests running at the same time, want 1 at a time", maxRunning.Load())
	}
}

// TestSingleResponsesAreComplete checks the status, body and Connection header of
// single responses.
func TestSingleResponsesAreComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	cases := []struct {
		name    string
		request string
		method  string
		handler http.HandlerFunc
		want    result
	}{
		{
			name:    "long response without a length",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, long) },
			want: result{
				status: http.StatusOK,
				body:   long,
			},
		},
		{
			name:    "long response with a length",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(long)))
				io.WriteString(w, long)
			},
			want: result{
				status: http.StatusOK,
				body:   long,
			},
		},
		{
			name:    "flushed between two writes",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "a")
				_ = http.NewResponseController(w).Flush()
				io.WriteString(w, "b")
			},
			want: result{
				status: http.StatusOK,
				body:   "ab",
			},
		},
		{
			name:    "HEAD request",
			request: "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
			method:  http.MethodHead,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "7")
				w.WriteHeader(http.StatusOK)
			},
			want: result{
				status: http.StatusOK,
			},
		},
		{
			name:    "no content",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
			want: result{
				status: http.StatusNoContent,
			},
		},
		{
			name:    "caller asks to close",
			request: "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") },
			want: result{
				status: http.StatusOK,
				body:   "x",
				closes: true,
			},
		},
		{
			name:    "no Host header",
			request: "GET / HTTP/1.1\r\n\r\n",
			want: result{
				status: http.StatusBadRequest,
				closes: true,
			},
		},
		{
			name:    "malformed request line",
			request: "nonsense\r\n\r\n",
			want: result{
				status: http.StatusBadRequest,
				closes: true,
			},
		},
		{
			name:    "header too large",
			request: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 10<<10) + "\r\n\r\n",
			want: result{
				status: http.StatusRequestHeaderFieldsTooLarge,
				closes: true,
			},
		},
		{
			name:    "handler leaves the body unread",
			request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) },
			want: result{
				status: http.StatusUnauthorized,
				closes: true,
			},
		},
		{
			name:    "caller expects 100 Continue",
			request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nhi",
			handler: func(w http.ResponseWriter, request *http.Request) { io.Copy(w, request.Body) },
			want: result{
				status: http.StatusContinue,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, caller := startServer(t, c.handler)
			send(t, caller, c.request)
			if got := receive(t, bufio.NewReader(caller), c.method); got != c.want {
				t.Fatalf("got status %d, %d bytes, closes %t, want status %d, %d bytes, closes %t",
					got.status, len(got.body), got.closes, c.want.status, len(c.want.body), c.want.closes)
			}
		})
	}
}

// TestNoContentHasNoLength guards against a length in a response that must have none.
func TestNoContentHasNoLength(t *testing.T) {
	_, caller := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusNoContent)
	})
	send(t, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	const want = "HTTP/1.1 204 No Content\r\n\r\n"
	got := make([]byte, len(want))
	if _, err := io.ReadFull(caller, got); err != nil || string(got) != want {
		t.Errorf("got %q and error %v, want %q", got, err, want)
	}
}

// TestAbortedResponseIsIncomplete checks that a caller can't take the response of a
// handler that panicked for a complete one.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	_, caller := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 100<<10))
		panic(http.ErrAbortHandler)
	})
	send(t, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		t.Fatal("got a complete response from a handler that panicked, want a read error")
	}
}

// TestClosedConnectionCancelsRequests checks that the contexts of all running requests
// end when the caller closes the connection.
func TestClosedConnectionCancelsRequests(t *testing.T) {
	cases := []struct {
		name     string
		requests string
		count    int
	}{
		{
			name:     "two pipelined requests",
			requests: "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
			count:    2,
		},
		{
			name:     "last request of its connection",
			requests: "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
			count:    1,
		},
		{
			name:     "unsafe request",
			requests: "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
			count:    1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{}, c.count)
			started := make(chan struct{}, c.count)
			_, caller := startServer(t, func(_ http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				started <- struct{}{}
				<-request.Context().Done()
				ended <- struct{}{}
			})
			send(t, caller, c.requests)
			for range c.count {
				<-started
			}
			caller.Close()
			for range c.count {
				select {
				case <-ended:
				case <-time.After(2 * time.Second):
					t.Fatal("a request still runs 2s after its caller closed the connection")
				}
			}
		})
	}
}

// TestLastResponseClosesConnectionAfterAnnounceClose checks that every request that had
// started before AnnounceClose gets its response, and that only the last response
// closes the connection.
func TestLastResponseClosesConnectionAfterAnnounceClose(t *testing.T) {
	started := make(chan struct{}, 3)
	release := make(chan struct{})
	server, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		started <- struct{}{}
		<-release
		fmt.Fprint(w, request.URL.Path)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-started
	}
	server.AnnounceClose()
	close(release)
	reader := bufio.NewReader(caller)
	for i, want := range []string{"/1", "/2", "/3"} {
		got := receive(t, reader, http.MethodGet)
		if got.body != want || got.closes != (i == 2) {
			t.Fatalf("got %+v, want body %s and closes %t", got, want, i == 2)
		}
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("read after the last response: got error %v, want EOF", err)
	}
}

// TestShutdownWaitsForStartedResponses checks that Shutdown waits for a response that
// isn't complete and closes its connection afterwards.
func TestShutdownWaitsForStartedResponses(t *testing.T) {
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	server, caller := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		io.WriteString(w, "whole")
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	var group errgroup.Group
	group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return server.Shutdown(ctx)
	})
	time.Sleep(50 * time.Millisecond)
	close(release)
	if got := receive(t, bufio.NewReader(caller), http.MethodGet); got.body != "whole" || !got.closes {
		t.Fatalf("got %+v, want body \"whole\" and closes true", got)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// TestResponsesKeepOrderOnLongConnections checks the order of the responses on
// connections that are reused many times by several callers.
func TestResponsesKeepOrderOnLongConnections(t *testing.T) {
	_, first := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "0") {
			time.Sleep(time.Millisecond)
		}
		fmt.Fprint(w, request.URL.Path)
	})
	var group errgroup.Group
	for range 8 {
		group.Go(func() error { return checkResponseOrder(first.RemoteAddr().String()) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// checkResponseOrder pipelines 300 requests on one connection and checks the order of
// the responses.
func checkResponseOrder(address string) error {
	caller, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer caller.Close()
	const count = 300
	var group errgroup.Group
	group.Go(func() error {
		for i := range count {
			if _, err := fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i); err != nil {
				return err
			}
		}
		return nil
	})
	reader := bufio.NewReader(caller)
	for i := range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		if want := fmt.Sprintf("/%d", i); string(body) != want {
			return fmt.Errorf("response %d: got body %s, want %s", i, body, want)
		}
	}
	return group.Wait()
}

// TestLateWriteDeadlineSparesNextResponse guards against a write deadline that a
// handler sets after its response was written and that would truncate the next
// response.
func TestLateWriteDeadlineSparesNextResponse(t *testing.T) {
	first := make(chan http.ResponseWriter, 1)
	release := make(chan struct{})
	_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/1" {
			first <- w
			return
		}
		<-release
		io.WriteString(w, "whole")
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(caller)
	receive(t, reader, http.MethodGet)
	if err := http.NewResponseController(<-first).SetWriteDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	close(release)
	if got := receive(t, reader, http.MethodGet); got.body != "whole" {
		t.Fatalf("got %+v, want body \"whole\"", got)
	}
}
