// Package forwarder sends a request to an upstream over HTTP and says of each
// failure whether the request may have run.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

const (
	// DefaultDialMillis bounds the time to connect to an upstream, in milliseconds.
	DefaultDialMillis = 1000
	// DefaultConnections bounds the open connections of one instance to one
	// upstream.
	DefaultConnections = 64
	// DefaultIdleMillis ends a connection that no request has used for that long, in
	// milliseconds.
	DefaultIdleMillis = 30_000
	// maxHeaderBytes bounds the header of an answer, in bytes.
	maxHeaderBytes = 64 << 10
)

// Forwarder sends requests. Safe for many goroutines.
type Forwarder struct {
	translator translator.Translator
	// reusing keeps connections open. It may send a request that it takes for
	// idempotent again by itself on another connection.
	reusing *http.Transport
	// fresh opens a connection for each request, so that none is sent on a
	// connection that has gone silent or holds another answer.
	fresh *http.Transport
}

// Option changes a default.
type Option func(settings *options)

type options struct {
	dialMillis  int
	connections int
	idleMillis  int
	translator  translator.Translator
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

// WithIdleMillis ends a connection to an upstream that no request has used for
// that long.
func WithIdleMillis(limit int) Option {
	return func(settings *options) {
		settings.idleMillis = limit
	}
}

// WithTranslator sets how callers and upstreams are spoken to.
func WithTranslator(spoken translator.Translator) Option {
	return func(settings *options) {
		settings.translator = spoken
	}
}

// New returns a forwarder.
func New(changes ...Option) *Forwarder {
	settings := options{
		dialMillis:  DefaultDialMillis,
		connections: DefaultConnections,
		idleMillis:  DefaultIdleMillis,
		translator:  translator.Own{},
	}
	for _, change := range changes {
		change(&settings)
	}
	return &Forwarder{
		translator: settings.translator,
		reusing:    newTransport(settings, true),
		fresh:      newTransport(settings, false),
	}
}

func newTransport(settings options, reuse bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: time.Duration(settings.dialMillis) * time.Millisecond,
	}
	dial := dialer.DialContext
	if reuse {
		dial = dialGuarded(dialer)
	}
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxConnsPerHost:        settings.connections,
		MaxIdleConnsPerHost:    settings.connections,
		IdleConnTimeout:        time.Duration(settings.idleMillis) * time.Millisecond,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close ends the idle connections.
func (f *Forwarder) Close() {
	f.reusing.CloseIdleConnections()
	f.fresh.CloseIdleConnections()
}

// Outbound is a request on its way to an upstream. It is immutable, but for the
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
}

// NewOutbound prepares a caller's request for sending: without its key, without
// what concerns the caller's connection only, and with the team named.
func NewOutbound(request *http.Request, body *Body, team string, idempotent bool, deadline time.Time) Outbound {
	header := request.Header.Clone()
	translator.Strip(header)
	if host, _, err := net.SplitHostPort(request.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", host)
	}
	if _, found := header["User-Agent"]; !found {
		// An empty value keeps the transport from adding its own.
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

// Body returns the body of the request.
func (o Outbound) Body() *Body {
	return o.body
}

// Target is the upstream that a request is sent to.
type Target struct {
	// Name is the upstream's name, and Address where it listens.
	Name    string
	Address string
}

// Send sends a request once to an upstream and returns its answer, whose body the
// caller closes. Each error is an *arbiter.Refusal.
func (f *Forwarder) Send(ctx context.Context, target Target, outbound Outbound) (*http.Response, error) {
	exchange := &arbiter.Exchange{}
	seen := &witness{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			exchange.Connected()
			seen.see(info.Conn)
		},
	})
	response, err := f.transport(outbound).RoundTrip(f.request(traced, target, outbound))
	if err != nil {
		return nil, explain(ctx, exchange.Verdict(), err)
	}
	if seen.unasked() {
		seen.end()
		response.Body.Close()
		// The transport may have sent the request on another connection before.
		return nil, arbiter.Doubt(arbiter.UpstreamBroken, "the upstream answered before it was asked").WithCause(errUnasked)
	}
	if refusal := f.examine(response); refusal != nil {
		if refusal.Verdict != arbiter.NotRun {
			seen.end()
		}
		response.Body.Close()
		return nil, refusal
	}
	exchange.Answered()
	return response, nil
}

func (f *Forwarder) transport(outbound Outbound) *http.Transport {
	if outbound.idempotent || f.translator.NamesAnswers() {
		return f.reusing
	}
	return f.fresh
}

func (f *Forwarder) request(ctx context.Context, to Target, o Outbound) *http.Request {
	target := o.target
	target.Host = to.Address
	header := o.header.Clone()
	f.translator.Tell(header, translator.Told{
		Team:     o.team,
		Upstream: to.Name,
		Deadline: o.deadline,
	}, time.Now())
	request := &http.Request{
		Method:        o.method,
		URL:           &target,
		Host:          o.host,
		Header:        header,
		Body:          o.body.reader(o.idempotent),
		ContentLength: o.body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return request.WithContext(ctx)
}

// explain turns a transport's error into a refusal.
func explain(ctx context.Context, verdict arbiter.Verdict, err error) *arbiter.Refusal {
	reason := arbiter.UpstreamBroken
	detail := "the upstream broke the connection"
	switch {
	case context.Cause(ctx) != nil:
		return Interrupted(ctx).WithVerdict(verdict)
	case verdict == arbiter.NotRun:
		reason = arbiter.UpstreamUnreached
		detail = "no connection to the upstream"
	}
	return arbiter.Doubt(reason, detail).WithVerdict(verdict).WithCause(err)
}

// Interrupted names why a request's context has ended. The request may have run.
func Interrupted(ctx context.Context) *arbiter.Refusal {
	var refusal *arbiter.Refusal
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &refusal):
		return refusal.WithVerdict(arbiter.MayHaveRun)
	case errors.Is(cause, context.DeadlineExceeded):
		return arbiter.Doubt(arbiter.DeadlineExceeded, "the deadline passed before the upstream answered")
	default:
		return arbiter.Doubt(arbiter.CallerGone, "the caller went away")
	}
}

// examine returns a refusal for an answer that must not be passed on.
func (f *Forwarder) examine(response *http.Response) *arbiter.Refusal {
	if refusal := f.translator.Examine(response); refusal != nil {
		return refusal
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return arbiter.Doubt(arbiter.UpstreamBroken, "the upstream switched protocols unasked")
	}
	if endless(response) {
		return arbiter.Doubt(arbiter.UpstreamBroken, "the answer has no end mark, so that one cut short would look whole")
	}
	return nil
}

// endless says whether only the end of the connection ends the answer's body.
func endless(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 &&
		response.Request.Method != http.MethodHead
}
