// Package upstreamer is a fake upstream for tests, local clusters and the command
// standin. It has slots, a load report that lags behind, drain, cold start and load
// shedding, and it can simulate faults. A customer's order is a request with the header
// Order, which must not run twice.
package upstreamer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// The paths of the fake upstream's own endpoints. Requests to all other paths are
// requests to the service.
const (
	// PathHealth returns the state, Live (200) or Leaving (503), and the load, as
	// Health in JSON.
	PathHealth = "/health"
	// PathFaults replaces the simulated faults (PUT), as Faults in JSON.
	PathFaults = "/.standin/faults"
	// PathRuns returns how often each order ran, as a map in JSON.
	PathRuns = "/.standin/runs"
)

// HeaderOrder is the header with the ID of a customer's order, so that its runs can be
// counted.
const HeaderOrder = "Order"

// Faults are the faults that the fake upstream simulates. The zero value is a healthy
// upstream.
type Faults struct {
	// Fail answers every request with status 500 after it ran.
	Fail bool
	// Shed refuses every request with the verdict NotRun.
	Shed bool
	// Leaving reports the state Leaving, while requests are still served.
	Leaving bool
	// Silent accepts requests but neither runs nor answers them, and breaks the
	// connections of health checks.
	Silent bool
	// Truncate breaks the connection after half of each answer, except a streamed one.
	Truncate bool
	// DropBefore breaks the connection before the request runs, DropAfter after it has
	// run and before it is answered.
	DropBefore bool
	DropAfter  bool
	// SlowMillis is added to the processing time of each request, in milliseconds.
	SlowMillis int
	// BadRoute is a path prefix; requests below it are answered with status 500 after
	// they ran. It is not used if it is empty.
	BadRoute string
}

// Health is the answer of PathHealth.
type Health struct {
	// State is Live or Leaving.
	State string
	// InUse is how many of the Slots were in use at an instant up to a second ago.
	InUse int
	Slots int
}

// Settings configure a fake upstream.
type Settings struct {
	// Name is included in the answers.
	Name string
	// Slots is how many requests run at the same time; further requests are shed.
	Slots int
	// WorkMillis is the processing time of a request, in milliseconds.
	WorkMillis int
	// WarmRequests is how many requests after the start take three times as long, to
	// simulate a cold start.
	WarmRequests int
}

// Server is a fake upstream. It is safe for concurrent use.
type Server struct {
	settings Settings
	slots    *limiter.Slots
	faults   atomic.Pointer[Faults]
	// served is how many requests have run, for the cold start.
	served atomic.Int64
	// report is the load reported last, and reportAt the Unix second in which it was
	// made.
	report   atomic.Pointer[Health]
	reportAt atomic.Int64

	// mutex protects the fields below.
	mutex sync.Mutex
	// runs counts how often each order ran.
	runs map[string]int
	// keys lists the callers' keys that reached the fake upstream. It must stay empty,
	// as the instances remove the keys from requests.
	keys []string
}

// New returns a fake upstream without faults.
func New(settings Settings) *Server {
	server := &Server{
		settings: settings,
		slots:    limiter.NewSlots(settings.Slots),
		runs:     map[string]int{},
	}
	server.faults.Store(&Faults{})
	return server
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Store(&faults)
}

// Runs returns how often an order ran.
func (s *Server) Runs(order string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[order]
}

// Keys returns the callers' keys that reached the fake upstream. There must be none.
func (s *Server) Keys() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.keys
}

// ServeHTTP serves one request to the service or to an endpoint of the fake upstream.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case PathHealth:
		s.serveHealth(w)
	case PathFaults:
		s.serveFaults(w, request)
	case PathRuns:
		s.serveRuns(w)
	default:
		s.serveRequest(w, request)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, request *http.Request) {
	faults := s.faults.Load()
	switch {
	case faults.Silent:
		<-request.Context().Done()
		return
	case faults.DropBefore:
		panic(http.ErrAbortHandler)
	case faults.Shed || !s.slots.Acquire():
		writeShed(w)
		return
	}
	defer s.slots.Release()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.recordRun(request)
	if s.simulateWork(request, faults) != nil {
		return
	}
	s.answer(w, request, body, faults)
}

