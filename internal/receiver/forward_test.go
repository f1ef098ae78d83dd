package receiver_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

const callerKey = "caller-key-0123456789"

// entry is an entry instance reduced to its receiver.
type entry struct {
	receiver *receiver.Receiver
	plans    *holder.Cell[admitter.Plan]
	drainer  *drainer.Drainer
	address  string
}

// newEntry starts an entry for a service whose upstreams listen at the addresses.
func newEntry(t testing.TB, addresses ...string) *entry {
	t.Helper()
	return newEntryOf(t, serviceSet(addresses), func(*receiver.Options) {})
}

// newEntryWith is newEntry with changed options of the receiver.
func newEntryWith(t testing.TB, change func(options *receiver.Options), addresses ...string) *entry {
	t.Helper()
	return newEntryOf(t, serviceSet(addresses), change)
}

// newEntryOf starts an entry for a declared set, with changed options of the receiver.
func newEntryOf(t testing.TB, set declarer.Set, change func(options *receiver.Options)) *entry {
	t.Helper()
	plans := holder.New[admitter.Plan]()
	// The team's bucket starts empty. A start one hour ago makes it full now.
	start := time.Now().Add(-time.Hour)
	seat := splitter.Seat{
		Index: 0,
		Count: 1,
	}
	plan := admitter.InitialPlan("derby", "derby-1").WithSeats([]splitter.Seat{seat}, start).WithTable(router.New(1, set), start)
	plan.Confirm(start)
	plans.Advance(*plan)
	requestForwarder := forwarder.New()
	t.Cleanup(requestForwarder.Close)
	requestDrainer := drainer.New(time.Now())
	options := receiver.Options{
		Admitter:          admitter.New(plans, admitter.NewFreshness(time.Now())),
		Forwarder:         requestForwarder,
		Drainer:           requestDrainer,
		InFlight:          tracker.New[receiver.InFlightRequest](1024),
		Translator:        translator.Native{},
		Budgets:           retrier.NewBudgets(retrier.DefaultRatio, retrier.DefaultReserve),
		Attempts:          retrier.DefaultAttempts,
		Metrics:           exporter.NewRequestCounters(metrics.NewRegistry()),
		WaitingForRate:    func() {},
		UpstreamSuspected: func(*admitter.Upstream, *arbiter.Refusal) {},
	}
	change(&options)
	requestReceiver := receiver.New(options)
	server := httptest.NewServer(requestReceiver)
	t.Cleanup(server.Close)
	return &entry{
		receiver: requestReceiver,
		plans:    plans,
		drainer:  requestDrainer,
		address:  server.Listener.Addr().String(),
	}
}

func serviceSet(addresses []string) declarer.Set {
	upstreams := make([]declarer.Upstream, 0, len(addresses))
	for _, address := range addresses {
		upstreams = append(upstreams, declarer.Upstream{
			Name:    "upstream",
			Place:   "derby",
			Address: address,
			Slots:   64,
		})
	}
	return declarer.Set{}.
		WithPlace(declarer.Place{
			Name:   "derby",
			Region: "east",
			Seats:  1,
		}).
		WithService(declarer.Service{
			Name:          "shopfront",
			Version:       "v1",
			TimeoutMillis: 2000,
		}).
		WithVersion(declarer.Version{
			Name:      "v1",
			Service:   "shopfront",
			Upstreams: upstreams,
		}).
		WithTeam(declarer.Team{
			Name: "quilters",
		}.WithRate(1_000_000, 1_000_000)).
		WithKey(declarer.Key{
			Name: "quilters-1",
			Team: "quilters",
			Hash: declarer.HashKey(callerKey).String(),
		})
}

func (e *entry) request(t testing.TB, method, path string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "shopfront"
	request.Header.Set("Authorization", "Bearer "+callerKey)
	return request
}

// minimalProxy is the smallest possible proxy on net/http, without keys, limits,
// choice of upstreams or verdicts. It is the baseline of BenchmarkForward.
type minimalProxy struct {
	transport *http.Transport
	target    string
}

func (h *minimalProxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	outbound := request.Clone(request.Context())
	outbound.URL.Scheme = "http"
	outbound.URL.Host = h.target
	outbound.RequestURI = ""
	response, err := h.transport.RoundTrip(outbound)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func newAnsweringUpstream(t testing.TB) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "one quilt, in progress\n")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// fetch sends a request, reads the answer, which must have status 200, and returns
// the time that this took.
func fetch(t testing.TB, client *http.Client, request *http.Request) time.Duration {
	t.Helper()
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, error %v, want status 200 and no error", response.StatusCode, err)
	}
	return time.Since(start)
}

// BenchmarkForward compares a request through the receiver with one through the
// minimal proxy. The two alternate, so that both run under the same load of the
// machine. The target is a ratio of medians of at most 1.15.
func BenchmarkForward(b *testing.B) {
	upstream := newAnsweringUpstream(b)
	entry := newEntry(b, upstream)
	server := httptest.NewServer(&minimalProxy{
		transport: &http.Transport{},
		target:    upstream,
	})
	b.Cleanup(server.Close)
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{}).DialContext,
		},
	}
	var forwarded, minimal []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		forwarded = append(forwarded, fetch(b, client, entry.request(b, http.MethodGet, "/orders/1", nil)))
		request := entry.request(b, http.MethodGet, "/orders/1", nil)
		request.URL.Host = server.Listener.Addr().String()
		minimal = append(minimal, fetch(b, client, request))
	}
	slices.Sort(forwarded)
	slices.Sort(minimal)
	b.ReportMetric(float64(forwarded[len(forwarded)/2].Microseconds()), "median-us")
	b.ReportMetric(float64(minimal[len(minimal)/2].Microseconds()), "minimal-us")
	b.ReportMetric(float64(forwarded[len(forwarded)/2])/float64(minimal[len(minimal)/2]), "ratio")
}
