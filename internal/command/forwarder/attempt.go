package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// attempt is the state of one attempt to send a request.
type attempt struct {
	exchange   arbiter.Exchange
	observer   connObserver
	translator translator.Translator
	method     string
	// header is the header of the request, to which begin adds the metadata.
	header   http.Header
	metadata translator.UpstreamMetadata
	// target is the URL of the request. It is a field so that it needs no allocation of its own.
	target url.URL
	// trace calls begin. It is a field so that it needs no allocation of its own.
	trace httptrace.ClientTrace
}

// newAttempt returns an attempt to send a request to an upstream.
func (f *Forwarder) newAttempt(target Target, outbound Outbound) *attempt {
	next := &attempt{
		translator: f.translator,
		method:     outbound.method,
		header:     outbound.header.Clone(),
		target:     outbound.target,
		metadata: translator.UpstreamMetadata{
			Team:     outbound.team,
			Upstream: target.Name,
			Deadline: outbound.deadline,
		},
	}
	next.target.Host = target.Address
	next.trace.GotConn = next.begin
	return next
}

// begin records that there is a connection, and adds to the header what the upstream is told
// of the request. The request may have waited for the connection, so the time that is left
// counts from now. The transport reads the header only after this call.
func (a *attempt) begin(info httptrace.GotConnInfo) {
	a.exchange.Connected()
	a.observer.observe(info, a.method)
	a.translator.WriteMetadata(a.header, a.metadata, time.Now())
}

// MalformedRefusal returns the refusal of an attempt that was given a malformed answer. Whatever
// the answer claims, the request may have run.
func MalformedRefusal(malformed *inspector.MalformedError) *arbiter.Refusal {
	return arbiter.Fail(arbiter.AnswerMalformed, "the upstream's answer is malformed").WithCause(malformed)
}

const (
	// maxRefusalBytes bounds how much is read of the body of an answer that refuses the request.
	maxRefusalBytes = 4 << 10
	// refusalTimeout bounds how long that may take, since the request waits to be sent again.
	refusalTimeout = 100 * time.Millisecond
)

// checkBody returns the refusal that an answer's head stands for, unless the answer has chunks and
// a malformed one: then it proves nothing.
func (a *attempt) checkBody(response *http.Response, refusal *arbiter.Refusal) *arbiter.Refusal {
	if refusal == nil || refusal.Verdict != arbiter.NotRun || response.ContentLength >= 0 {
		return refusal
	}
	timer := time.AfterFunc(refusalTimeout, a.observer.closeConn)
	defer timer.Stop()
	_, err := io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	if err == nil || err == io.EOF || a.observer.malformed() == nil {
		return refusal
	}
	return MalformedRefusal(a.observer.malformed())
}

// refusal converts a transport's error to a refusal.
func (a *attempt) refusal(ctx context.Context, err error) *arbiter.Refusal {
	verdict := a.exchange.Verdict()
	unsent := a.observer.unsent()
	if unsent {
		verdict = arbiter.NotRun
	}
	reason := arbiter.UpstreamBroken
	detail := "the upstream broke the connection"
	switch {
	case context.Cause(ctx) != nil:
		return InterruptedRefusal(ctx).WithVerdict(verdict)
	case unsent:
		reason = arbiter.ConnectionEnded
		detail = "the connection had ended before the request was sent"
	case verdict == arbiter.NotRun:
		reason = arbiter.UpstreamUnreached
		detail = "no connection to the upstream"
	case a.observer.malformed() != nil:
		return MalformedRefusal(a.observer.malformed())
	}
	return arbiter.Fail(reason, detail).WithVerdict(verdict).WithCause(err)
}
