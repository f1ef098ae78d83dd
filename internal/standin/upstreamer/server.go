// Package upstreamer is a small stand-in for an upstream: slots, a load that it
// reports late, drain, cold start, shedding, and faults by switch.
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

// The paths of the stand-in's own endpoints. All others are the service.
const (
	// PathHealth says Live (200) or Leaving (503) and the load.
	PathHealth = "/health"
	// PathFaults replaces the faults (PUT), as Faults in JSON.
	PathFaults = "/.standin/faults"
	// PathRuns tells how often each order ran, as a map in JSON.
	PathRuns = "/.standin/runs"
)

// HeaderOrder names an order, so that runs can be counted.
const HeaderOrder = "Order"

// Faults are the ways in which the stand-in can fail. The zero value is healthy.
type Faults struct {
	// Fail answers every request with status 500 after it ran.
	Fail bool
	// Shed refuses every request with an explicit NotRun.
	Shed bool
	// Leaving reports a stop and refuses nothing.
	Leaving bool
	// Silent takes requests, and neither runs nor answers them.
	Silent bool
	// Truncate breaks each answer off halfway.
	Truncate bool
	// DropBefore breaks the connection before the request runs, DropAfter once it
	// has run.
	DropBefore bool
	DropAfter  bool
	// SlowMillis is added to each request's work, in milliseconds.
	SlowMillis int
	// BadRoute answers requests whose path starts with it with status 500.
	BadRoute string
}

// Health is the answer of PathHealth.
type Health struct {
	// State is Live or Leaving.
	State string
	// InUse of Slots were taken at an instant up to a second ago.
	InUse int
	Slots int
}

// Settings are what a stand-in is made from.
type Settings struct {
	// Name stands in its answers.
	Name string
	// Slots is how many requests run at once; one more is shed.
	Slots int
	// WorkMillis is how long a request takes, in milliseconds.
	WorkMillis int
	// WarmRequests is how many requests take three times as long after a start.
	WarmRequests int
}

// Server is one stand-in. Safe for many goroutines.
type Server struct {
	settings Settings
	slots    *limiter.Slots
	faults   atomic.Pointer[Faults]
	served   atomic.Int64
	report   atomic.Pointer[Health]
	reportAt atomic.Int64

	counting sync.Mutex
	// runs counts how often each order ran.
	runs map[string]int
	// keys lists the callers' keys that reached the stand-in. It stays empty.
	keys []string
}

// New returns a healthy stand-in.
func New(settings Settings) *Server {
	server := &Server{
		settings: settings,
		slots:    limiter.NewSlots(settings.Slots),
		runs:     map[string]int{},
	}
	server.faults.Store(&Faults{})
	return server
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Store(&faults)
}

// Runs returns how often an order ran.
func (s *Server) Runs(order string) int {
	s.counting.Lock()
	defer s.counting.Unlock()
	return s.runs[order]
}

// Keys returns the callers' keys that reached the stand-in.
func (s *Server) Keys() []string {
	s.counting.Lock()
	defer s.counting.Unlock()
	return s.keys
}

// ServeHTTP serves one request.
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
		shed(w)
		return
	}
	defer s.slots.Release()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.count(request)
	if s.work(request, faults) != nil {
		return
	}
	s.answer(w, request, body, faults)
}

// count notes that a request ran.
func (s *Server) count(request *http.Request) {
	s.counting.Lock()
	defer s.counting.Unlock()
	if order := request.Header.Get(HeaderOrder); order != "" {
		s.runs[order]++
	}
	for _, name := range []string{"Authorization", "Proxy-Authorization"} {
		if key := request.Header.Get(name); key != "" {
			s.keys = append(s.keys, key)
		}
	}
}

// work takes the time of a request, less if it is cancelled.
func (s *Server) work(request *http.Request, faults *Faults) error {
	millis := s.settings.WorkMillis + faults.SlowMillis
	if s.served.Add(1) <= int64(s.settings.WarmRequests) {
		millis = 3*s.settings.WorkMillis + faults.SlowMillis
	}
	ctx, cancel := withDeadline(request)
	defer cancel()
	return retrier.Sleep(ctx, time.Duration(millis)*time.Millisecond)
}

// withDeadline returns the request's context, which ends when the time is up that
// the request says is left.
func withDeadline(request *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(request.Header.Get(translator.HeaderTimeoutMillis))
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(left)*time.Millisecond)
}

func (s *Server) answer(w http.ResponseWriter, request *http.Request, body []byte, faults *Faults) {
	if faults.DropAfter {
		panic(http.ErrAbortHandler)
	}
	bad := faults.BadRoute != "" && strings.HasPrefix(request.URL.Path, faults.BadRoute)
	if faults.Fail || bad {
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

// stream answers in many parts, which shows when an answer is cut.
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
	health := *s.lagging()
	if faults.Leaving {
		health.State = "Leaving"
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, health)
}

// lagging returns a report that is made anew once a second.
func (s *Server) lagging() *Health {
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
	s.counting.Lock()
	defer s.counting.Unlock()
	writeJSON(w, s.runs)
}

func shed(w http.ResponseWriter) {
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
