package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// forwardAndRelay sends an admitted request to upstreams until one answers or no retry is
// allowed, and passes the answer on to the caller. It returns why the request failed, or
// nil.
func (r *Receiver) forwardAndRelay(
	ctx context.Context,
	w http.ResponseWriter,
	request *http.Request,
	admission admitter.Admission,
	outcome *Outcome,
) *arbiter.Refusal {
	// A caller that stops sending or reading must not hold an upstream's slot after
	// its request's context has ended.
	stop := context.AfterFunc(ctx, func() { unblock(w, request) })
	defer stop()
	body, refusal := forwarder.ReadBody(request.Body, request.ContentLength)
	if refusal != nil {
		admission.Refund(time.Now())
		return refusal
	}
	outbound := forwarder.NewOutbound(request, body, admission.Team(), admission.Idempotent, admission.Deadline)
	answer, err := r.sendWithRetries(ctx, outbound, admission, outcome)
	if answer.response == nil {
		return r.refundIfNotRun(admission, err)
	}
	defer answer.discard()
	outcome.Status = answer.response.StatusCode
	translator.StripNotForwarded(answer.response.Header)
	r.translator.RewriteAnswer(answer.response.Header)
	refusal = relay(w, answer.response)
	if refusal != nil {
		r.recordFailure(answer.upstream, refusal, registrar.Report{}, admission.DeadlineFromCaller)
	}
	return refusal
}

// finalAnswerTimeout is how long a caller gets to read the final answer, which says
// why its request has ended.
const finalAnswerTimeout = time.Second

// unblock makes pending reads of the request's body fail at once and writes to the
// caller fail after finalAnswerTimeout.
func unblock(w http.ResponseWriter, request *http.Request) {
	connection := http.NewResponseController(w)
	now := time.Now()
	// These calls fail only if the connection is closed already.
	if request.ContentLength != 0 {
		_ = connection.SetReadDeadline(now)
	}
	_ = connection.SetWriteDeadline(now.Add(finalAnswerTimeout))
}

// heldAnswer is an answer together with the upstream whose slot it holds until it is
// discarded. The zero value means that there is no answer.
type heldAnswer struct {
	response *http.Response
	upstream *admitter.Upstream
}

// discard closes the answer's body, whether or not it was read, and releases the
// upstream's slot.
func (a heldAnswer) discard() {
	if a.response == nil {
		return
	}
	a.response.Body.Close()
	a.upstream.Release()
}

// sendWithRetries sends a request to one upstream after another, as far as the
// verdicts, the retry policy and the retry budget allow. It may return both an
// answer and an error; the answer has a 5xx status then.
func (r *Receiver) sendWithRetries(
	ctx context.Context,
	outbound forwarder.Outbound,
	admission admitter.Admission,
	outcome *Outcome,
) (heldAnswer, error) {
	policy := retrier.Policy{
		Idempotent: admission.Idempotent,
		Replayable: outbound.Body().Replayable,
		Attempts:   admission.Attempts(r.attempts),
		Deadline:   admission.Deadline,
	}
	var lastAnswer heldAnswer
	var failedUpstream *admitter.Upstream
	// mayHaveRunErr is the first error after which the request may have run. If a
	// later attempt ends with NotRun, that holds for the later attempt only.
	var mayHaveRunErr error
	// overallError returns the error of the request after an attempt that failed with
	// err: mayHaveRunErr if there is one, else err.
	overallError := func(err error) error {
		if mayHaveRunErr == nil && arbiter.VerdictOf(err) == arbiter.MayHaveRun {
			mayHaveRunErr = err
		}
		if mayHaveRunErr != nil {
			return mayHaveRunErr
		}
		return err
	}
	return retrier.Run(ctx, r.budgets.For(admission.Service), policy, func(attempt int) (heldAnswer, error) {
		if attempt > 1 {
			r.metrics.CountRetry()
		}
		now := time.Now()
		upstream, refusal := admission.Acquire(now, rand.Uint64(), failedUpstream)
		if refusal != nil {
			return lastAnswer, overallError(refusal)
		}
		lastAnswer.discard()
		lastAnswer = heldAnswer{}
		placement := admission.PlacementAt(upstream, now)
		outcome.recordAttempt(upstream, placement)
		r.metrics.CountAttempt(placement.Rank)
		response, err := r.sendTo(ctx, upstream, outbound, admission)
		if err != nil {
			upstream.Release()
			failedUpstream = upstream
			return lastAnswer, overallError(err)
		}
		lastAnswer = heldAnswer{
			response: response,
			upstream: upstream,
		}
		if r.isFailure(response) {
			failedUpstream = upstream
			if upstream.RecordFailedAnswer(time.Now()) {
				r.upstreamSuspected(upstream, errAnswerFailed)
			}
			return lastAnswer, overallError(errAnswerFailed)
		}
		upstream.RecordSuccess(time.Now())
		return lastAnswer, nil
	})
}

