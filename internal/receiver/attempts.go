package receiver

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// attempts holds the attempts to send one request.
type attempts struct {
	receiver  *Receiver
	outbound  forwarder.Outbound
	admission admitter.Admission
	outcome   *Outcome
	// lastAnswer is the failed answer of the last attempt, if it got one.
	lastAnswer heldAnswer
	// failed holds the upstreams of the attempts so far, which have all failed, except for
	// those in which nothing was sent, and addresses those to which the attempts went.
	failed    []*admitter.Upstream
	addresses []string
	// unsent is the upstream of the last attempt that failed before a byte was sent, or nil.
	unsent *admitter.Upstream
	// mayHaveRunErr is the first error after which the request may have run. If a
	// later attempt ends with NotRun, that holds for the later attempt only.
	mayHaveRunErr error
	// isFinal reports that the queue has refused the request. A further attempt would look for
	// the same room and spend the budget of retries.
	isFinal bool
}

// mayRepeat reports whether a further attempt is possible: whether the body is still available
// and the queue has not refused the request.
func (a *attempts) mayRepeat() bool {
	return !a.isFinal && a.outbound.Body().Replayable()
}

// next makes the next attempt. If no upstream can be acquired, the key no longer works for the
// request's team, or the instance stops before an answer is expected, it returns the answer of
// the attempt before.
func (a *attempts) next(ctx context.Context) (heldAnswer, error) {
	now := time.Now()
	if refusal := a.checkDrain(now); refusal != nil {
		return a.lastAnswer, a.overallError(refusal)
	}
	// The key may have been withdrawn or moved while the request waited or was sent before.
	if refusal := a.receiver.admitter.Recheck(a.admission, now); refusal != nil {
		return a.lastAnswer, a.overallError(refusal)
	}
	if len(a.failed) > 0 {
		a.receiver.metrics.CountRetry()
	}
	upstream, now, refusal := a.acquire(ctx, now)
	if refusal != nil {
		a.outcome.LoadBound = a.admission.LoadBound()
		a.outcome.Refused = a.admission.RefusalAt(now)
		return a.lastAnswer, a.overallError(refusal)
	}
	a.lastAnswer.discard()
	a.lastAnswer = heldAnswer{}
	placement := a.admission.PlacementAt(upstream, now)
	a.outcome.recordAttempt(upstream, placement)
	a.receiver.metrics.CountAttempt(placement.Rank)
	address := upstream.Address()
	answer, err := a.receiver.sendTo(ctx, upstream, address, a.outboundFor(upstream, address), a.admission)
	if err != nil {
		upstream.Release()
		a.recordDuration(now, err)
		a.outcome.recordFailure(upstream, answer.Status, now, err)
		return heldAnswer{}, a.fail(upstream, address, err)
	}
	a.lastAnswer = heldAnswer{
		Answer:   answer,
		upstream: upstream,
		sentAt:   now,
	}
	if a.receiver.isFailure(answer.Status) {
		a.recordDuration(now, errAnswerFailed)
		a.recordFailedAnswer(upstream, answer.Status)
		a.outcome.recordFailure(upstream, answer.Status, now, errAnswerFailed)
		return a.lastAnswer, a.fail(upstream, address, errAnswerFailed)
	}
	answeredAt := time.Now()
	if refusal := a.lastAnswer.readAhead(); refusal != nil {
		a.discardMalformed(refusal)
		return heldAnswer{}, a.fail(upstream, address, refusal)
	}
	upstream.RecordSuccess(answeredAt)
	a.admission.RecordDuration(answeredAt.Sub(now))
	a.outcome.AnswerLoad = upstream.Load(answeredAt)
	return a.lastAnswer, nil
}

// discardMalformed discards the last answer, whose body is malformed, and records the failure.
func (a *attempts) discardMalformed(refusal *arbiter.Refusal) {
	malformed := a.lastAnswer
	a.lastAnswer = heldAnswer{}
	malformed.discard()
	a.recordDuration(malformed.sentAt, refusal)
	a.receiver.recordFailure(malformed.upstream, refusal, registrar.Report{}, a.admission.DeadlineFromCaller)
	a.outcome.recordFailure(malformed.upstream, malformed.Status, malformed.sentAt, refusal)
}

// recordDuration records how long a failed attempt took, unless the upstream has not run the
// request: that says nothing about how long an answer takes.
func (a *attempts) recordDuration(sentAt time.Time, err error) {
	if arbiter.VerdictOf(err) == arbiter.NotRun {
		return
	}
	now := time.Now()
	a.receiver.drainer.Record(a.admission.Route.Declared.Name, now.Sub(sentAt), now)
}

// recordFailedAnswer records what an answer with a 5xx status shows about the upstream.
func (a *attempts) recordFailedAnswer(upstream *admitter.Upstream, status int) {
	now := time.Now()
	if status == http.StatusGatewayTimeout {
		upstream.RecordExpiredAnswer(a.admission.DeadlineFromCaller, now)
		return
	}
	if upstream.RecordFailedAnswer(now) {
		a.receiver.upstreamSuspected(upstream, errAnswerFailed)
	}
}

// lastFailed returns the upstream of the last attempt, or nil before the first one.
func (a *attempts) lastFailed() *admitter.Upstream {
	if len(a.failed) == 0 {
		return nil
	}
	return a.failed[len(a.failed)-1]
}

// outboundFor returns the request for an attempt at an upstream. Connections are kept by
// address, which upstreams can share, and an earlier attempt's answer has the same ID.
func (a *attempts) outboundFor(upstream *admitter.Upstream, address string) forwarder.Outbound {
	if upstream == a.unsent || slices.Contains(a.addresses, address) {
		return a.outbound.WithUnsharedConnection()
	}
	return a.outbound
}

// fail records an attempt at an address of an upstream that has failed with err, and returns
// the error of the request.
func (a *attempts) fail(upstream *admitter.Upstream, address string, err error) error {
	if arbiter.IsUnsent(err) {
		// The upstream is not at fault, so the next attempt does not avoid it.
		a.unsent = upstream
	} else {
		a.failed = append(a.failed, upstream)
		a.addresses = append(a.addresses, address)
	}
	return a.overallError(err)
}

// overallError returns the error of the request after an attempt that failed with err:
// mayHaveRunErr if there is one, else err.
func (a *attempts) overallError(err error) error {
	if a.mayHaveRunErr == nil && arbiter.VerdictOf(err) == arbiter.MayHaveRun {
		a.mayHaveRunErr = err
	}
	if a.mayHaveRunErr != nil {
		return a.mayHaveRunErr
	}
	return err
}

// errAnswerFailed is the error of an attempt whose answer has a 5xx status. Its verdict is
// MayHaveRun and not Ran, so that an idempotent request is sent again. The answer is
// passed on if there is no further attempt. A further attempt discards it; if that one
// gets no answer, the caller gets this error.
var errAnswerFailed = arbiter.Fail(arbiter.UpstreamFailed, "the upstream answered that it failed")

// isFailure reports whether an answer counts as a failed attempt: it has a 5xx status, and
// RetryFailures is set.
func (r *Receiver) isFailure(status int) bool {
	return r.retryFailures && status >= http.StatusInternalServerError
}
