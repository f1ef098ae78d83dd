package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// TestUpstreamDiesAtEachPoint lets the upstream fail at each point of an attempt, shed the
// request or answer it. The verdict must be correct, the answer must be complete or the
// connection aborted, and a request that may have run must not be sent again.
func TestUpstreamDiesAtEachPoint(t *testing.T) {
	const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt"
	failurePoints := []struct {
		name    string
		script  connectionScript
		verdict arbiter.Verdict
		reason  arbiter.Reason
		// broken says that the answer is truncated after its header was passed on.
		broken bool
	}{
		{
			name:    "closes at once",
			script:  func(testing.TB, net.Conn, *bufio.Reader) {},
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name: "closes within the header",
			script: func(_ testing.TB, _ net.Conn, request *bufio.Reader) {
				_, _ = request.ReadString('\n')
			},
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name:    "closes after the request",
			script:  replyWith(""),
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name:    "closes within the answer's header",
			script:  replyWith("HTTP/1.1 200 OK\r\nContent-Le"),
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name:    "closes within a small body of known length",
			script:  replyWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nqui"),
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name:   "closes within a large body of known length",
			script: replyWith("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("q", 50_000)),
			broken: true,
		},
		{
			name:   "closes within a chunked body",
			script: replyWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nquilt\r\n"),
			broken: true,
		},
		{
			name:    "answers without a length",
			script:  replyWith("HTTP/1.1 200 OK\r\n\r\nquilt"),
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name:    "switches protocols",
			script:  replyWith("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"),
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.AnswerMalformed,
		},
		{
			name: "stops answering",
			script: func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
				if readRequest(request) == nil {
					_, _ = request.ReadByte()
				}
			},
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.DeadlineExceeded,
		},
		{
			name:    "sheds",
			script:  replyWith("HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n"),
			verdict: arbiter.NotRun,
			reason:  arbiter.UpstreamShed,
		},
		{
			name:    "is overloaded without verdict NotRun",
			script:  replyWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
			verdict: arbiter.Ran,
		},
		{
			name:    "states on a success that the request has not run",
			script:  replyWith("HTTP/1.1 200 OK\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n"),
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.NotRunUnproved,
		},
		{
			name:    "answers completely",
			script:  replyWith(completeAnswer),
			verdict: arbiter.Ran,
		},
	}
	// orders are requests that are not idempotent, so that they must never be sent again
	// if they may have run.
	orders := []struct {
		name string
		edit func(request *http.Request)
		body string
	}{
		{
			name: "order",
			edit: func(*http.Request) {},
			body: "one quilt",
		},
		{
			name: "order with idempotency key and no body",
			edit: func(request *http.Request) { request.Header.Set("Idempotency-Key", "k1") },
		},
	}
	for _, point := range failurePoints {
		for _, order := range orders {
			t.Run(point.name+"/"+order.name, func(t *testing.T) {
				t.Parallel()
				upstream := newScriptedUpstream(t, point.script)
				entry := newEntry(t, upstream.address)
				request := entry.request(t, http.MethodPost, "/orders/1", strings.NewReader(order.body))
				request.Header.Set(translator.HeaderTimeoutMillis, "300")
				order.edit(request)
				response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				_, err = io.ReadAll(response.Body)
				if point.broken {
					if err == nil {
						t.Fatal("got no error from reading a truncated answer, want one")
					}
				} else {
					requireVerdict(t, response, point.verdict, point.reason)
				}
				if sent := upstream.received.Load(); sent > 1 && point.verdict != arbiter.NotRun {
					t.Fatalf("got %d connections with bytes at the upstream, want at most 1", sent)
				}
			})
		}
	}
}

