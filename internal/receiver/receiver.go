// Package receiver is the HTTP front end for callers. It takes a request through
// admission, sending and relaying, and writes the answer or the refusal; it also answers
// look-ups of entry instances. It decides which answers are read completely before they are
// passed on. Whether a request may run, where, whether it is sent again, and what a failed
// attempt shows about the upstream is decided by admitter and retrier; header formats are
// those of the Translator.
package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
)

// Receiver serves the requests of callers. It is safe for concurrent use.
type Receiver struct {
	admitter  *admitter.Admitter
	forwarder *forwarder.Forwarder
	inFlight  *tracker.Tracker[InFlightRequest]
	budgets   *retrier.Budgets
	drainer   *drainer.Drainer
	attempts  int
	// finishMillis is how long a request in flight may continue after CancelInvalid has
	// found that its key is no longer valid, in milliseconds.
	finishMillis int
	// retryFailures says that an answer with a 5xx status counts as a failed attempt (see
	// Options.RetryFailures).
	retryFailures bool
	metrics       *exporter.RequestCounters
	translator    translator.Translator
	lookupHandler http.Handler
	// requestEnded is called when a request ends.
	requestEnded func(Outcome)
	// attemptBegins is called when an attempt to send a request to an upstream begins; it
	// returns the function to call when the attempt has ended.
	attemptBegins func(Attempt) func(Attempt)
	// waitingForRate is called for each request that starts to wait for its team's
	// rate limit.
	waitingForRate func()
	// upstreamSuspected is called when a live upstream becomes suspect because it
	// failed a request.
	upstreamSuspected func(upstream *admitter.Upstream, refusal *arbiter.Refusal)
	// upstreamAdvertised is called when an upstream says something else of itself than before
	// (see admitter.Advertisement).
	upstreamAdvertised func(upstream *admitter.Upstream)
	// queues holds the requests that wait for an upstream with room; nil if none waits.
	queues *Queues
}

// Options holds the dependencies and the settings of a receiver.
type Options struct {
	Admitter  *admitter.Admitter
	Forwarder *forwarder.Forwarder
	InFlight  *tracker.Tracker[InFlightRequest]
	Budgets   *retrier.Budgets
	// Drainer decides which requests are still sent while the instance drains.
	Drainer *drainer.Drainer
	// Attempts is the maximum number of attempts per request where the route sets
	// none; at least 1.
	Attempts int
	// FinishMillis is how long a request in flight may continue after CancelInvalid has
	// found that its key was withdrawn, in milliseconds.
	FinishMillis int
	// RetryFailures says that an answer with a 5xx status counts as a failed attempt: an
	// idempotent request is sent again, and an upstream that is not probed becomes suspect.
	// Otherwise such an answer counts as a success.
	RetryFailures bool
	Metrics       *exporter.RequestCounters
	// Translator reads and writes the headers that callers use.
	Translator translator.Translator
	// LookupHandler serves PathLookup. If it is nil, that path is an ordinary request.
	LookupHandler http.Handler
	// RequestEnded, if not nil, is called when a request ends.
	RequestEnded func(Outcome)
	// AttemptBegins, if not nil, is called when an attempt to send a request to an upstream
	// begins. The function that it returns, never nil, is called when the attempt has ended.
	AttemptBegins func(Attempt) func(Attempt)
	// WaitingForRate is called for each request that starts to wait for its team's rate
	// limit. It must not be nil.
	WaitingForRate func()
	// UpstreamSuspected is called when a live upstream becomes suspect because it
	// failed a request. It must not be nil.
	UpstreamSuspected func(upstream *admitter.Upstream, refusal *arbiter.Refusal)
	// UpstreamAdvertised, if not nil, is called when an upstream says something else of
	// itself than before (see admitter.Advertisement).
	UpstreamAdvertised func(upstream *admitter.Upstream)
	// Queues holds the requests that wait for an upstream with room. If it is nil, requests
	// that find none are refused at once.
	Queues *Queues
}

