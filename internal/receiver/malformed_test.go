package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// ownAnswers are malformed answers with fields of the project's own protocol.
var ownAnswers = []malformer.Answer{
	{
		Name:       "a blank behind the name of the verdict",
		StatusLine: "HTTP/1.1 503 Shed\r\n",
		Fields:     "Hemlockport-Verdict : NotRun\r\nContent-Length: 0\r\n",
		Fate:       malformer.WeRefuse,
	},
	{
		Name:       "a shed request with status 000",
		StatusLine: "HTTP/1.1 000 Shed\r\n",
		Fields:     "Hemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n",
		Fate:       malformer.WeRefuse,
	},
	{
		Name:       "a shed request with a blank in a name",
		StatusLine: "HTTP/1.1 503 Shed\r\n",
		Fields:     "Hemlockport-Verdict: NotRun\r\nX Quilt: 1\r\nContent-Length: 0\r\n",
		Fate:       malformer.WeRefuse,
	},
	{
		Name:       "a shed request with a malformed chunk",
		StatusLine: "HTTP/1.1 503 Shed\r\n",
		Fields:     "Hemlockport-Verdict: NotRun\r\n" + malformer.ChunkedField,
		Body:       "0\r\nX Quilt: 1\r\n\r\n",
		Fate:       malformer.WeRefuse,
		BehindHead: true,
	},
}

// answerWith returns a script that gives one answer to all requests.
func answerWith(answer malformer.Answer) connectionScript {
	return func(_ testing.TB, conn net.Conn, requests *bufio.Reader) {
		malformer.Serve(requests, conn, func(*http.Request) (string, bool) { return answer.Bytes(""), true })
	}
}

// sendOnWire sends a request on a connection of its own, and reads the answer as it arrives.
func (e *entry) sendOnWire(t *testing.T, method string) (malformer.Received, error) {
	t.Helper()
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err = conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	const body = "one quilt"
	request := fmt.Sprintf("%s /orders/1 HTTP/1.1\r\nHost: shopfront\r\nAuthorization: Bearer %s\r\n", method, callerKey)
	if method == http.MethodPost {
		request += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		request += "\r\n"
	}
	if _, err = io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return malformer.Read(bufio.NewReader(conn), method)
}

// TestMalformedAnswersReachNoCaller guards against callers that get an answer which is none by the
// grammar of HTTP. The request may have run, whatever the answer claims.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	for _, answer := range append(malformer.Answers(), ownAnswers...) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(answer.Name+"/"+method, func(t *testing.T) {
				t.Parallel()
				upstream := newScriptedUpstream(t, answerWith(answer))
				received, err := newEntry(t, upstream.address).sendOnWire(t, method)
				if answer.Fate == malformer.Passes {
					if err != nil || received.Status != answer.WantStatus() || received.Body != answer.WantBody() {
						t.Errorf("got status %d, body %q and error %v, want %d and %q",
							received.Status, received.Body, err, answer.WantStatus(), answer.WantBody())
					}
					return
				}
				verdict := received.Header.Get(translator.HeaderVerdict)
				if err != nil || received.Status != http.StatusBadGateway || verdict != arbiter.MayHaveRun.String() {
					t.Errorf("got status %d, verdict %q and error %v, want 502 and %s",
						received.Status, verdict, err, arbiter.MayHaveRun)
				}
			})
		}
	}
}

// TestMalformedAnswerToHead checks the answers to a method whose answers have no body.
func TestMalformedAnswerToHead(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		status int
	}{
		{
			name:   "a length",
			text:   "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n",
			status: http.StatusOK,
		},
		{
			name:   "chunks",
			text:   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			status: http.StatusOK,
		},
		{
			name:   "a body, which is dropped",
			text:   "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" + malformer.Body,
			status: http.StatusOK,
		},
		{
			name:   "status 000",
			text:   "HTTP/1.1 000 OK\r\nContent-Length: 26\r\n\r\n",
			status: http.StatusBadGateway,
		},
		{
			name:   "a length and chunks",
			text:   "HTTP/1.1 200 OK\r\nContent-Length: 26\r\nTransfer-Encoding: chunked\r\n\r\n",
			status: http.StatusBadGateway,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, func(_ testing.TB, conn net.Conn, requests *bufio.Reader) {
				malformer.Serve(requests, conn, func(*http.Request) (string, bool) { return c.text, true })
			})
			received, err := newEntry(t, upstream.address).sendOnWire(t, http.MethodHead)
			if err != nil || received.Status != c.status {
				t.Errorf("got status %d and error %v, want %d", received.Status, err, c.status)
			}
		})
	}
}