// TestRequestIsNotSentTwiceOnOneConnection lets the only upstream shed a request and keep the
// connection. The request must be sent again on another one: on the first, the upstream
// could write its refusal once more, which has the ID of both attempts.
func TestRequestIsNotSentTwiceOnOneConnection(t *testing.T) {
	var arrived atomic.Int64
	upstream := newScriptedUpstream(t, func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
		for readRequest(request) == nil {
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt"
			if arrived.Add(1) == 1 {
				answer = "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n"
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	entry := newEntry(t, upstream.address)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(entry.request(t, http.MethodGet, "/orders/1", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	requireVerdict(t, response, arbiter.Ran, "")
	if attempts, connections := arrived.Load(), upstream.received.Load(); attempts != 2 || connections != 2 {
		t.Fatalf("got %d attempts on %d connections, want 2 on 2", attempts, connections)
	}
}

// requireVerdict fails the test unless the answer has this verdict and this reason.
func requireVerdict(t *testing.T, response *http.Response, verdict arbiter.Verdict, reason arbiter.Reason) {
	t.Helper()
	gotVerdict := arbiter.ParseVerdict(response.Header.Get(translator.HeaderVerdict))
	gotReason := arbiter.Reason(response.Header.Get(translator.HeaderReason))
	if gotVerdict != verdict || gotReason != reason {
		t.Fatalf("status %d: got verdict %s, reason %q, want verdict %s, reason %q", response.StatusCode, gotVerdict, gotReason, verdict, reason)
	}
}

// TestNobodyListens asserts that a request is reported as NotRun if the connection
// to the upstream is refused.
func TestNobodyListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	entry := newEntry(t, listener.Addr().String())
	response, err := http.DefaultClient.Do(entry.request(t, http.MethodPost, "/orders/1", strings.NewReader("quilt")))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	requireVerdict(t, response, arbiter.NotRun, arbiter.UpstreamUnreached)
}

// TestShedOrderGoesToAnother asserts that an order (a request that is not idempotent) that
// one upstream sheds is sent to another one and runs there once.
func TestShedOrderGoesToAnother(t *testing.T) {
	shedding := newScriptedUpstream(t, replyWith("HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n"))
	working := newScriptedUpstream(t, replyWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt"))
	entry := newEntry(t, shedding.address, working.address)
	const orders = 20
	for range orders {
		response, err := http.DefaultClient.Do(entry.request(t, http.MethodPost, "/orders/1", strings.NewReader("quilt")))
		if err != nil {
			t.Fatal(err)
		}
		requireVerdict(t, response, arbiter.Ran, "")
		response.Body.Close()
	}
	if ran := working.received.Load(); ran != orders {
		t.Fatalf("got %d connections with bytes at the working upstream, want %d", ran, orders)
	}
}

// TestSilentOpenConnection guards against orders that hang on a reused connection.
// The upstream stops answering on each connection after the first request, without
// closing it. The next order must be sent on a new connection.
func TestSilentOpenConnection(t *testing.T) {
	upstream := newScriptedUpstream(t, func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
		if readRequest(request) != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt")
		// The connection stays open, but no further request on it is answered.
		_, _ = io.Copy(io.Discard, request)
	})
	entry := newEntry(t, upstream.address)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPost} {
		start := time.Now()
		response, err := http.DefaultClient.Do(entry.request(t, method, "/orders/1", nil))
		if err != nil {
			t.Fatal(err)
		}
		requireVerdict(t, response, arbiter.Ran, "")
		response.Body.Close()
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Fatalf("%s: got an answer after %s, want one within 1s", method, elapsed)
		}
	}
}

// TestUnusualRequests sends requests that two parsers could interpret differently, or
// that would expose a key to an upstream. None may reach the upstream.
func TestUnusualRequests(t *testing.T) {
	cases := []struct {
		name string
		text string
		// reason is the expected reason of the refusal; empty if net/http refuses the
		// request itself.
		reason arbiter.Reason
		status string
	}{
		{
			name:   "two lengths",
			text:   "POST /orders/1 HTTP/1.1\r\nHost: shopfront\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
			status: "400",
		},
		{
			name:   "chunked and a length",
			text:   "POST /orders/1 HTTP/1.1\r\nHost: shopfront\r\nContent-Length: 3\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
			status: "501",
		},
		{
			name:   "space before the colon",
			text:   "GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nContent-Length : 3\r\n\r\n",
			status: "400",
		},
		{
			name:   "key in the query",
			text:   "GET /orders/1?k=" + callerKey + " HTTP/1.1\r\nHost: shopfront\r\nAuthorization: Bearer " + callerKey + "\r\n\r\n",
			reason: arbiter.KeyExposed,
			status: "400",
		},
		{
			name:   "key in another header",
			text:   "GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nX-Key: " + callerKey + "\r\nAuthorization: Bearer " + callerKey + "\r\n\r\n",
			reason: arbiter.KeyExposed,
			status: "400",
		},
		{
			name:   "two keys",
			text:   "GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n",
			reason: arbiter.KeyMissing,
			status: "401",
		},
		{
			name:   "upgrade",
			text:   "GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
			reason: arbiter.RequestMalformed,
			status: "400",
		},
		{
			name:   "dot segments",
			text:   "GET /a/%2e%2e/orders HTTP/1.1\r\nHost: shopfront\r\n\r\n",
			reason: arbiter.RequestMalformed,
			status: "400",
		},
		{
			name:   "timeout is not a number",
			text:   "GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nHemlockport-Timeout-Millis: soon\r\n\r\n",
			reason: arbiter.RequestMalformed,
			status: "400",
		},
		{
			name:   "a large header",
			text:   "GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n",
			status: "431",
		},
	}
	upstream := newScriptedUpstream(t, replyWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	entry := newEntry(t, upstream.address)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", entry.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			// The server may answer and close the connection before all is written.
			_, _ = io.WriteString(conn, c.text)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if !strings.HasPrefix(response.Status, c.status) {
				t.Fatalf("got status %s, want %s", response.Status, c.status)
			}
			if c.reason != "" {
				requireVerdict(t, response, arbiter.NotRun, c.reason)
			}
		})
	}
	if sent := upstream.received.Load(); sent != 0 {
		t.Fatalf("got %d connections with bytes at the upstream, want 0", sent)
	}
}