// New returns a receiver with the given dependencies.
func New(options Options) *Receiver {
	requestEnded := options.RequestEnded
	if requestEnded == nil {
		requestEnded = func(Outcome) {}
	}
	attemptBegins := options.AttemptBegins
	if attemptBegins == nil {
		attemptBegins = func(Attempt) func(Attempt) { return func(Attempt) {} }
	}
	upstreamAdvertised := options.UpstreamAdvertised
	if upstreamAdvertised == nil {
		upstreamAdvertised = func(*admitter.Upstream) {}
	}
	return &Receiver{
		admitter:           options.Admitter,
		forwarder:          options.Forwarder,
		inFlight:           options.InFlight,
		budgets:            options.Budgets,
		drainer:            options.Drainer,
		attempts:           options.Attempts,
		finishMillis:       options.FinishMillis,
		retryFailures:      options.RetryFailures,
		metrics:            options.Metrics,
		translator:         options.Translator,
		lookupHandler:      options.LookupHandler,
		requestEnded:       requestEnded,
		attemptBegins:      attemptBegins,
		waitingForRate:     options.WaitingForRate,
		upstreamSuspected:  options.UpstreamSuspected,
		upstreamAdvertised: upstreamAdvertised,
		queues:             options.Queues,
	}
}

// ServeHTTP serves one request of a caller.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.lookupHandler != nil && request.URL.Path == PathLookup {
		r.lookupHandler.ServeHTTP(w, request)
		return
	}
	outcome := Outcome{
		Arrived: arrivedAt(w, time.Now()),
	}
	refusal := r.serve(w, request, &outcome)
	// What ends the request last, such as a stop or a moved key, does not know of the attempts.
	refusal = outcome.History.Bound(refusal)
	r.metrics.Count(refusal, outcome.Arrived)
	if refusal != nil && outcome.Attempts > 0 {
		r.metrics.CountRefusedAfterAttempt(refusal.Verdict)
	}
	outcome.Refusal = refusal
	outcome.Ended = time.Now()
	aborts := refusal != nil && refusal.Reason == arbiter.AnswerBroken && !reset(w)
	outcome.CallerStatus = r.callerStatus(outcome, aborts)
	if r.queues != nil {
		r.queues.ended(&outcome)
	}
	r.requestEnded(outcome)
	switch {
	case refusal == nil:
	case aborts:
		// The server aborts the connection or stream on this panic.
		panic(http.ErrAbortHandler)
	default:
		r.translator.WriteRefusal(w, request, refusal, outcome.Ended)
	}
}

// callerStatus returns the HTTP status that the caller of a request is sent, or 0 if its
// connection is aborted.
func (r *Receiver) callerStatus(outcome Outcome, aborts bool) int {
	switch {
	case aborts:
		return 0
	case outcome.Refusal == nil:
		return outcome.Status
	default:
		return r.translator.RefusalStatus(outcome.Refusal)
	}
}

// arrivalReporter is a response whose request may have waited before it was served.
type arrivalReporter interface {
	// ArrivedAt returns when the request began to arrive.
	ArrivedAt() time.Time
}

// arrivedAt returns when the request of a response began to arrive: now, unless the response
// tells it.
func arrivedAt(w http.ResponseWriter, now time.Time) time.Time {
	if reporter, ok := w.(arrivalReporter); ok {
		return reporter.ArrivedAt()
	}
	return now
}

// resetter is a response that can be replaced by another one.
type resetter interface {
	// Reset drops what has been written, unless a part of it may have been sent to the
	// caller, and reports whether it did.
	Reset() bool
}

// reset drops a response of which nothing has been sent to the caller, so that a refusal can
// take its place, and reports whether it did.
func reset(w http.ResponseWriter) bool {
	response, ok := w.(resetter)
	return ok && response.Reset()
}