// recordRun counts the run of an order, and records the caller's key if the request has
// one.
func (s *Server) recordRun(request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if order := request.Header.Get(HeaderOrder); order != "" {
		s.runs[order]++
	}
	for _, name := range []string{"Authorization", "Proxy-Authorization"} {
		if key := request.Header.Get(name); key != "" {
			s.keys = append(s.keys, key)
		}
	}
}

// simulateWork waits for the processing time of a request. It returns an error if the
// request is cancelled or its deadline passes before.
func (s *Server) simulateWork(request *http.Request, faults *Faults) error {
	millis := s.settings.WorkMillis + faults.SlowMillis
	if s.served.Add(1) <= int64(s.settings.WarmRequests) {
		millis = 3*s.settings.WorkMillis + faults.SlowMillis
	}
	ctx, cancel := withDeadline(request)
	defer cancel()
	return retrier.Sleep(ctx, time.Duration(millis)*time.Millisecond)
}

// withDeadline returns the request's context, which ends after the time remaining that
// the request's header states, if any.
func withDeadline(request *http.Request) (context.Context, context.CancelFunc) {
	remaining, err := strconv.Atoi(request.Header.Get(translator.HeaderTimeoutMillis))
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(remaining)*time.Millisecond)
}

// answer answers a request that ran, unless a fault prevents it.
func (s *Server) answer(w http.ResponseWriter, request *http.Request, body []byte, faults *Faults) {
	if faults.DropAfter {
		panic(http.ErrAbortHandler)
	}
	badRoute := faults.BadRoute != "" && strings.HasPrefix(request.URL.Path, faults.BadRoute)
	if faults.Fail || badRoute {
		http.Error(w, "fault by switch", http.StatusInternalServerError)
		return
	}
	if parts, err := strconv.Atoi(request.URL.Query().Get("stream")); err == nil {
		s.stream(w, request, parts)
		return
	}
	text := fmt.Sprintf("%s %s %s team=%s bytes=%d\n", s.settings.Name, request.Method,
		request.URL.Path, request.Header.Get(translator.HeaderTeam), len(body))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if faults.Truncate {
		io.WriteString(w, text[:len(text)/2])
		flush(w)
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
}

// streamInterval is the time between two parts of a streamed answer.
const streamInterval = 20 * time.Millisecond

// stream answers in many parts, so that a caller notices when the answer is truncated.
func (s *Server) stream(w http.ResponseWriter, request *http.Request, parts int) {
	for part := range parts {
		fmt.Fprintf(w, "part %d of %d\n", part+1, parts)
		flush(w)
		if retrier.Sleep(request.Context(), streamInterval) != nil {
			return
		}
	}
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	faults := s.faults.Load()
	if faults.Silent {
		panic(http.ErrAbortHandler)
	}
	health := *s.laggedHealth()
	if faults.Leaving {
		health.State = "Leaving"
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, health)
}

// laggedHealth returns the load report, which is replaced by the first call in each
// second. While the first report is being made, it returns one without load.
func (s *Server) laggedHealth() *Health {
	now := time.Now().Unix()
	if s.reportAt.Swap(now) != now {
		s.report.Store(&Health{
			State: "Live",
			InUse: s.slots.InUse(),
			Slots: s.slots.Limit(),
		})
	}
	if report := s.report.Load(); report != nil {
		return report
	}
	return &Health{
		State: "Live",
		Slots: s.slots.Limit(),
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	faults, err := encoder.JSON[Faults]{}.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) serveRuns(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, s.runs)
}

// writeShed refuses a request that has not run, and asks the sender to retry after a
// second.
func writeShed(w http.ResponseWriter) {
	w.Header().Set(translator.HeaderVerdict, arbiter.NotRun.String())
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func writeJSON[T any](w http.ResponseWriter, value T) {
	data, err := encoder.JSON[T]{}.Encode(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Write(data)
}

func flush(w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}
