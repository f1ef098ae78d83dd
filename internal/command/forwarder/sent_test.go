package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// scriptedUpstream is an upstream that answers the first request on each connection, and
// closes the connection without an answer when the second one has arrived.
type scriptedUpstream struct {
	target Target
	// received counts the requests that have arrived.
	received atomic.Int64
	// heads holds the heads of the requests in the order of their arrival.
	heads chan string
}

// newScriptedUpstream starts a scripted upstream.
func newScriptedUpstream(t *testing.T) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &scriptedUpstream{
		target: Target{
			Name:    "upstream",
			Address: listener.Addr().String(),
		},
		heads: make(chan string, 16),
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				upstream.serve(conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	return upstream
}

// serve serves one connection.
func (u *scriptedUpstream) serve(conn net.Conn) {
	defer conn.Close()
	var copied bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &copied))
	for number := 1; number <= 2; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		u.received.Add(1)
		head, _, _ := strings.Cut(copied.String(), "\r\n\r\n")
		u.heads <- head
		copied.Reset()
		if number == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 204 Done\r\n\r\n")
		}
	}
}

// newOutbound returns a request that reaches an upstream in one second at most.
func newOutbound(t *testing.T, method, body string) Outbound {
	t.Helper()
	request, err := http.NewRequest(method, "http://shopfront/orders", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "7")
	read, refusal := ReadBody(request.Body, int64(len(body)))
	if refusal != nil {
		t.Fatal(refusal)
	}
	return NewOutbound(request, read, "quilters", true, time.Now().Add(time.Second))
}

// TestRequestIsSentOnce guards against a transport that sends a request a second time by
// itself, with the time budget of the first time and beyond the retry budget, when a kept
// connection ends before an answer. It also guards against a change of the bytes that frame
// an empty body.
func TestRequestIsSentOnce(t *testing.T) {
	cases := []struct {
		method string
		body   string
		// framing holds the lines that frame the body, in lower case.
		framing []string
	}{
		{
			method: http.MethodGet,
		},
		{
			method: http.MethodHead,
		},
		{
			method: http.MethodOptions,
		},
		{
			method: http.MethodTrace,
		},
		{
			method: http.MethodDelete,
		},
		{
			method:  http.MethodPost,
			framing: []string{"content-length: 0"},
		},
		{
			method:  http.MethodPut,
			framing: []string{"content-length: 0"},
		},
		{
			method:  http.MethodPatch,
			framing: []string{"content-length: 0"},
		},
		{
			method:  http.MethodPost,
			body:    "quilt",
			framing: []string{"content-length: 5"},
		},
		{
			method:  http.MethodGet,
			body:    "quilt",
			framing: []string{"content-length: 5"},
		},
	}
	for _, c := range cases {
		upstream := newScriptedUpstream(t)
		sender := New()
		t.Cleanup(sender.Close)
		outbound := newOutbound(t, c.method, c.body)
		answer, err := sender.Send(t.Context(), upstream.target, outbound)
		if err != nil {
			t.Fatal(err)
		}
		answer.Response.Body.Close()
		if got := framingOf(<-upstream.heads); !slices.Equal(got, c.framing) {
			t.Errorf("%s %q: got framing %q, want %q", c.method, c.body, got, c.framing)
		}
		_, err = sender.Send(t.Context(), upstream.target, outbound)
		if verdict := arbiter.VerdictOf(err); err == nil || verdict != arbiter.MayHaveRun || arbiter.IsUnsent(err) {
			t.Errorf("%s %q: got error %v, want one with the verdict MayHaveRun", c.method, c.body, err)
		}
		if received := upstream.received.Load(); received != 2 {
			t.Errorf("%s %q: got %d requests, want 2", c.method, c.body, received)
		}
	}
}

// framingOf returns the lines of a head that frame the body, in lower case.
func framingOf(head string) []string {
	var lines []string
	for line := range strings.SplitSeq(strings.ToLower(head), "\r\n") {
		if strings.HasPrefix(line, "content-length:") || strings.HasPrefix(line, "transfer-encoding:") {
			lines = append(lines, line)
		}
	}
	return lines
}

// brokenConn is a connection whose writes after the first one fail.
type brokenConn struct {
	net.Conn
	writes atomic.Int64
	// sent is how many bytes a failing write sends.
	sent int
}

func (b *brokenConn) Write(p []byte) (int, error) {
	if b.writes.Add(1) == 1 {
		return b.Conn.Write(p)
	}
	count, _ := b.Conn.Write(p[:b.sent])
	return count, io.ErrClosedPipe
}

// TestEndedConnection guards against a wrong verdict when a kept connection fails as the next
// request is written: only if no byte was sent is it proved that the request has not run.
func TestEndedConnection(t *testing.T) {
	cases := []struct {
		name    string
		sent    int
		verdict arbiter.Verdict
		unsent  bool
	}{
		{
			name:    "before the first byte",
			verdict: arbiter.NotRun,
			unsent:  true,
		},
		{
			name:    "after one byte",
			sent:    1,
			verdict: arbiter.MayHaveRun,
		},
	}
	for _, c := range cases {
		upstream := newScriptedUpstream(t)
		sender := New()
		t.Cleanup(sender.Close)
		sender.pooled.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGuardedConn(&brokenConn{
				Conn: conn,
				sent: c.sent,
			}), nil
		}
		outbound := newOutbound(t, http.MethodGet, "")
		answer, err := sender.Send(t.Context(), upstream.target, outbound)
		if err != nil {
			t.Fatal(err)
		}
		answer.Response.Body.Close()
		_, err = sender.Send(t.Context(), upstream.target, outbound)
		if verdict, unsent := arbiter.VerdictOf(err), arbiter.IsUnsent(err); err == nil || verdict != c.verdict || unsent != c.unsent {
			t.Errorf("%s: got error %v, unsent %v, want verdict %s, unsent %v", c.name, err, unsent, c.verdict, c.unsent)
		}
		if received := upstream.received.Load(); received != 1 {
			t.Errorf("%s: got %d requests, want 1", c.name, received)
		}
	}
}
