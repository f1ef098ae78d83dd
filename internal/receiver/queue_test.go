package receiver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// newQueues returns queues in which requests wait for up to half of their time.
func newQueues() *receiver.Queues {
	limits := scheduler.Limits{
		Longest:   8,
		WaitShare: 0.5,
	}
	return receiver.NewQueues(limits, exporter.NewQueueCounters(metrics.NewRegistry()))
}

// holdingUpstream is an upstream that holds each request until one is let go.
type holdingUpstream struct {
	address string
	// arrived gets the path of each request that arrives.
	arrived chan string
	letGo   chan struct{}
}

func newHoldingUpstream(t testing.TB) *holdingUpstream {
	t.Helper()
	upstream := &holdingUpstream{
		arrived: make(chan string, 16),
		letGo:   make(chan struct{}, 16),
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		upstream.arrived <- request.URL.Path
		<-upstream.letGo
		_, _ = io.WriteString(w, "one quilt, in progress\n")
	}))
	t.Cleanup(func() {
		close(upstream.letGo)
		server.Close()
	})
	upstream.address = server.Listener.Addr().String()
	return upstream
}

// slotSet is serviceSet with that many slots at one upstream.
func slotSet(address string, slots int) declarer.Set {
	set := serviceSet([]string{address})
	version, _ := set.Versions.Get("v1")
	upstream := version.Upstreams[0]
	upstream.Slots = slots
	return set.WithVersion(version.WithUpstreams(upstream))
}

// await waits until a condition holds.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting until %s", what)
		}
	}
}

// held returns how many requests wait in the queue of the service.
func held(queues *receiver.Queues) int {
	count := 0
	for _, counts := range queues.TakeCounts() {
		for _, priority := range counts {
			count += priority.Held
		}
	}
	return count
}

// TestWaitEnds lets a request wait for the only slot and ends its wait in each way. It guards
// against requests that wait without an answer when the plan or the instance changes, against
// one that goes on only at a later look, and against one that runs and is said not to have.
func TestWaitEnds(t *testing.T) {
	const (
		// timeout is that of the service, of which a request waits half.
		timeout = 2 * time.Second
		// prompt is the time within which an event ends a wait. No timer ends it that soon.
		prompt = 500 * time.Millisecond
	)
	cases := []struct {
		name string
		// event happens while the request waits; nil if nothing does.
		event   func(e *entry, upstream *holdingUpstream, queues *receiver.Queues)
		verdict arbiter.Verdict
		reason  arbiter.Reason
		// within is the time within which the request ends.
		within time.Duration
	}{
		{
			name: "the slot is released",
			event: func(_ *entry, upstream *holdingUpstream, _ *receiver.Queues) {
				upstream.letGo <- struct{}{}
				upstream.letGo <- struct{}{}
			},
			verdict: arbiter.Ran,
			within:  prompt,
		},
		{
			name: "the plan is replaced by one with more slots",
			event: func(e *entry, upstream *holdingUpstream, queues *receiver.Queues) {
				e.plans.Advance(*e.plans.Load().WithTable(router.New(2, slotSet(upstream.address, 2)), time.Now()))
				queues.WakeAll()
				<-upstream.arrived
				upstream.letGo <- struct{}{}
				upstream.letGo <- struct{}{}
			},
			verdict: arbiter.Ran,
			within:  prompt,
		},
		{
			name: "the plan is replaced by one with as many slots, and the slot is released",
			event: func(e *entry, upstream *holdingUpstream, queues *receiver.Queues) {
				e.plans.Advance(*e.plans.Load().WithTable(router.New(2, slotSet(upstream.address, 1)), time.Now()))
				queues.WakeAll()
				upstream.letGo <- struct{}{}
				upstream.letGo <- struct{}{}
			},
			verdict: arbiter.Ran,
			within:  prompt,
		},
		{
			name: "the service goes",
			event: func(e *entry, upstream *holdingUpstream, queues *receiver.Queues) {
				set, _ := slotSet(upstream.address, 1).Without(declarer.KindService, "shopfront")
				e.plans.Advance(*e.plans.Load().WithTable(router.New(2, set), time.Now()))
				queues.WakeAll()
			},
			verdict: arbiter.NotRun,
			reason:  arbiter.UnknownService,
			within:  prompt,
		},
		{
			name: "the instance stops",
			event: func(e *entry, _ *holdingUpstream, queues *receiver.Queues) {
				e.drainer.Begin(drainer.NewSchedule(time.Now(), 0, 10))
				queues.WakeAll()
			},
			verdict: arbiter.NotRun,
			reason:  arbiter.InstanceStopping,
			within:  prompt,
		},
		{
			name:    "nothing happens until the longest wait ends",
			verdict: arbiter.NotRun,
			reason:  arbiter.NoRoom,
			within:  timeout/2 + prompt,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := newHoldingUpstream(t)
			queues := newQueues()
			e := newEntryOf(t, slotSet(upstream.address, 1), withQueues(queues))
			var group errgroup.Group
			send := func(path string) *http.Response {
				response, err := http.DefaultClient.Do(e.request(t, http.MethodGet, path, nil))
				if err != nil {
					t.Error(err)
					return nil
				}
				t.Cleanup(func() { response.Body.Close() })
				return response
			}
			group.Go(func() error {
				send("/orders/1")
				return nil
			})
			<-upstream.arrived
			var response *http.Response
			var ended time.Time
			group.Go(func() error {
				response = send("/orders/2")
				ended = time.Now()
				return nil
			})
			await(t, "the request waits", func() bool { return held(queues) == 1 })
			began := time.Now()
			if c.event != nil {
				c.event(e, upstream, queues)
			}
			await(t, "the wait has ended", func() bool { return held(queues) == 0 })
			upstream.letGo <- struct{}{}
			upstream.letGo <- struct{}{}
			_ = group.Wait()
			if response == nil {
				t.Fatal("got no answer")
			}
			requireVerdict(t, response, c.verdict, c.reason)
			if took := ended.Sub(began); took > c.within {
				t.Errorf("ended after %v, want at most %v", took, c.within)
			}
			if c.reason == arbiter.NoRoom && response.Header.Get("Retry-After") == "" {
				t.Error("got no Retry-After, want one")
			}
		})
	}
}

