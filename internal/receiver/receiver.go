// Package receiver is the callers' front end over HTTP. It translates between
// messages and decisions and makes none of its own.
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
	budgets   *retrier.Budgets
	attempts  int
	// finishMillis is how long a request that has begun may go on after its key was
	// withdrawn, in milliseconds.
	finishMillis int
	// retryFailures says that an idempotent request is sent again after an answer
	// that tells of a failure.
	retryFailures bool
	metrics       *exporter.Requests
	translator    translator.Translator
	lookups       http.Handler
	// ended is told how each request ended, and observed how each sending did.
	ended    func(Outcome)
	observed func(Sending)
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
	Budgets   *retrier.Budgets
	// Attempts is how often one request is sent at most, where its route does not
	// say; at least 1.
	Attempts int
	// FinishMillis is how long a request that has begun may go on after its key was
	// withdrawn, in milliseconds.
	FinishMillis int
	// RetryFailures says that an idempotent request is sent again after an answer
	// that tells of a failure.
	RetryFailures bool
	Metrics       *exporter.Requests
	// Translator is how callers are spoken to.
	Translator translator.Translator
	// Lookups answers PathLookup, unless it is nil.
	Lookups http.Handler
	// Ended, if not nil, is told how each request ended, and Observed how each
	// sending to an upstream did.
	Ended    func(Outcome)
	Observed func(Sending)
	// Waiting is told of each request that waits for its team's rate.
	Waiting func()
	// Suspected is told of an upstream that has just failed.
	Suspected func(upstream *admitter.Upstream, refusal *arbiter.Refusal)
}

// New returns a receiver made of parts.
func New(parts Parts) *Receiver {
	ended := parts.Ended
	if ended == nil {
		ended = func(Outcome) {}
	}
	observed := parts.Observed
	if observed == nil {
		observed = func(Sending) {}
	}
	return &Receiver{
		admitter:      parts.Admitter,
		forwarder:     parts.Forwarder,
		flights:       parts.Flights,
		budgets:       parts.Budgets,
		attempts:      parts.Attempts,
		finishMillis:  parts.FinishMillis,
		retryFailures: parts.RetryFailures,
		metrics:       parts.Metrics,
		translator:    parts.Translator,
		lookups:       parts.Lookups,
		ended:         ended,
		observed:      observed,
		waiting:       parts.Waiting,
		suspected:     parts.Suspected,
	}
}

// Sweep ends the requests in flight whose key no longer works, once they have had
// their time to finish. It is called after each change of the plan.
func (r *Receiver) Sweep() {
	r.flights.Each(func(flight *Flight) {
		refusal := r.admitter.Recheck(flight.admission, time.Now())
		switch {
		case refusal == nil:
		case r.finishMillis == 0:
			flight.cancel(refusal)
		default:
			// A request that has ended by then does not notice.
			wait := time.Duration(r.finishMillis) * time.Millisecond
			time.AfterFunc(wait, func() { flight.cancel(refusal) })
		}
	})
}

// ServeHTTP serves one request of a caller.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.lookups != nil && request.URL.Path == PathLookup {
		r.lookups.ServeHTTP(w, request)
		return
	}
	outcome := Outcome{
		Arrived: time.Now(),
	}
	refusal := r.serve(w, request, &outcome)
	r.metrics.Count(refusal, outcome.Arrived)
	outcome.Refusal = refusal
	outcome.Ended = time.Now()
	r.ended(outcome)
	switch {
	case refusal == nil:
	case refusal.Reason == arbiter.AnswerBroken:
		// The server's way to break one connection or stream.
		panic(http.ErrAbortHandler)
	default:
		r.translator.Refuse(w, request, refusal, outcome.Ended)
	}
}

// serve carries a request through. It returns why it failed: an AnswerBroken if
// the answer has begun, anything else as long as nothing has been answered.
func (r *Receiver) serve(w http.ResponseWriter, request *http.Request, outcome *Outcome) *arbiter.Refusal {
	now := outcome.Arrived
	decision, refusal := r.describe(request, outcome)
	if refusal != nil {
		return refusal
	}
	admission, refusal := r.admitter.Admit(decision)
	outcome.admitted(admission)
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
	return r.exchange(ctx, w, request, admission, outcome)
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
