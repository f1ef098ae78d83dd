package pipeliner_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// boundServer is a server with a budget, and what it has reported.
type boundServer struct {
	*pipeliner.Server
	t       *testing.T
	address string
	events  chan pipeliner.Event
}

func startBoundServer(t *testing.T, budget *bounder.Budget, handler http.HandlerFunc) *boundServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &boundServer{
		t:       t,
		address: listener.Addr().String(),
		events:  make(chan pipeliner.Event, 100),
	}
	started.Server = pipeliner.New(handler, limits, func(reason any) { t.Error("handler panicked:", reason) },
		pipeliner.WithBudget(budget), pipeliner.WithEvents(func(event pipeliner.Event) { started.events <- event }))
	var group errgroup.Group
	group.Go(func() error { return started.Serve(listener) })
	t.Cleanup(func() {
		if err := started.Shutdown(t.Context()); err != nil {
			t.Log("Shutdown:", err)
		}
		_ = group.Wait()
		if held := budget.Held(); held != 0 {
			t.Errorf("got %d bytes held after the end of all connections, want 0", held)
		}
	})
	return started
}

func (s *boundServer) dial(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	caller, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { caller.Close() })
	if err = caller.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	send(s.t, caller, text)
	return caller, bufio.NewReader(caller)
}

func (s *boundServer) checkEvent(want pipeliner.Event) {
	s.t.Helper()
	select {
	case got := <-s.events:
		if got != want {
			s.t.Errorf("got event %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		s.t.Errorf("got no event within 5s, want %s", want)
	}
}

func answerPath(w http.ResponseWriter, request *http.Request) {
	fmt.Fprint(w, request.URL.Path)
}

// TestHeadsInParts guards against heads that are misread because they arrive in parts, need
// the large buffer, or are followed by further requests in it.
func TestHeadsInParts(t *testing.T) {
	server := startBoundServer(t, bounder.NewBudget(4<<20), answerPath)
	large := "GET /large HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 6<<10) + "\r\n\r\n"
	text := large + "GET /small HTTP/1.1\r\nHost: a\r\n\r\n" + large
	caller, reader := server.dial("")
	for len(text) > 0 {
		part := min(len(text), 777)
		send(t, caller, text[:part])
		text = text[part:]
	}
	for _, want := range []string{"/large", "/small", "/large"} {
		if got := receive(t, reader, http.MethodGet); got.status != http.StatusOK || got.body != want {
			t.Fatalf("got %+v, want status 200 and body %s", got, want)
		}
	}
}

// TestRaisedLimits guards against a caller that keeps to limits that were raised while the
// server runs, and is refused by the earlier ones.
func TestRaisedLimits(t *testing.T) {
	server := startBoundServer(t, bounder.NewBudget(4<<20), answerPath)
	text := "GET /raised HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2*limits.HeaderBytes) + "\r\n\r\n"
	_, reader := server.dial(text)
	if got := receive(t, reader, http.MethodGet); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("got %+v, want status 431 by the first limits", got)
	}
	raised := server.Limits()
	raised.HeaderBytes = 3 * limits.HeaderBytes
	server.SetLimits(raised)
	_, reader = server.dial(text)
	if got := receive(t, reader, http.MethodGet); got.status != http.StatusOK {
		t.Fatalf("got %+v, want status 200 by the raised limits", got)
	}
}

// TestRefusedHeads guards against heads that are kept although they are over a bound, and
// against connections that end without saying that the request has not run.
func TestRefusedHeads(t *testing.T) {
	cases := []struct {
		name   string
		budget int64
		text   string
		status int
		event  pipeliner.Event
	}{
		{
			name:   "over the limit without end",
			budget: 1 << 20,
			text:   "GET / HTTP/1.1\r\n" + strings.Repeat("a: 1\r\n", 2000),
			status: http.StatusRequestHeaderFieldsTooLarge,
			event:  pipeliner.RefusedHeader,
		},
		{
			name:   "one line without end",
			budget: 1 << 20,
			text:   "GET /" + strings.Repeat("a", 9<<10),
			status: http.StatusRequestHeaderFieldsTooLarge,
			event:  pipeliner.RefusedHeader,
		},
		{
			name:   "no room for the large buffer",
			budget: 4 << 10,
			text:   "GET / HTTP/1.1\r\n" + strings.Repeat("a: 1\r\n", 1000),
			status: http.StatusServiceUnavailable,
			event:  pipeliner.RefusedHeldBytes,
		},
		{
			name:   "no room for the parsed lines",
			budget: 100 << 10,
			text:   "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n",
			status: http.StatusServiceUnavailable,
			event:  pipeliner.RefusedHeldBytes,
		},
		{
			name:   "no room for the body",
			budget: 60 << 10,
			text:   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n",
			status: http.StatusServiceUnavailable,
			event:  pipeliner.RefusedHeldBytes,
		},
		{
			name:   "not complete in time",
			budget: 1 << 20,
			text:   "GET / HTTP/1.1\r\nHost: a\r\n",
			status: http.StatusRequestTimeout,
			event:  pipeliner.RefusedSlow,
		},
		{
			name:   "empty lines before a request",
			budget: 1 << 20,
			text:   "\r\n\r\n\r\n",
			status: http.StatusBadRequest,
			event:  pipeliner.RefusedMalformed,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := startBoundServer(t, bounder.NewBudget(c.budget), func(http.ResponseWriter, *http.Request) {
				t.Error("the request has run, want it refused")
			})
			_, reader := server.dial(c.text)
			if got := receive(t, reader, http.MethodGet); got.status != c.status || !got.closes {
				t.Errorf("got %+v, want status %d and a connection that closes", got, c.status)
			}
			server.checkEvent(c.event)
		})
	}
}

