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

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
)

// TestNoAttemptLateInADrain guards against a second attempt whose answer is not expected
// before the drain ends, and against NotRun for a request whose first attempt may have run.
func TestNoAttemptLateInADrain(t *testing.T) {
	const body = "quilt"
	cases := []struct {
		name string
		// firstAnswer is the first upstream's, which closes the connection without one if
		// it is empty.
		firstAnswer string
		method      string
		verdict     arbiter.Verdict
		reason      arbiter.Reason
	}{
		{
			name:        "view after it was shed",
			firstAnswer: "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n",
			method:      http.MethodGet,
			verdict:     arbiter.NotRun,
			reason:      arbiter.InstanceStopping,
		},
		{
			name:        "order after it was shed",
			firstAnswer: "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n",
			method:      http.MethodPost,
			verdict:     arbiter.NotRun,
			reason:      arbiter.InstanceStopping,
		},
		{
			name:    "view that may have run",
			method:  http.MethodGet,
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
		{
			name:    "order that may have run",
			method:  http.MethodPost,
			verdict: arbiter.MayHaveRun,
			reason:  arbiter.UpstreamBroken,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var e *entry
			var arrived atomic.Int64
			script := func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
				if readRequest(request) != nil {
					return
				}
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body
				if arrived.Add(1) == 1 {
					e.drainer.Begin(drainer.NewSchedule(time.Now(), 500, 500))
					answer = c.firstAnswer
				}
				_, _ = io.WriteString(conn, answer)
			}
			e = newEntry(t, newScriptedUpstream(t, script).address, newScriptedUpstream(t, script).address)
			response, err := http.DefaultClient.Do(e.request(t, c.method, "/orders/1", strings.NewReader("")))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			requireVerdict(t, response, c.verdict, c.reason)
			if attempts := arrived.Load(); attempts != 1 {
				t.Fatalf("got %d attempts, want 1", attempts)
			}
		})
	}
}
