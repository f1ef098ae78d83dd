// Package receiver is the callers' front end over HTTP. It translates between
// messages and decisions and makes none of its own.
package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
)

// Flight is one request that is being served.
type Flight struct {
	admission admitter.Admission
	cancel    context.CancelCauseFunc
}

// Receiver serves callers. Safe for many goroutines.
type Receiver struct {
	admitter  *admitter.Admitter
	forwarder *forwarder.Forwarder
	flights   *tracker.Tracker[Flight]
	budget    *retrier.Budget
	attempts  int
	metrics   *exporter.Requests
	lookups   http.Handler
	// waiting is told of each request that waits for its team's rate.
	waiting func()
	// suspected is told of an upstream that has just failed.
	suspected func(upstream *admitter.Upstream, refusal *arbiter.Refusal)
}

// Parts are what a receiver works with.
type Parts struct {
	Admitter  *admitter.Admitter
	Forwarder *forwarder.Forwarder
	Flights   *tracker.Tracker[Flight]
	Budget    *retrier.Budget
	// Attempts is how often one request is sent at most; at least 1.
	Attempts int
	Metrics  *exporter.Requests
	// Lookups answers PathLookup.
	Lookups http.Handler
	// Waiting is told of each request that waits for its team's rate.
	Waiting func()
	// Suspected is told of an upstream that has just failed.
	Suspected func(upstream *admitter.Upstream, refusal *arbiter.Refusal)
}

// New returns a receiver made of parts.
func New(parts Parts) *Receiver {
	return &Receiver{
		admitter:  parts.Admitter,
		forwarder: parts.Forwarder,
		flights:   parts.Flights,
		budget:    parts.Budget,
		attempts:  parts.Attempts,
		metrics:   parts.Metrics,
		lookups:   parts.Lookups,
		waiting:   parts.Waiting,
		suspected: parts.Suspected,
	}
}

// Sweep ends the requests in flight whose key no longer works. It is called
// after each change of the plan.
func (r *Receiver) Sweep() {
	r.flights.Each(func(flight *Flight) {
		if refusal := r.admitter.Recheck(flight.admission, time.Now()); refusal != nil {
			flight.cancel(refusal)
		}
	})
}

// ServeHTTP serves one request of a caller.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == PathLookup {
		r.lookups.ServeHTTP(w, request)
		return
	}
	arrived := time.Now()
	refusal := r.serve(w, request, arrived)
	r.metrics.Count(refusal, arrived)
	switch {
	case refusal == nil:
	case refusal.Reason == arbiter.AnswerBroken:
		// The server's way to break one connection or stream.
		panic(http.ErrAbortHandler)
	default:
		writeRefusal(w, refusal, time.Now())
	}
}

