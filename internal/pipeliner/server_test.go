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
	Ahead:        4,
}

// start serves a handler and returns the server and a connection to it.
func start(t *testing.T, handler http.HandlerFunc) (*pipeliner.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := pipeliner.New(handler, limits, func(reason any) { t.Error("panic:", reason) })
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
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

// answer is what a test looks at.
type answer struct {
	status int
	body   string
	closes bool
}

func receive(t *testing.T, reader *bufio.Reader, method string) answer {
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
	return answer{
		status: response.StatusCode,
		body:   string(body),
		closes: response.Close,
	}
}

// Requests sent ahead are worked on side by side and answered in order.
func TestSideBySideInOrder(t *testing.T) {
	arrived := make(chan struct{}, 3)
	all := make(chan struct{})
	_, caller := start(t, func(w http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		if request.URL.Path == "/1" {
			<-all
		}
		fmt.Fprint(w, request.URL.Path)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		select {
		case <-arrived:
		case <-time.After(2 * time.Second):
			t.Fatal("a request waits for the answer to the one before")
		}
	}
	close(all)
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/1", "/2", "/3"} {
		if got := receive(t, reader, http.MethodGet); got.body != want || got.status != http.StatusOK {
			t.Fatalf("answer %+v, want %s", got, want)
		}
	}
}

// What changes something is worked on alone.
func TestUnsafeAlone(t *testing.T) {
	var running, most atomic.Int64
	_, caller := start(t, func(w http.ResponseWriter, request *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
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
			t.Fatalf("answer %+v, want %q", got, want)
		}
	}
	if most.Load() != 1 {
		t.Fatalf("%d at once beside a request that changes something", most.Load())
	}
}

func TestShapes(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	cases := []struct {
		name    string
		request string
		method  string
		handler http.HandlerFunc
		want    answer
	}{
		{
			name:    "long answer without a length",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, long) },
			want: answer{
				status: http.StatusOK,
				body:   long,
			},
		},
		{
			name:    "long answer with a length",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(long)))
				io.WriteString(w, long)
			},
			want: answer{
				status: http.StatusOK,
				body:   long,
			},
		},
		{
			name:    "flushed",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "a")
				_ = http.NewResponseController(w).Flush()
				io.WriteString(w, "b")
			},
			want: answer{
				status: http.StatusOK,
				body:   "ab",
			},
		},
		{
			name:    "head",
			request: "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
			method:  http.MethodHead,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "7")
				w.WriteHeader(http.StatusOK)
			},
			want: answer{
				status: http.StatusOK,
			},
		},
		{
			name:    "no content",
			request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
			want: answer{
				status: http.StatusNoContent,
			},
		},
		{
			name:    "the caller closes",
			request: "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") },
			want: answer{
				status: http.StatusOK,
				body:   "x",
				closes: true,
			},
		},
		{
			name:    "no host",
			request: "GET / HTTP/1.1\r\n\r\n",
			want: answer{
				status: http.StatusBadRequest,
				closes: true,
			},
		},
		{
			name:    "malformed",
			request: "nonsense\r\n\r\n",
			want: answer{
				status: http.StatusBadRequest,
				closes: true,
			},
		},
		{
			name:    "header too large",
			request: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 10<<10) + "\r\n\r\n",
			want: answer{
				status: http.StatusRequestHeaderFieldsTooLarge,
				closes: true,
			},
		},
		{
			name:    "the body is left",
			request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) },
			want: answer{
				status: http.StatusUnauthorized,
				closes: true,
			},
		},
		{
			name:    "the caller waits to send the body",
			request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nhi",
			handler: func(w http.ResponseWriter, request *http.Request) { io.Copy(w, request.Body) },
			want: answer{
				status: http.StatusContinue,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, caller := start(t, c.handler)
			send(t, caller, c.request)
			if got := receive(t, bufio.NewReader(caller), c.method); got != c.want {
				t.Fatalf("answer with status %d, %d bytes, closes %t", got.status, len(got.body), got.closes)
			}
		})
	}
}

// An answer that is broken off ends the connection and does not look whole.
func TestBrokenOff(t *testing.T) {
	_, caller := start(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 100<<10))
		panic(http.ErrAbortHandler)
	})
	send(t, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		t.Fatal("the answer looks whole")
	}
}

// A caller that goes ends its requests.
func TestCallerGone(t *testing.T) {
	cases := []struct {
		name     string
		requests string
		count    int
	}{
		{
			name:     "two ahead",
			requests: "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
			count:    2,
		},
		{
			name:     "the last one of its connection",
			requests: "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
			count:    1,
		},
		{
			name:     "one that changes something",
			requests: "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
			count:    1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{}, c.count)
			begun := make(chan struct{}, c.count)
			_, caller := start(t, func(_ http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				begun <- struct{}{}
				<-request.Context().Done()
				ended <- struct{}{}
			})
			send(t, caller, c.requests)
			for range c.count {
				<-begun
			}
			caller.Close()
			for range c.count {
				select {
				case <-ended:
				case <-time.After(2 * time.Second):
					t.Fatal("a request goes on without its caller")
				}
			}
		})
	}
}

// While the server leaves, all that was begun is answered, and the last answer says
// that the connection ends.
func TestLeave(t *testing.T) {
	begun := make(chan struct{}, 3)
	release := make(chan struct{})
	server, caller := start(t, func(w http.ResponseWriter, request *http.Request) {
		begun <- struct{}{}
		<-release
		fmt.Fprint(w, request.URL.Path)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-begun
	}
	server.Leave()
	close(release)
	reader := bufio.NewReader(caller)
	for i, want := range []string{"/1", "/2", "/3"} {
		got := receive(t, reader, http.MethodGet)
		if got.body != want || got.closes != (i == 2) {
			t.Fatalf("answer %+v, want %s", got, want)
		}
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("after the last answer: %v, want the end", err)
	}
}

// Shutdown ends an idle connection at once, and waits for answers under way.
func TestShutdown(t *testing.T) {
	begun := make(chan struct{}, 1)
	release := make(chan struct{})
	server, caller := start(t, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
		io.WriteString(w, "whole")
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	var group errgroup.Group
	group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return server.Shutdown(ctx)
	})
	time.Sleep(50 * time.Millisecond)
	close(release)
	if got := receive(t, bufio.NewReader(caller), http.MethodGet); got.body != "whole" || !got.closes {
		t.Fatalf("answer %+v", got)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Connections that are reused many times keep their order under many callers.
func TestManyCallers(t *testing.T) {
	_, first := start(t, func(w http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "0") {
			time.Sleep(time.Millisecond)
		}
		fmt.Fprint(w, request.URL.Path)
	})
	var group errgroup.Group
	for range 8 {
		group.Go(func() error { return converse(first.RemoteAddr().String()) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// converse sends many requests ahead and checks the order of the answers.
func converse(address string) error {
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
			return fmt.Errorf("answer %s, want %s", body, want)
		}
	}
	return group.Wait()
}

// A deadline that comes after its answer was written does not touch the next one.
func TestLateWriteDeadline(t *testing.T) {
	first := make(chan http.ResponseWriter, 1)
	release := make(chan struct{})
	_, caller := start(t, func(w http.ResponseWriter, request *http.Request) {
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
		t.Fatalf("answer %+v", got)
	}
}
