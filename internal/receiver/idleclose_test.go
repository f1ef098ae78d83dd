package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/receiver"
)

// BenchmarkIdleClose reports how many of 1,000 requests fail at an upstream that closes its
// connection up to 1 ms after each 50th answer, when the next request may be on its way. It
// shows what callers lose by connections that end when they are idle.
func BenchmarkIdleClose(b *testing.B) {
	cases := []struct {
		name     string
		attempts int
	}{
		{
			name:     "one attempt",
			attempts: 1,
		},
		{
			name:     "three attempts",
			attempts: 3,
		},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var arrived atomic.Int64
			script := func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
				for {
					if readRequest(request) != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt")
					if number := arrived.Add(1); number%50 == 0 {
						time.Sleep(time.Duration(number/50%40) * 25 * time.Microsecond)
						return
					}
				}
			}
			entry := newEntryWith(b, func(options *receiver.Options) { options.Attempts = c.attempts },
				newScriptedUpstream(b, script).address)
			client := &http.Client{
				Transport: &http.Transport{},
			}
			failed, sent := 0, 0
			for b.Loop() {
				sent++
				request := entry.request(b, http.MethodGet, "/orders/1", nil)
				response, err := client.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode != http.StatusOK {
					failed++
				}
			}
			b.ReportMetric(1000*float64(failed)/float64(sent), "failed/1000")
		})
	}
}