// TestOrderOfClosedConnections guards against closing a connection whose request runs, and
// against closing a slow head before connections that are idle.
func TestOrderOfClosedConnections(t *testing.T) {
	running := make(chan struct{})
	release := make(chan struct{})
	server := startBoundServer(t, bounder.NewBudget(1<<20), func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/long" {
			close(running)
			<-release
		}
		answerPath(w, request)
	})
	_, longReader := server.dial("GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	_, slowReader := server.dial("GET /slow HTTP/1.1\r\n")
	_, idleReader := server.dial("GET /idle HTTP/1.1\r\nHost: a\r\n\r\n")
	receive(t, idleReader, http.MethodGet)
	closedReaders := []struct {
		event  pipeliner.Event
		reader *bufio.Reader
	}{
		{
			event:  pipeliner.ClosedIdle,
			reader: idleReader,
		},
		{
			event:  pipeliner.ClosedReading,
			reader: slowReader,
		},
	}
	// The response may arrive before its connection counts as idle, and the slow head is read
	// some time after it was sent.
	await(t, func() bool { return server.Waiting(bounder.Idle) == 1 && server.Waiting(bounder.Reading) == 1 })
	if server.CloseWaiting() {
		t.Error("a connection was closed although both have only begun to wait")
	}
	time.Sleep(bounder.FreshMillis * time.Millisecond)
	for _, closed := range closedReaders {
		if !server.CloseWaiting() {
			t.Fatalf("no connection was closed, want %s", closed.event)
		}
		server.checkEvent(closed.event)
		if _, err := closed.reader.ReadByte(); err == nil {
			t.Errorf("%s: got a byte, want a closed connection", closed.event)
		}
	}
	if server.CloseWaiting() {
		t.Error("a connection was closed although its request runs")
	}
	close(release)
	if got := receive(t, longReader, http.MethodGet); got.body != "/long" {
		t.Errorf("got %+v, want the answer of the request that ran", got)
	}
}

// await waits until a condition holds.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(5 * time.Second); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold after 5s")
		}
	}
}
