package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/inspector"
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
		return unreadRefusal(ctx, refusal)
	}
	outbound := forwarder.NewOutbound(request, body, admission.Team(), admission.Idempotent, admission.Deadline)
	answer, err := r.sendWithRetries(ctx, outbound, admission, outcome)
	if answer.Response == nil {
		return r.refundIfNotRun(admission, err)
	}
	defer answer.discard()
	outcome.Status = answer.Status
	r.translator.RewriteAnswer(answer.Response.Header)
	refusal = relay(w, answer)
	now := time.Now()
	r.drainer.Record(admission.Route.Declared.Name, now.Sub(answer.sentAt), now)
	if refusal == nil {
		return nil
	}
	failure := refusal
	if malformed := answer.Malformed(); malformed != nil {
		failure = forwarder.MalformedRefusal(malformed)
		outcome.recordFailure(answer.upstream, answer.Status, answer.sentAt, failure)
		refusal = refusal.WithCause(malformed)
	}
	r.recordFailure(answer.upstream, failure, registrar.Report{}, admission.DeadlineFromCaller)
	return refusal
}

// unreadRefusal returns the refusal of a request whose body could not be read: the one that
// has ended ctx if there is one, as the request has not run, and otherwise the given one.
func unreadRefusal(ctx context.Context, refusal *arbiter.Refusal) *arbiter.Refusal {
	var cause *arbiter.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		return cause.WithVerdict(arbiter.NotRun)
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
	forwarder.Answer
	upstream *admitter.Upstream
	// sentAt is when the attempt began that got the answer.
	sentAt time.Time
	// ahead is what readAhead has read of the body.
	ahead bodyPart
}

// readAhead reads the first part of a body of unknown length. It returns a refusal if that part
// is malformed, so that the request can still be sent to another upstream. Nothing is delayed: the
// caller gets the head together with the first part.
func (a *heldAnswer) readAhead() *arbiter.Refusal {
	if a.Response.ContentLength >= 0 {
		return nil
	}
	a.ahead = newBodyPart()
	a.ahead.next(a.Response.Body)
	// After a malformed line no more bytes come, so these reads do not wait.
	for a.ahead.err == nil && !a.ahead.isFull() && a.Malformed() != nil {
		a.ahead.extend(a.Response.Body)
	}
	if a.ahead.err == nil || a.ahead.err == io.EOF || a.Malformed() == nil {
		return nil
	}
	return forwarder.MalformedRefusal(a.Malformed())
}

// discard closes the answer's body, whether or not it was read, and releases the
// upstream's slot.
func (a heldAnswer) discard() {
	if a.Response == nil {
		return
	}
	a.ahead.release()
	a.Response.Body.Close()
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
	attempts := &attempts{
		receiver:  r,
		outbound:  outbound,
		admission: admission,
		outcome:   outcome,
	}
	policy := retrier.Policy{
		Idempotent: admission.Idempotent,
		Replayable: attempts.mayRepeat,
		Attempts:   admission.Attempts(r.attempts),
		Deadline:   admission.Deadline,
	}
	return retrier.Run(ctx, r.budgets.For(admission.Service), policy, func(int) (heldAnswer, error) {
		return attempts.next(ctx)
	})
}

// sendTo makes one attempt to send a request to an upstream at an address, and records what
// the result shows about the upstream's health and load. With an error the answer holds no
// response.
func (r *Receiver) sendTo(
	ctx context.Context,
	upstream *admitter.Upstream,
	address string,
	outbound forwarder.Outbound,
	admission admitter.Admission,
) (forwarder.Answer, error) {
	target := forwarder.Target{
		Name:    upstream.Declared().Name,
		Address: address,
	}
	attempt := Attempt{
		Admission: admission,
		Upstream:  upstream,
		SentAt:    time.Now(),
	}
	attemptEnded := r.attemptBegins(attempt)
	answer, err := r.forwarder.Send(ctx, target, outbound)
	attempt.EndedAt = time.Now()
	attempt.Err = err
	attempt.Status = answer.Status
	attemptEnded(attempt)
	if answer.HasReport && upstream.RecordAdvertisement(answer.Report, attempt.SentAt, attempt.EndedAt) {
		r.upstreamAdvertised(upstream)
	}
	if err != nil {
		r.recordFailure(upstream, err, answer.Report, admission.DeadlineFromCaller)
		return answer, err
	}
	upstream.RecordLoad(answer.Report, attempt.EndedAt)
	return answer, nil
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
	var malformed *inspector.MalformedError
	if errors.As(err, &malformed) {
		r.metrics.CountMalformedAnswer(malformed.Part)
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
