package prober_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/query/prober"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// newUpstream returns the state of an upstream at an address.
func newUpstream(t *testing.T, address string) *admitter.Upstream {
	t.Helper()
	set := declarer.Set{}.
		WithPlace(declarer.Place{
			Name:   "derby",
			Region: "east",
		}).
		WithService(declarer.Service{
			Name:    "shopfront",
			Version: "v1",
		}).
		WithVersion(declarer.Version{
			Name:    "v1",
			Service: "shopfront",
			Upstreams: []declarer.Upstream{
				{
					Name:    "upstream",
					Place:   "derby",
					Address: address,
					Slots:   2,
				},
			},
		})
	return admitter.InitialPlan("derby", "derby-1").WithTable(router.New(1, set), time.Now()).Upstreams()[0]
}

// TestEndlessProbeIsCutOff checks that a probe reads a bounded number of bytes, and that the
// upstream is suspect, if its answer has no end. It guards against a process that keeps what
// several upstreams send it and runs out of memory.
func TestEndlessProbeIsCutOff(t *testing.T) {
	// maxTaken is how many bytes a probe may take, most of them in the sockets.
	const maxTaken = 9 << 20
	cases := []struct {
		name string
		// begin is the beginning of the answer, and repeat follows it without end.
		begin  string
		repeat string
		want   admitter.Health
	}{
		{
			name:   "a status line",
			begin:  "HTTP/1.1 200 ",
			repeat: "a",
			want:   admitter.Suspect,
		},
		{
			name:   "header fields",
			begin:  "HTTP/1.1 200 OK\r\n",
			repeat: "Field: value\r\n",
			want:   admitter.Suspect,
		},
		{
			name:   "interim answers",
			repeat: "HTTP/1.1 103 Early Hints\r\nField: value\r\n\r\n",
			want:   admitter.Suspect,
		},
		{
			name:   "a body, of which nothing is needed",
			begin:  "HTTP/1.1 200 OK\r\n\r\n",
			repeat: "a",
			want:   admitter.Live,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, sent, closed := serveEndless(t, c.begin, c.repeat)
			upstream := newUpstream(t, address)
			if err := prober.New().ProbeAll(t.Context(), []*admitter.Upstream{upstream}, func(prober.HealthChange) {}); err != nil {
				t.Fatal(err)
			}
			if got := upstream.Health(); got != c.want {
				t.Errorf("got health %v, want %v", got, c.want)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open 5 s after the probe")
			}
			if got := sent.Load(); got > maxTaken {
				t.Errorf("the probe took %d bytes, want at most %d", got, maxTaken)
			}
		})
	}
}

// TestRedirectedProbeIsNotFollowed checks that a probe asks only the upstream itself.
func TestRedirectedProbeIsNotFollowed(t *testing.T) {
	var followed atomic.Int32
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
	t.Cleanup(elsewhere.Close)
	redirecting := httptest.NewServer(http.RedirectHandler(elsewhere.URL, http.StatusFound))
	t.Cleanup(redirecting.Close)
	upstream := newUpstream(t, redirecting.Listener.Addr().String())
	if err := prober.New().ProbeAll(t.Context(), []*admitter.Upstream{upstream}, func(prober.HealthChange) {}); err != nil {
		t.Fatal(err)
	}
	if got := upstream.Health(); got != admitter.Suspect || followed.Load() != 0 {
		t.Errorf("got health %v and %d requests elsewhere, want %v and 0", got, followed.Load(), admitter.Suspect)
	}
}

// serveEndless answers a connection with begin, and then repeat until the connection breaks. It
// returns its address, the number of bytes written, and a channel that is closed at the end.
func serveEndless(t *testing.T, begin, repeat string) (address string, sent *atomic.Int64, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	sent = &atomic.Int64{}
	ended := make(chan struct{})
	block := strings.Repeat(repeat, 64<<10/len(repeat))
	group.Go(func() error {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		// An answer before the request would not count as one.
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		_, err = io.WriteString(conn, begin)
		for err == nil {
			var count int
			count, err = io.WriteString(conn, block)
			sent.Add(int64(count))
		}
		return nil
	})
	return listener.Addr().String(), sent, ended
}
