// Package forwarder sends requests to upstreams over HTTP and reports with each failure
// whether the request may have run. It decides which connections are reused for which
// requests, and which answers must not be passed on. Each call of Send is one attempt:
// retries and the choice of the upstream are left to the callers of the package.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// DefaultDialMillis bounds the time to connect to an upstream, in milliseconds.
	DefaultDialMillis = 1000
	// DefaultConnections bounds the open connections of one instance to one
	// upstream.
	DefaultConnections = 64
	// DefaultIdleMillis is how long a connection stays open without a request, in
	// milliseconds.
	DefaultIdleMillis = 30_000
	// maxHeaderBytes bounds the header of an answer, in bytes.
	maxHeaderBytes = 64 << 10
)

// Forwarder sends requests to upstreams. It is safe for concurrent use.
type Forwarder struct {
	translator translator.Translator
	// pooled reuses connections. It sends each request once: a request with a body and
	// without GetBody is not one that net/http resends on its own initiative.
	pooled *http.Transport
	// singleUse opens a connection for each request, so that none is sent on a
	// connection that no longer responds or holds the answer to another request.
	singleUse *http.Transport
}

// Option changes a default.
type Option func(settings *options)

type options struct {
	dialMillis  int
	connections int
	idleMillis  int
	// idleConnections bounds the connections to all upstreams that are kept without a
	// request; 0 if nothing does.
	idleConnections int
	translator      translator.Translator
}

// WithDialMillis bounds the time to connect, in milliseconds.
func WithDialMillis(limit int) Option {
	return func(settings *options) {
		settings.dialMillis = limit
	}
}

// WithConnections bounds the open connections to one upstream.
func WithConnections(limit int) Option {
	return func(settings *options) {
		settings.connections = limit
	}
}

// WithIdleMillis sets how long a connection to an upstream stays open without a
// request, in milliseconds.
func WithIdleMillis(limit int) Option {
	return func(settings *options) {
		settings.idleMillis = limit
	}
}

// WithIdleConnections bounds the connections to all upstreams that are kept without a
// request. 0, the default, sets no bound.
func WithIdleConnections(limit int) Option {
	return func(settings *options) {
		settings.idleConnections = limit
	}
}

// WithTranslator sets the translator of the headers that callers and upstreams use.
func WithTranslator(replacement translator.Translator) Option {
	return func(settings *options) {
		settings.translator = replacement
	}
}

// New returns a forwarder.
func New(opts ...Option) *Forwarder {
	settings := options{
		dialMillis:  DefaultDialMillis,
		connections: DefaultConnections,
		idleMillis:  DefaultIdleMillis,
		translator:  translator.Native{},
	}
	for _, opt := range opts {
		opt(&settings)
	}
	return &Forwarder{
		translator: settings.translator,
		pooled:     newTransport(settings, true),
		singleUse:  newTransport(settings, false),
	}
}

// newTransport returns a transport that reuses guarded connections, or one that opens
// a connection for each request.
func newTransport(settings options, reuse bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: time.Duration(settings.dialMillis) * time.Millisecond,
	}
	dial := inspector.NewDialer(dialer.DialContext).DialContext
	if reuse {
		dial = dialGuarded(dialer)
	}
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxConnsPerHost:        settings.connections,
		MaxIdleConnsPerHost:    settings.connections,
		MaxIdleConns:           settings.idleConnections,
		IdleConnTimeout:        time.Duration(settings.idleMillis) * time.Millisecond,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.pooled.CloseIdleConnections()
	f.singleUse.CloseIdleConnections()
}

// Outbound is a request to be sent to an upstream. It is immutable, except for the
// progress of its body.
type Outbound struct {
	method     string
	target     url.URL
	host       string
	header     http.Header
	body       *Body
	team       string
	idempotent bool
	deadline   time.Time
	// unshared says that the request gets a connection on which no other is sent.
	unshared bool
}

// NewOutbound prepares a caller's request for sending. It removes the key and the other
// headers that must not be forwarded, adds the caller's IP address, and records the team.
func NewOutbound(request *http.Request, body *Body, team string, idempotent bool, deadline time.Time) Outbound {
	header := request.Header.Clone()
	translator.StripNotForwarded(header)
	if host, _, err := net.SplitHostPort(request.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", host)
	}
	if _, found := header["User-Agent"]; !found {
		// A header without values keeps the transport from adding its own.
		header["User-Agent"] = nil
	}
	return Outbound{
		method: request.Method,
		target: url.URL{
			Scheme:   "http",
			Path:     request.URL.Path,
			RawPath:  request.URL.RawPath,
			RawQuery: request.URL.RawQuery,
		},
		host:       request.Host,
		header:     header,
		body:       body,
		team:       team,
		idempotent: idempotent,
		deadline:   deadline,
	}
}

// WithUnsharedConnection returns a copy that gets a connection on which no other request is
// sent. A request that is sent to the same upstream again needs it: an answer to the earlier
// attempt, which has the same ID, could be written once more on a kept connection.
func (o Outbound) WithUnsharedConnection() Outbound {
	o.unshared = true
	return o
}

// Body returns the body of the request.
func (o Outbound) Body() *Body {
	return o.body
}

// Target is the upstream that a request is sent to.
type Target struct {
	// Name is the upstream's name, and Address is the address at which it listens.
	Name    string
	Address string
}

// Answer is the answer of an upstream to one attempt.
type Answer struct {
	// Response is the answer to pass on, or nil if it must not be passed on.
	Response *http.Response
	// Status is the HTTP status of the answer, also of one that must not be passed on; 0 if
	// there was none.
	Status int
	// HasReport says that the upstream has answered this attempt, even if only to refuse
	// the request. Report is then what it tells of itself.
	HasReport bool
	Report    registrar.Report
	// conn is the connection of an answer that may be passed on.
	conn *inspector.Conn
}

