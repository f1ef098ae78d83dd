package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// breakOff ends a response that can't be completed as the receiver does: by another one if
// nothing of it was sent, and otherwise by the end of the connection.
func breakOff(w http.ResponseWriter) {
	if !w.(interface{ Reset() bool }).Reset() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusBadGateway)
}

// writeParts writes a response in parts of 10 KiB and flushes each. It sets a length if there
// is one.
func writeParts(t *testing.T, w http.ResponseWriter, parts, length int) {
	if length > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	for range parts {
		if _, err := io.WriteString(w, strings.Repeat("q", 10<<10)); err != nil {
			t.Error(err)
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
	}
}

// TestBrokenResponseCostsNoOther guards against complete responses that are lost because a long
// response, or one of unknown length, breaks off before them on their connection.
func TestBrokenResponseCostsNoOther(t *testing.T) {
	cases := []struct {
		name string
		// parts is the number of parts before the response breaks off, and length its
		// declared length in bytes, or 0.
		parts  int
		length int
		// whole reports that the response does not break off.
		whole   bool
		trailer string
		want    int
	}{
		{
			name:  "short, of unknown length",
			parts: 1,
			want:  http.StatusBadGateway,
		},
		{
			name:  "longer than the ordinary buffer, of unknown length",
			parts: 20,
			want:  http.StatusBadGateway,
		},
		{
			name:   "longer than the ordinary buffer",
			parts:  20,
			length: 1 << 20,
			want:   http.StatusBadGateway,
		},
		{
			name:  "whole, of unknown length",
			parts: 20,
			whole: true,
			want:  http.StatusOK,
		},
		{
			name:    "whole, with a trailer",
			parts:   20,
			whole:   true,
			trailer: "checked",
			want:    http.StatusOK,
		},
		{
			name:  "whole, longer than what is held",
			parts: 200,
			whole: true,
			want:  http.StatusOK,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			started := make(chan struct{}, 2)
			_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path != "/1" {
					started <- struct{}{}
					_, _ = io.WriteString(w, "view")
					return
				}
				<-started
				<-started
				writeParts(t, w, c.parts, c.length)
				if !c.whole {
					breakOff(w)
					return
				}
				if c.trailer != "" {
					w.Header().Set(http.TrailerPrefix+"State", c.trailer)
				}
			})
			send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
			reader := bufio.NewReader(caller)
			first, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(first.Body)
			if err != nil || first.StatusCode != c.want || first.Trailer.Get("State") != c.trailer {
				t.Fatalf("first response: got status %d, trailer %v, error %v", first.StatusCode, first.Trailer, err)
			}
			if c.whole && len(body) != c.parts*10<<10 {
				t.Errorf("first response: got %d bytes, want %d", len(body), c.parts*10<<10)
			}
			for range 2 {
				want := result{
					status: http.StatusOK,
					body:   "view",
				}
				if got := receive(t, reader, http.MethodGet); got != want {
					t.Errorf("got %+v, want %+v", got, want)
				}
			}
		})
	}
}

// TestNoRequestStartsBehindAStream guards against requests that are passed on behind a response
// that has left the buffer and may still break off.
func TestNoRequestStartsBehindAStream(t *testing.T) {
	cases := []struct {
		name   string
		breaks bool
	}{
		{
			name: "the stream ends",
		},
		{
			name:   "the stream breaks off",
			breaks: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := make(chan struct{}, 1)
			release := make(chan struct{})
			_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path != "/1" {
					second <- struct{}{}
					_, _ = io.WriteString(w, "view")
					return
				}
				writeParts(t, w, 1, 0)
				<-release
				if c.breaks {
					breakOff(w)
				}
			})
			send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
			reader := bufio.NewReader(caller)
			if _, err := reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			send(t, caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
			select {
			case <-second:
				t.Error("the second request has started while the first response streamed")
			case <-time.After(100 * time.Millisecond):
			}
			close(release)
			first, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, first.Body)
			if (err != nil) != c.breaks {
				t.Fatalf("first response: got error %v, want one: %v", err, c.breaks)
			}
			if c.breaks {
				// The end of the connection follows its last handler.
				_, _ = io.Copy(io.Discard, caller)
				if len(second) != 0 {
					t.Error("the second request has started on a connection that closes")
				}
				return
			}
			if got := receive(t, reader, http.MethodGet); got.body != "view" {
				t.Errorf("second response: got %+v, want view", got)
			}
		})
	}
}

// TestDiscardedStreamIsNotWritten guards against a truncated response that looks complete,
// because a response that waited behind it is written in its place.
func TestDiscardedStreamIsNotWritten(t *testing.T) {
	const length = 4 << 20
	for range 20 {
		waiting := make(chan struct{})
		_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/1" {
				<-waiting
				// More than what is held, so that the response streams.
				writeParts(t, w, 200, length)
				breakOff(w)
				return
			}
			_, _ = io.WriteString(w, "view")
			close(waiting)
			<-request.Context().Done()
			// The connection's writer discards the response meanwhile.
			time.Sleep(5 * time.Millisecond)
			if err := http.NewResponseController(w).Flush(); err == nil {
				t.Error("a response was flushed behind one that broke off")
			}
		})
		send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
		received, _ := io.ReadAll(caller)
		if heads := strings.Count(string(received), "HTTP/1.1 "); heads != 1 || len(received) >= length {
			t.Fatalf("got %d bytes with %d heads, want fewer than %d with 1", len(received), heads, length)
		}
	}
}

// TestResponsesBeyondTheHeldBytes guards against responses that are refused or cut short because
// many callers pipeline requests behind long ones: those beyond the bound stream.
func TestResponsesBeyondTheHeldBytes(t *testing.T) {
	const connections, parts = 12, 90
	started := make(chan struct{}, connections)
	release := make(chan struct{})
	_, first := startServer(t, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/1" {
			started <- struct{}{}
			return
		}
		<-release
		writeParts(t, w, parts, 0)
	})
	callers := []net.Conn{first}
	for range connections - 1 {
		caller, err := net.Dial("tcp", first.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { caller.Close() })
		callers = append(callers, caller)
	}
	for _, caller := range callers {
		send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
		<-started
	}
	close(release)
	for i, caller := range callers {
		reader := bufio.NewReader(caller)
		if got := receive(t, reader, http.MethodGet); len(got.body) != parts*10<<10 {
			t.Errorf("connection %d: got %d bytes, want %d", i, len(got.body), parts*10<<10)
		}
		if got := receive(t, reader, http.MethodGet); got.status != http.StatusOK {
			t.Errorf("connection %d: got %+v behind a long response, want status 200", i, got)
		}
	}
}
