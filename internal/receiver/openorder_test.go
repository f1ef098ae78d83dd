package receiver_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// servePipelined serves the entry's receiver by a pipeliner, as an instance does.
func (e *entry) servePipelined(t *testing.T) *pipeliner.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := pipeliner.New(e.receiver, pipeliner.Limits{
		HeaderBytes:       8 << 10,
		HeaderMillis:      5000,
		IdleMillis:        5000,
		WriteMillis:       5000,
		BufferedBodyBytes: forwarder.MaxBufferedBytes,
		MaxPipelined:      4,
	}, func(reason any) { t.Error("handler panicked:", reason) })
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		_ = group.Wait()
	})
	e.address = listener.Addr().String()
	return server
}

// TestStatusOfOpenOrders guards against a status that promises that an open order has not run, beside a verdict that it may have.
func TestStatusOfOpenOrders(t *testing.T) {
	// The order must reach its upstream before the keys stop.
	const keysStopMillis = 1000
	// stoppingSet is that of an entry whose team's keys stop when it is cut off.
	stoppingSet := func(address string) declarer.Set {
		return teamSet(address, "weavers").WithTeam(declarer.Team{
			Name:                "weavers",
			KeysStopAfterMillis: keysStopMillis,
		})
	}
	cases := []struct {
		name string
		// set is the set of the entry.
		set           func(address string) declarer.Set
		timeoutMillis string
		// event happens while the order is open; nil if nothing does.
		event  func(t *testing.T, e *entry, server *pipeliner.Server, address string)
		status int
		reason arbiter.Reason
	}{
		{
			name: "the keys of the team stop",
			set:  stoppingSet,
			event: func(_ *testing.T, e *entry, _ *pipeliner.Server, _ string) {
				time.Sleep(keysStopMillis * time.Millisecond)
				e.receiver.CancelInvalid()
			},
			status: http.StatusBadGateway,
			reason: arbiter.KeyUnconfirmed,
		},
		{
			name: "the key is withdrawn",
			set:  func(address string) declarer.Set { return teamSet(address, "quilters") },
			event: func(_ *testing.T, e *entry, _ *pipeliner.Server, address string) {
				e.plans.Advance(*e.plans.Load().WithTable(router.New(2, withdrawnSet(address)), time.Now()))
				e.receiver.CancelInvalid()
			},
			status: http.StatusUnauthorized,
			reason: arbiter.KeyWithdrawn,
		},
		{
			name: "a drain ends",
			set:  func(address string) declarer.Set { return teamSet(address, "quilters") },
			event: func(t *testing.T, _ *entry, server *pipeliner.Server, _ string) {
				now := time.Now()
				schedule := drainer.Schedule{
					ServeUntil: now,
					End:        now.Add(50 * time.Millisecond),
				}
				stopper.ServeThenStop(t.Context(), schedule, func(ctx context.Context) { _ = server.Shutdown(ctx) })
			},
			status: http.StatusBadGateway,
			reason: arbiter.RequestAborted,
		},
		{
			name:          "the deadline passes",
			set:           func(address string) declarer.Set { return teamSet(address, "quilters") },
			timeoutMillis: "100",
			status:        http.StatusGatewayTimeout,
			reason:        arbiter.DeadlineExceeded,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newHoldingUpstream(t)
			e := newEntryOf(t, c.set(upstream.address), func(*receiver.Options) {})
			server := e.servePipelined(t)
			request := e.request(t, http.MethodPost, "/orders/1", strings.NewReader("quilt"))
			if c.timeoutMillis != "" {
				request.Header.Set(translator.HeaderTimeoutMillis, c.timeoutMillis)
			}
			var response *http.Response
			var group errgroup.Group
			ended := make(chan struct{})
			group.Go(func() error {
				defer close(ended)
				var err error
				response, err = http.DefaultClient.Do(request)
				return err
			})
			select {
			case <-upstream.arrived:
			case <-ended:
				t.Error("the order has not arrived at its upstream")
			}
			if c.event != nil {
				c.event(t, e, server, upstream.address)
			}
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			requireVerdict(t, response, arbiter.MayHaveRun, c.reason)
			if response.StatusCode != c.status {
				t.Errorf("got status %d, want %d", response.StatusCode, c.status)
			}
		})
	}
}