// TestUrgentGoesFirst guards against a request that overtakes a more urgent one when the slot
// becomes free.
func TestUrgentGoesFirst(t *testing.T) {
	upstream := newHoldingUpstream(t)
	queues := newQueues()
	set := slotSet(upstream.address, 1)
	for priority, name := range []string{"orders", "lists"} {
		set = set.WithRoute(declarer.Route{
			Name:          name,
			Host:          "shopfront",
			Prefix:        "/" + name + "/",
			TimeoutMillis: 4000,
			Priority:      priority,
			Open:          true,
		}.WithBackends(declarer.Backend{
			Service: "shopfront",
			Weight:  1,
		}))
	}
	e := newEntryOf(t, set, withQueues(queues))
	var group errgroup.Group
	for i, path := range []string{"/lists/1", "/lists/2", "/orders/1"} {
		group.Go(func() error {
			request := e.request(t, http.MethodGet, path, nil)
			request.Header.Set(translator.HeaderTimeoutMillis, "4000")
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				response.Body.Close()
			}
			return err
		})
		if i == 0 {
			<-upstream.arrived
		}
		await(t, "the request waits", func() bool { return held(queues) == i })
	}
	for _, want := range []string{"/orders/1", "/lists/2"} {
		upstream.letGo <- struct{}{}
		if got := <-upstream.arrived; got != want {
			t.Errorf("got %s at the upstream, want %s", got, want)
		}
	}
	upstream.letGo <- struct{}{}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkCalmQueue compares requests that find a slot with and without queues: the
// allocations must be the same.
func BenchmarkCalmQueue(b *testing.B) {
	cases := []struct {
		name   string
		queues *receiver.Queues
	}{
		{
			name: "off",
		},
		{
			name:   "on",
			queues: newQueues(),
		},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			e := newEntryOf(b, serviceSet([]string{newAnsweringUpstream(b)}), withQueues(c.queues))
			client := &http.Client{
				Transport: &http.Transport{},
			}
			request := e.request(b, http.MethodGet, "/orders/1", nil)
			b.ReportAllocs()
			for b.Loop() {
				fetch(b, client, request)
			}
		})
	}
}

// withQueues returns the change of options that sets the queues, which may be nil.
func withQueues(queues *receiver.Queues) func(options *receiver.Options) {
	return func(options *receiver.Options) { options.Queues = queues }
}