// Malformed returns why reading the response's body has failed if the body is malformed, and nil
// if it has failed for another reason.
func (a Answer) Malformed() *inspector.MalformedError {
	if a.conn == nil {
		return nil
	}
	return a.conn.Malformed()
}

// Send makes one attempt to send a request and returns the answer. The caller must
// close the response's body. Each error is an *arbiter.Refusal. With an error the answer
// holds no response, but it holds a report if the upstream has refused the request.
func (f *Forwarder) Send(ctx context.Context, target Target, outbound Outbound) (Answer, error) {
	if !outbound.body.rewind() {
		return Answer{}, errBodyRead
	}
	attempt := f.newAttempt(target, outbound)
	traced := httptrace.WithClientTrace(ctx, &attempt.trace)
	response, err := f.transportFor(outbound).RoundTrip(newRequest(traced, outbound, attempt))
	if err != nil {
		return Answer{}, attempt.refusal(ctx, err)
	}
	if attempt.observer.nothingWritten() {
		attempt.observer.closeConn()
		response.Body.Close()
		// The request may have run: the transport may have begun to send it meanwhile.
		return Answer{}, arbiter.Fail(arbiter.UpstreamBroken, "the upstream answered before it was asked").WithCause(errUnsolicited)
	}
	// The answer is judged by what of it would be passed on.
	translator.StripNotForwarded(response.Header)
	if refusal := attempt.checkBody(response, f.checkAnswer(response)); refusal != nil {
		if refusal.Verdict != arbiter.NotRun && !belongsToRequest(refusal) {
			attempt.observer.closeConn()
		}
		response.Body.Close()
		return f.refusedAnswer(response, refusal), refusal
	}
	attempt.exchange.Answered()
	return Answer{
		Response:  response,
		Status:    response.StatusCode,
		HasReport: true,
		Report:    f.translator.ReadReport(response, time.Now()),
		conn:      attempt.observer.inspected,
	}, nil
}

// errBodyRead is the error of an attempt that was not made.
var errBodyRead = arbiter.Refuse(arbiter.BodyRead, "an earlier attempt has begun to read the request's body")

// belongsToRequest reports whether an answer that must not be passed on belongs to the request
// and comes from no other upstream than the one that it was meant for.
func belongsToRequest(refusal *arbiter.Refusal) bool {
	return refusal.Reason == arbiter.UpstreamShed || refusal.Reason == arbiter.NotRunUnproved
}

// refusedAnswer returns the answer of an attempt that ends with a refusal. It holds a report
// only if the answer is that of the upstream that the request was meant for.
func (f *Forwarder) refusedAnswer(response *http.Response, refusal *arbiter.Refusal) Answer {
	if !belongsToRequest(refusal) {
		return Answer{
			Status: response.StatusCode,
		}
	}
	return Answer{
		Status:    response.StatusCode,
		HasReport: true,
		Report:    f.translator.ReadReport(response, time.Now()),
	}
}

// transportFor returns the transport for a request. A request that is not idempotent
// uses a pooled connection only if the translator detects answers to other requests.
func (f *Forwarder) transportFor(outbound Outbound) *http.Transport {
	if outbound.unshared || !outbound.idempotent && !f.translator.DetectsMismatches(outbound.header) {
		return f.singleUse
	}
	return f.pooled
}

// newRequest returns the HTTP request for one attempt, with the URL and header of the attempt.
func newRequest(ctx context.Context, outbound Outbound, attempt *attempt) *http.Request {
	request := http.Request{
		Method:        outbound.method,
		URL:           &attempt.target,
		Host:          outbound.host,
		Header:        attempt.header,
		Body:          outbound.body.reader(),
		ContentLength: outbound.body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if outbound.body.isEmpty() {
		frameEmpty(&request)
	}
	return request.WithContext(ctx)
}

// identityEncoding is the encoding of a body that is sent as it is. Requests share it.
var identityEncoding = []string{"identity"}

// frameEmpty makes the transport send a request with an empty body as one without a body. For
// a body that is not nil it would otherwise send chunks, or read from the body in a further
// goroutine first.
func frameEmpty(request *http.Request) {
	request.TransferEncoding = identityEncoding
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		// RFC 9110, section 8.6. The transport drops a field with the canonical name, and sets
		// its own only for a body that is nil.
		request.Header["content-length"] = []string{"0"}
	}
}

// InterruptedRefusal returns a refusal with the reason why a request's context has ended.
// The request may have run.
func InterruptedRefusal(ctx context.Context) *arbiter.Refusal {
	var refusal *arbiter.Refusal
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &refusal):
		return refusal.WithVerdict(arbiter.MayHaveRun)
	case errors.Is(cause, context.DeadlineExceeded):
		return arbiter.Fail(arbiter.DeadlineExceeded, "the deadline passed before the upstream answered")
	default:
		return arbiter.Fail(arbiter.CallerGone, "the caller went away")
	}
}

// checkAnswer returns a refusal for an answer that must not be passed on, and nil for
// any other.
func (f *Forwarder) checkAnswer(response *http.Response) *arbiter.Refusal {
	if refusal := f.translator.CheckAnswer(response); refusal != nil {
		return refusal
	}
	if endsWithConnection(response) {
		return arbiter.Fail(arbiter.UpstreamBroken, "the answer has no end mark, so that one cut short would look whole")
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection marks the end of
// the answer's body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 &&
		response.Request.Method != http.MethodHead
}