// serve carries a request through. It returns why it failed: an AnswerBroken if
// the answer has begun, anything else as long as nothing has been answered.
func (r *Receiver) serve(w http.ResponseWriter, request *http.Request, now time.Time) *arbiter.Refusal {
	decision, refusal := describe(request, now)
	if refusal != nil {
		return refusal
	}
	admission, refusal := r.admitter.Admit(decision)
	if refusal != nil && !r.waitForRate(request.Context(), admission, refusal, now) {
		return refusal
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	// One timer a request: a context with a deadline of its own would be another
	// context to set up and take down.
	timer := time.AfterFunc(time.Until(admission.Deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	flight := &Flight{
		admission: admission,
		cancel:    cancel,
	}
	ticket, added := r.flights.Add(flight, rand.Uint64())
	if !added {
		admission.Refund(time.Now())
		return arbiter.Refuse(arbiter.InstanceFull, "too many requests in flight").WithRetryAt(now.Add(time.Second))
	}
	defer r.flights.Remove(ticket)
	// The key may have been withdrawn after Admit and before Add, when no sweep
	// could find the request.
	if refusal = r.admitter.Recheck(admission, time.Now()); refusal != nil {
		return refusal
	}
	return r.exchange(ctx, w, request, admission)
}

// waitForRate lets a request that was refused for its team's rate wait for it, and
// says whether it is admitted after all.
func (r *Receiver) waitForRate(
	ctx context.Context,
	admission admitter.Admission,
	refusal *arbiter.Refusal,
	now time.Time,
) bool {
	if refusal.Reason != arbiter.TeamOverRate {
		return false
	}
	outcome := make(chan bool, 1)
	if !admission.Wait(now, func(admitted bool) { outcome <- admitted }) {
		return false
	}
	r.waiting()
	select {
	case admitted := <-outcome:
		return admitted
	case <-ctx.Done():
		// The caller has gone. Its turn may come all the same; what it takes is lost
		// to the team for one interval.
		return false
	}
}

// exchange sends an admitted request and passes the answer on.
func (r *Receiver) exchange(
	ctx context.Context,
	w http.ResponseWriter,
	request *http.Request,
	admission admitter.Admission,
) *arbiter.Refusal {
	// A caller that stops sending or reading must not hold a slot beyond the end of
	// its request.
	stop := context.AfterFunc(ctx, func() { unblock(w) })
	defer stop()
	body, refusal := forwarder.ReadBody(request.Body, request.ContentLength)
	if refusal != nil {
		admission.Refund(time.Now())
		return refusal
	}
	outbound := forwarder.NewOutbound(request, body, admission.Team(), admission.Idempotent, admission.Deadline)
	answer, err := r.send(ctx, outbound, admission)
	if err != nil {
		return r.failed(admission, err)
	}
	defer answer.upstream.Release()
	defer answer.response.Body.Close()
	refusal = relay(w, answer.response)
	if refusal != nil {
		r.blame(answer.upstream, refusal, admission.Hurried)
	}
	return refusal
}

// lastWords is how long a caller gets to read why its request has ended.
const lastWords = time.Second

// unblock ends the reading of a caller's connection now and the writing soon.
func unblock(w http.ResponseWriter) {
	connection := http.NewResponseController(w)
	now := time.Now()
	// Errors here mean a connection that has gone already.
	_ = connection.SetReadDeadline(now)
	_ = connection.SetWriteDeadline(now.Add(lastWords))
}

// answered is an answer and the upstream whose slot it still holds.
type answered struct {
	response *http.Response
	upstream *admitter.Upstream
}

// send sends a request to one upstream after another as far as verdicts allow.
func (r *Receiver) send(ctx context.Context, outbound forwarder.Outbound, admission admitter.Admission) (answered, error) {
	policy := retrier.Policy{
		Idempotent: admission.Idempotent,
		Replayable: outbound.Body().Replayable,
		Attempts:   r.attempts,
		Deadline:   admission.Deadline,
	}
	var failed *admitter.Upstream
	return retrier.Run(ctx, r.budget, policy, func(number int) (answered, error) {
		if number > 1 {
			r.metrics.CountRetry()
		}
		upstream, refusal := admission.Acquire(time.Now(), rand.Uint64(), failed)
		if refusal != nil {
			return answered{}, refusal
		}
		response, err := r.forwarder.Send(ctx, upstream.Address(), outbound)
		if err != nil {
			upstream.Release()
			failed = upstream
			r.blame(upstream, err, admission.Hurried)
			return answered{}, err
		}
		upstream.Succeeded()
		return answered{
			response: response,
			upstream: upstream,
		}, nil
	})
}

// blame marks an upstream that broke a request by its own fault. A deadline that
// the caller has made shorter is not its fault.
func (r *Receiver) blame(upstream *admitter.Upstream, err error, hurried bool) {
	var refusal *arbiter.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	guilty := false
	switch refusal.Reason {
	case arbiter.UpstreamUnreached, arbiter.UpstreamBroken:
		guilty = true
	case arbiter.DeadlineExceeded:
		guilty = !hurried
	}
	if guilty && upstream.Suspect(time.Now()) {
		r.suspected(upstream, refusal)
	}
}

// failed ends a request that got no answer, and gives the team its request back
// where it is proved not to have run.
func (r *Receiver) failed(admission admitter.Admission, err error) *arbiter.Refusal {
	var refusal *arbiter.Refusal
	if !errors.As(err, &refusal) {
		refusal = arbiter.Doubt(arbiter.UpstreamBroken, "the request failed").WithCause(err)
	}
	if refusal.Verdict == arbiter.NotRun {
		admission.Refund(time.Now())
	}
	return refusal
}

// describe reads from a message what the decision needs.
func describe(request *http.Request, now time.Time) (admitter.Request, *arbiter.Refusal) {
	decision := admitter.Request{
		Host:        request.Host,
		Path:        request.URL.Path,
		EscapedPath: request.URL.RawPath,
		Method:      request.Method,
		Now:         now,
	}
	if request.Method == http.MethodConnect || request.Header.Get("Upgrade") != "" {
		return decision, arbiter.Refuse(arbiter.RequestMalformed, "CONNECT and Upgrade are not served")
	}
	key, refusal := keyOf(request)
	if refusal != nil {
		return decision, refusal
	}
	decision.Key = key
	if text := request.Header.Get(forwarder.HeaderTimeoutMillis); text != "" {
		left, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			detail := forwarder.HeaderTimeoutMillis + ": want whole milliseconds"
			return decision, arbiter.Refuse(arbiter.RequestMalformed, detail)
		}
		decision.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	return decision, nil
}

// keyOf returns the key that a caller shows, or "".
func keyOf(request *http.Request) (string, *arbiter.Refusal) {
	lines := request.Header["Authorization"]
	if len(lines) == 0 {
		return "", nil
	}
	const scheme = "bearer "
	line := lines[0]
	if len(lines) > 1 || len(line) <= len(scheme) || !strings.EqualFold(line[:len(scheme)], scheme) {
		return "", arbiter.Refuse(arbiter.KeyMissing, "show one key as Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(line[len(scheme):])
	if key == "" {
		return "", arbiter.Refuse(arbiter.KeyMissing, "show a key as Authorization: Bearer KEY")
	}
	if forwarder.CarriesKey(request, key) {
		return "", arbiter.Refuse(arbiter.KeyExposed, "the key also stands where an upstream would see it")
	}
	return key, nil
}
