package adapter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/redirector"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// maxAnswerBytes bounds the body of an answer, in bytes, and maxHeaderBytes its header.
	// The largest answers are those to a list or watch: a list of 6,000 upstreams has 3 MB.
	// Several calls may be in progress at a time on a machine with little memory.
	maxAnswerBytes = 8 << 20
	maxHeaderBytes = 64 << 10
	// maxErrorBytes is how much of the body of a failed answer is kept for its error.
	maxErrorBytes = 512
	// dialTimeout bounds the time to connect to the platform.
	dialTimeout = 2 * time.Second
	// probeInterval is the interval of the TCP keep-alive probes on an idle connection,
	// and probeCount is how many probes fail before the connection is closed. A watch
	// needs them because it waits on a connection that may have failed silently.
	probeInterval = time.Second
	probeCount    = 2
	// maxIdleConnections bounds the number of open connections that no call uses.
	maxIdleConnections = 4
)

// Client makes calls to an object API over HTTP, and reports for each failed call
// whether it may have taken effect. It is safe for concurrent use.
type Client struct {
	base     *url.URL
	token    string
	client   *http.Client
	classify StatusClassifier
}

// StatusClassifier returns the error that a failed status stands for, and a verdict
// that says whether the call may have taken effect.
type StatusClassifier func(status int) (arbiter.Verdict, error)

// NewClient returns a client for the API at an address such as
// "http://127.0.0.1:7000". The token, if any, is sent with each call.
func NewClient(address, token string, classify StatusClassifier) (*Client, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, eris.Wrap(err, "platform address")
	}
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	return &Client{
		base:     base,
		token:    token,
		classify: classify,
		client: &http.Client{
			Transport: inspector.NewDialer(dialer.DialContext).Equip(&http.Transport{
				MaxIdleConnsPerHost:    maxIdleConnections,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}),
			CheckRedirect: redirector.FollowNone,
		},
	}, nil
}

// LongPoll returns the context for a call that waits at the platform, and how long the
// platform is to wait: until the deadline of ctx, but not more than longest. The
// returned context has no deadline, so that at the deadline of ctx the platform ends
// the wait with an answer; only a cancellation of ctx aborts the call. The caller
// calls release after the call.
func LongPoll(ctx context.Context, longest time.Duration) (callContext context.Context, wait time.Duration, release func()) {
	wait = longest
	if deadline, has := ctx.Deadline(); has {
		wait = min(wait, max(time.Until(deadline), 0))
	}
	callContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return callContext, wait, func() {
		stop()
		cancel()
	}
}

// Call is one request to the platform.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// Deadline is when the call fails if there is no answer.
	Deadline time.Time
}

// Answer is the platform's answer to a successful call.
type Answer struct {
	Header http.Header
	Body   []byte
}

// Call makes one call to the platform. Its error is a *storer.Error.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	exchange := &arbiter.Exchange{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { exchange.Connected() },
	})
	request, err := c.request(ctx, call)
	if err != nil {
		return Answer{}, call.newError(arbiter.NotRun, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{}, call.newError(exchange.Verdict(), eris.Wrap(storer.ErrUnavailable, err.Error()))
	}
	defer response.Body.Close()
	body, err := readBody(response)
	if err != nil {
		return Answer{}, call.newError(arbiter.MayHaveRun, eris.Wrap(storer.ErrUnavailable, err.Error()))
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return Answer{}, c.statusError(call, response.StatusCode, body)
	}
	return Answer{
		Header: response.Header,
		Body:   body,
	}, nil
}

// errAnswerTooLarge is the error of an answer that does not end within maxAnswerBytes.
var errAnswerTooLarge = errors.New("the answer has more than 8388608 bytes")

// readBody reads the body of an answer, up to maxAnswerBytes.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return body, err
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	target := c.base.JoinPath(call.Path)
	target.RawQuery = call.Query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

// statusError returns the error of a call whose answer has a failed status.
func (c *Client) statusError(call Call, status int, body []byte) error {
	verdict, err := c.classify(status)
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorBytes)]))
	return call.newError(verdict, eris.Wrapf(err, "status %d: %s", status, text))
}

// newError returns the error of a failed call. For a GET the verdict is always NotRun,
// because reading has no effect.
func (c Call) newError(verdict arbiter.Verdict, err error) error {
	if c.Method == http.MethodGet {
		verdict = arbiter.NotRun
	}
	return &storer.Error{
		Call:    c.Method + " " + c.Path,
		Verdict: verdict,
		Err:     err,
	}
}