// serve admits a request, sends it to an upstream and passes the answer on. If the
// request fails, it returns why: with the reason AnswerBroken if part of the answer
// has been written, with any other reason if nothing has been written.
func (r *Receiver) serve(w http.ResponseWriter, request *http.Request, outcome *Outcome) *arbiter.Refusal {
	now := time.Now()
	admissionRequest, refusal := r.readRequest(request, outcome, now)
	if refusal != nil {
		return refusal
	}
	admission, refusal := r.admitter.Admit(admissionRequest)
	outcome.recordAdmission(admission)
	if stopping := r.refuseWhileStopping(admission, refusal, outcome.Arrived); stopping != nil {
		return stopping
	}
	if refusal != nil && refusal.Reason != arbiter.TeamOverRate {
		return refusal
	}
	// The deadline is set before the first wait, so that each wait of the request ends.
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	// A timer that cancels ctx saves the second context that context.WithDeadline
	// would create for each request.
	timer := time.AfterFunc(time.Until(admission.Deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	if refusal != nil && !r.waitForRate(ctx, admission, now) {
		return r.refuseOverRate(admission, refusal)
	}
	inFlight := &InFlightRequest{
		admission: admission,
		cancel:    cancel,
	}
	ticket, added := r.inFlight.Add(inFlight, rand.Uint64())
	if !added {
		admission.Refund(time.Now())
		return arbiter.Refuse(arbiter.InstanceFull, "too many requests in flight").WithRetryAt(now.Add(time.Second))
	}
	defer r.inFlight.Remove(ticket)
	// If the key was withdrawn between Admit and Add, CancelInvalid could not find the
	// request, so it is checked again here.
	if refusal = r.admitter.Recheck(admission, time.Now()); refusal != nil {
		admission.Refund(time.Now())
		return refusal
	}
	return r.forwardAndRelay(ctx, w, request, admission, outcome)
}

// refuseOverRate returns the refusal of a request that has waited for its team's rate in vain:
// the given one, unless its key has been withdrawn or has moved meanwhile.
func (r *Receiver) refuseOverRate(admission admitter.Admission, refusal *arbiter.Refusal) *arbiter.Refusal {
	if invalid := r.admitter.Recheck(admission, time.Now()); invalid != nil {
		return invalid
	}
	return refusal
}

// refuseWhileStopping returns a refusal if the instance drains and an answer is not expected
// in time to a request that was admitted or may wait for its team's rate. The refusal of
// the admission is nil or says why it was not admitted.
func (r *Receiver) refuseWhileStopping(
	admission admitter.Admission,
	refusal *arbiter.Refusal,
	arrived time.Time,
) *arbiter.Refusal {
	if refusal != nil && refusal.Reason != arbiter.TeamOverRate {
		return nil
	}
	now := time.Now()
	stopping := r.drainer.Check(drainRequest(admission, arrived), now)
	if stopping != nil && refusal == nil {
		admission.Refund(now)
	}
	return stopping
}

// drainRequest returns what the drainer needs to know of a request.
func drainRequest(admission admitter.Admission, arrived time.Time) drainer.Request {
	return drainer.Request{
		Route:    admission.Route.Declared.Name,
		Arrived:  arrived,
		Deadline: admission.Deadline,
	}
}

// waitForRate waits until the team's rate admits a request that was refused with
// TeamOverRate, and returns true then. It returns false if the request cannot wait, or was not
// admitted before its wait or ctx ended.
func (r *Receiver) waitForRate(ctx context.Context, admission admitter.Admission, now time.Time) bool {
	result := make(chan bool, 1)
	if !admission.Wait(now, func(admitted bool) { result <- admitted }) {
		return false
	}
	r.waitingForRate()
	select {
	case admitted := <-result:
		return admitted
	case <-ctx.Done():
		// The request keeps its turn in the queue. If the rate admits it later, that token is
		// not used: the team loses it for one interval.
		return false
	}
}