// errAnswerFailed is the error of an attempt whose answer has a 5xx status. Its verdict is
// MayHaveRun and not Ran, so that an idempotent request is sent again. The answer is
// passed on if there is no further attempt. A further attempt discards it; if that one
// gets no answer, the caller gets this error.
var errAnswerFailed = arbiter.Fail(arbiter.UpstreamFailed, "the upstream answered that it failed")

// isFailure reports whether an answer counts as a failed attempt: it has a 5xx status, and
// RetryFailures is set.
func (r *Receiver) isFailure(response *http.Response) bool {
	return r.retryFailures && response.StatusCode >= http.StatusInternalServerError
}

// sendTo makes one attempt to send a request to an upstream, and records what the
// result shows about the upstream's health and load.
func (r *Receiver) sendTo(
	ctx context.Context,
	upstream *admitter.Upstream,
	outbound forwarder.Outbound,
	admission admitter.Admission,
) (*http.Response, error) {
	target := forwarder.Target{
		Name:    upstream.Declared().Name,
		Address: upstream.Address(),
	}
	attempt := Attempt{
		Admission: admission,
		Upstream:  upstream,
		SentAt:    time.Now(),
	}
	answer, err := r.forwarder.Send(ctx, target, outbound)
	attempt.EndedAt = time.Now()
	attempt.Err = err
	if err == nil {
		attempt.Status = answer.Response.StatusCode
	}
	r.attemptEnded(attempt)
	if answer.HasReport && upstream.RecordAdvertisement(answer.Report, attempt.SentAt, attempt.EndedAt) {
		r.upstreamAdvertised(upstream)
	}
	if err != nil {
		r.recordFailure(upstream, err, answer.Report, admission.DeadlineFromCaller)
		return nil, err
	}
	upstream.RecordLoad(answer.Report, attempt.EndedAt)
	return answer.Response, nil
}

// recordFailure records what a failed attempt shows about the upstream, and calls
// upstreamSuspected if the upstream becomes suspect. The report is empty if the attempt got
// no answer.
func (r *Receiver) recordFailure(
	upstream *admitter.Upstream,
	err error,
	report registrar.Report,
	deadlineFromCaller bool,
) {
	var refusal *arbiter.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	if upstream.RecordRefusal(refusal, report, deadlineFromCaller, time.Now()) {
		r.upstreamSuspected(upstream, refusal)
	}
}

// refundIfNotRun returns the refusal of a request that got no answer, and refunds the
// team's rate if the request is proved not to have run.
func (r *Receiver) refundIfNotRun(admission admitter.Admission, err error) *arbiter.Refusal {
	var refusal *arbiter.Refusal
	if !errors.As(err, &refusal) {
		refusal = arbiter.Fail(arbiter.UpstreamBroken, "the request failed").WithCause(err)
	}
	if refusal.Verdict == arbiter.NotRun {
		admission.Refund(time.Now())
	}
	return refusal
}
