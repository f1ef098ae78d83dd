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
)

// exchange sends an admitted request and passes the answer on.
func (r *Receiver) exchange(
	ctx context.Context,
	w http.ResponseWriter,
	request *http.Request,
	admission admitter.Admission,
	outcome *Outcome,
) *arbiter.Refusal {
	// A caller that stops sending or reading must not hold a slot beyond the end of
	// its request.
	stop := context.AfterFunc(ctx, func() { unblock(w, request) })
	defer stop()
	body, refusal := forwarder.ReadBody(request.Body, request.ContentLength)
	if refusal != nil {
		admission.Refund(time.Now())
		return refusal
	}
	outbound := forwarder.NewOutbound(request, body, admission.Team(), admission.Idempotent, admission.Deadline)
	answer, err := r.send(ctx, outbound, admission, outcome)
	if answer.response == nil {
		return r.failed(admission, err)
	}
	defer answer.discard()
	outcome.Status = answer.response.StatusCode
	translator.Strip(answer.response.Header)
	r.translator.Pass(answer.response.Header)
	refusal = relay(w, answer.response)
	if refusal != nil {
		r.blame(answer.upstream, refusal, admission.Hurried)
	}
	return refusal
}

// lastWords is how long a caller gets to read why its request has ended.
const lastWords = time.Second

// unblock ends the reading of a caller's connection now, if a body is still being
// read, and the writing soon.
func unblock(w http.ResponseWriter, request *http.Request) {
	connection := http.NewResponseController(w)
	now := time.Now()
	// Errors here mean a connection that has gone already.
	if request.ContentLength != 0 {
		_ = connection.SetReadDeadline(now)
	}
	_ = connection.SetWriteDeadline(now.Add(lastWords))
}

// answered is an answer and the upstream whose slot it still holds. The zero value
// is no answer.
type answered struct {
	response *http.Response
	upstream *admitter.Upstream
}

// discard ends an answer, read or not.
func (a answered) discard() {
	if a.response == nil {
		return
	}
	a.response.Body.Close()
	a.upstream.Release()
}

// send sends a request to one upstream after another as far as verdicts allow. It
// returns an answer, which may tell of a failure, or an error.
func (r *Receiver) send(
	ctx context.Context,
	outbound forwarder.Outbound,
	admission admitter.Admission,
	outcome *Outcome,
) (answered, error) {
	policy := retrier.Policy{
		Idempotent: admission.Idempotent,
		Replayable: outbound.Body().Replayable,
		Attempts:   admission.Attempts(r.attempts),
		Deadline:   admission.Deadline,
	}
	var last answered
	var failed *admitter.Upstream
	// doubt is the first error after which the request may have run. A later "not
	// run" is true of a later sending only.
	var doubt error
	truly := func(err error) error {
		if doubt == nil && arbiter.Of(err) == arbiter.MayHaveRun {
			doubt = err
		}
		if doubt != nil {
			return doubt
		}
		return err
	}
	return retrier.Run(ctx, r.budgets.Of(admission.Service), policy, func(number int) (answered, error) {
		if number > 1 {
			r.metrics.CountRetry()
		}
		upstream, refusal := admission.Acquire(time.Now(), rand.Uint64(), failed)
		if refusal != nil {
			return last, truly(refusal)
		}
		last.discard()
		last = answered{}
		outcome.sent(upstream)
		response, err := r.sendTo(ctx, upstream, outbound, admission)
		if err != nil {
			upstream.Release()
			failed = upstream
			return last, truly(err)
		}
		last = answered{
			response: response,
			upstream: upstream,
		}
		if r.isFailure(response) {
			failed = upstream
			if upstream.Failed(time.Now()) {
				r.suspected(upstream, errAnswerFailed)
			}
			return last, truly(errAnswerFailed)
		}
		upstream.Succeeded(time.Now())
		return last, nil
	})
}

// errAnswerFailed is the error of an answer that tells of a failure. The answer
// can be passed on all the same.
var errAnswerFailed = arbiter.Doubt(arbiter.UpstreamFailed, "the upstream answered that it failed")

// isFailure says whether an answer is worth another try.
func (r *Receiver) isFailure(response *http.Response) bool {
	return r.retryFailures && response.StatusCode >= http.StatusInternalServerError
}

// sendTo sends a request to one upstream and takes in what that tells of it.
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
	sending := Sending{
		Admission: admission,
		Upstream:  upstream,
		SentAt:    time.Now(),
	}
	response, err := r.forwarder.Send(ctx, target, outbound)
	sending.EndedAt = time.Now()
	sending.Err = err
	if err == nil {
		sending.Status = response.StatusCode
	}
	r.observed(sending)
	if err != nil {
		r.blame(upstream, err, admission.Hurried)
		return nil, err
	}
	if load, known := r.translator.Load(response.Header); known {
		upstream.Observe(load.Running, load.Waiting, time.Now())
	}
	return response, nil
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
	case arbiter.UpstreamUnreached:
		upstream.Unreached()
		guilty = true
	case arbiter.UpstreamBroken, arbiter.UpstreamReplaced:
		guilty = true
	case arbiter.DeadlineExceeded:
		guilty = !hurried
	case arbiter.UpstreamShed:
		upstream.Shed(time.Now())
	}
	if guilty {
		r.suspect(upstream, refusal)
	}
}

func (r *Receiver) suspect(upstream *admitter.Upstream, refusal *arbiter.Refusal) {
	if upstream.Suspect(time.Now()) {
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