// TestSlowSender stalls in the middle of a request's body. The request must end without
// having been sent, and the answer must say so.
func TestSlowSender(t *testing.T) {
	upstream := newScriptedUpstream(t, replyWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	entry := newEntry(t, upstream.address)
	conn, err := net.Dial("tcp", entry.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	header := "POST /orders/1 HTTP/1.1\r\nHost: shopfront\r\nContent-Length: 9\r\n" +
		"Hemlockport-Timeout-Millis: 200\r\nAuthorization: Bearer " + callerKey + "\r\n\r\none"
	if _, err = io.WriteString(conn, header); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	requireVerdict(t, response, arbiter.NotRun, arbiter.RequestTruncated)
	if sent := upstream.received.Load(); sent != 0 {
		t.Fatalf("got %d connections with bytes at the upstream, want 0", sent)
	}
}

// TestHeadersTowardsUpstream asserts that neither a key nor a forged team in a
// caller's headers reaches an upstream.
func TestHeadersTowardsUpstream(t *testing.T) {
	seen := make(chan http.Header, 1)
	upstream := newScriptedUpstream(t, func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
		message, err := http.ReadRequest(request)
		if err != nil {
			return
		}
		seen <- message.Header
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nHemlockport-Reason: Forged\r\n\r\n")
	})
	entry := newEntry(t, upstream.address)
	request := entry.request(t, http.MethodGet, "/orders/1", nil)
	request.Header.Set("Hemlockport-Team", "others")
	request.Header.Set("Proxy-Authorization", "Basic x")
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "1")
	request.Header.Set("X-Kept", "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	requireVerdict(t, response, arbiter.Ran, "")
	header := <-seen
	for _, name := range []string{"Authorization", "Proxy-Authorization", "X-Hop"} {
		if value := header.Get(name); value != "" {
			t.Errorf("header %s: got %q at the upstream, want none", name, value)
		}
	}
	if team := header.Get(translator.HeaderTeam); team != "quilters" {
		t.Errorf("got team %q, want \"quilters\"", team)
	}
	if header.Get("X-Kept") != "1" || header.Get(translator.HeaderTimeoutMillis) == "" {
		t.Errorf("got header %v, want X-Kept: 1 and a Hemlockport-Timeout-Millis", header)
	}
}

// TestOnlyExceededServiceDeadlinesMakeUpstreamSuspect lets a silent upstream exceed the
// deadlines of several requests. Exceeding the service's deadline three times must make it
// suspect; exceeding deadlines that the callers have made shorter must not.
func TestOnlyExceededServiceDeadlinesMakeUpstreamSuspect(t *testing.T) {
	silent := func(_ testing.TB, _ net.Conn, request *bufio.Reader) {
		if readRequest(request) == nil {
			_, _ = request.ReadByte()
		}
	}
	cases := []struct {
		name     string
		millis   string
		requests int
		health   admitter.Health
	}{
		{
			name:     "the callers' deadlines",
			millis:   "50",
			requests: 4,
			health:   admitter.Live,
		},
		{
			name:     "the service's deadline twice",
			millis:   "60000",
			requests: 2,
			health:   admitter.Live,
		},
		{
			name:     "the service's deadline three times",
			millis:   "60000",
			requests: 3,
			health:   admitter.Suspect,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			entry := newEntry(t, newScriptedUpstream(t, silent).address)
			var group errgroup.Group
			for range c.requests {
				group.Go(func() error {
					requireTimeout(t, entry, c.millis)
					return nil
				})
			}
			_ = group.Wait()
			for _, upstream := range entry.plans.Load().Upstreams() {
				if health := upstream.Health(); health != c.health {
					t.Fatalf("got upstream health %s, want %s", health, c.health)
				}
			}
		})
	}
}

// requireTimeout sends a request whose deadline passes.
func requireTimeout(t *testing.T, entry *entry, millis string) {
	request := entry.request(t, http.MethodPost, "/orders/1", strings.NewReader("quilt"))
	request.Header.Set(translator.HeaderTimeoutMillis, millis)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		t.Error(err)
		return
	}
	defer response.Body.Close()
	if reason := arbiter.Reason(response.Header.Get(translator.HeaderReason)); reason != arbiter.DeadlineExceeded {
		t.Errorf("got reason %q, want %q", reason, arbiter.DeadlineExceeded)
	}
	if verdict := arbiter.ParseVerdict(response.Header.Get(translator.HeaderVerdict)); verdict != arbiter.MayHaveRun {
		t.Errorf("got verdict %s, want %s", verdict, arbiter.MayHaveRun)
	}
}