// TestMalformedAnswerIsTheUpstreamsFault lets one of two upstreams give malformed answers. A request that is
// idempotent must be answered by the other one, any other must arrive once. The upstream must be
// suspect, the answer counted, and what was wrong with it recorded.
func TestMalformedAnswerIsTheUpstreamsFault(t *testing.T) {
	for _, answer := range append(malformer.Refused(), ownAnswers...) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(answer.Name+"/"+method, func(t *testing.T) {
				t.Parallel()
				malformed := newScriptedUpstream(t, answerWith(answer))
				sound := newScriptedUpstream(t, answerWith(malformer.Answer{}))
				registry := metrics.NewRegistry()
				outcomes := make(chan receiver.Outcome, 16)
				suspected := make(chan arbiter.Reason, 16)
				entry := newEntryWith(t, func(options *receiver.Options) {
					options.Metrics = exporter.NewRequestCounters(registry)
					options.RequestEnded = func(outcome receiver.Outcome) { outcomes <- outcome }
					options.UpstreamSuspected = func(_ *admitter.Upstream, refusal *arbiter.Refusal) { suspected <- refusal.Reason }
				}, malformed.address, sound.address)
				outcome := entry.sendUntilMalformed(t, method, outcomes)
				want := http.StatusBadGateway
				if method == http.MethodGet {
					want = http.StatusOK
				}
				if outcome.CallerStatus != want || malformed.received.Load() != 1 {
					t.Errorf("got status %d, and %d connections to the upstream, want %d and 1", outcome.CallerStatus, malformed.received.Load(), want)
				}
				failure := outcome.Failures[0]
				if failure.Reason != arbiter.AnswerMalformed || failure.Verdict != arbiter.MayHaveRun || !strings.HasPrefix(failure.Detail, "malformed answer: ") {
					t.Errorf("got failure %+v, want %s, %s and a detail", failure, arbiter.AnswerMalformed, arbiter.MayHaveRun)
				}
				select {
				case got := <-suspected:
					if got != arbiter.AnswerMalformed {
						t.Errorf("the upstream is suspect for %s, want %s", got, arbiter.AnswerMalformed)
					}
				default:
					t.Error("the upstream is not suspect")
				}
				if got := countMalformed(registry); got != 1 {
					t.Errorf("got %d malformed answers counted, want 1", got)
				}
			})
		}
	}
}

// TestMalformedAnswersOfAllAttempts checks that a later attempt that gets a malformed answer ends as a first one.
func TestMalformedAnswersOfAllAttempts(t *testing.T) {
	answer := malformer.Answer{}.WithStatusLine("HTTP/1.1 000 OK")
	first, second := newScriptedUpstream(t, answerWith(answer)), newScriptedUpstream(t, answerWith(answer))
	registry := metrics.NewRegistry()
	outcomes := make(chan receiver.Outcome, 1)
	entry := newEntryWith(t, func(options *receiver.Options) {
		options.Metrics = exporter.NewRequestCounters(registry)
		options.RequestEnded = func(outcome receiver.Outcome) { outcomes <- outcome }
	}, first.address, second.address)
	received, err := entry.sendOnWire(t, http.MethodGet)
	if err != nil || received.Status != http.StatusBadGateway {
		t.Errorf("got status %d and error %v, want 502", received.Status, err)
	}
	outcome := <-outcomes
	if outcome.Attempts < 2 || len(outcome.Failures) != outcome.Attempts || outcome.Refusal.Reason != arbiter.AnswerMalformed {
		t.Errorf("got %d attempts with the failures %+v and the refusal %v, want several, all of them malformed",
			outcome.Attempts, outcome.Failures, outcome.Refusal)
	}
	if got := countMalformed(registry); got != int64(outcome.Attempts) {
		t.Errorf("got %d malformed answers counted, want %d", got, outcome.Attempts)
	}
}

// TestUnfinishedRefusalIsAProof guards against an order that waits for the end of a refusal, or is not sent again, if
// the refusal stalls or breaks off behind a head that is whole.
func TestUnfinishedRefusalIsAProof(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\n" + malformer.ChunkedField + "\r\n5\r\nqui"
		// longest is less than the service's timeout, 2 s, by which every request ends.
		longest = time.Second
	)
	cases := []struct {
		name   string
		stalls bool
	}{
		{
			name:   "stalls",
			stalls: true,
		},
		{
			name: "breaks off",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shedding := newScriptedUpstream(t, func(_ testing.TB, conn net.Conn, requests *bufio.Reader) {
				malformer.Serve(requests, conn, func(*http.Request) (string, bool) { return refusal, c.stalls })
			})
			sound := newScriptedUpstream(t, answerWith(malformer.Answer{}))
			entry := newEntry(t, shedding.address, sound.address)
			for shedding.received.Load() == 0 {
				begun := time.Now()
				received, err := entry.sendOnWire(t, http.MethodPost)
				if took := time.Since(begun); err != nil || received.Status != http.StatusOK || took > longest {
					t.Fatalf("got status %d and error %v after %v, want 200 within %v", received.Status, err, took, longest)
				}
			}
		})
	}
}

// sendUntilMalformed sends requests until one has got a malformed answer, and returns its outcome.
func (e *entry) sendUntilMalformed(t *testing.T, method string, outcomes <-chan receiver.Outcome) receiver.Outcome {
	t.Helper()
	const most = 100
	for range most {
		if _, err := e.sendOnWire(t, method); err != nil {
			t.Fatal(err)
		}
		if outcome := <-outcomes; len(outcome.Failures) > 0 {
			return outcome
		}
	}
	t.Fatalf("none of %d requests got a malformed answer", most)
	return receiver.Outcome{}
}

// countMalformed returns how many malformed answers were counted.
func countMalformed(registry metrics.Registry) int64 {
	var total int64
	for _, part := range inspector.Parts() {
		name := fmt.Sprintf("hemlockport_malformed_answers_total{part=%q}", part)
		total += metrics.GetOrRegisterCounter(name, registry).Count()
	}
	return total
}
