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

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// maxAnswerBytes bounds the answer to a list or watch, in bytes.
	maxAnswerBytes = 64 << 20
	// dialLimit bounds the time to connect to the platform.
	dialLimit = 2 * time.Second
	// probeInterval is the time between two probes of a connection on which nothing
	// comes, and probeCount is how many fail before it is given up: a watch waits on
	// a connection that may have gone silent.
	probeInterval = time.Second
	probeCount    = 2
	// maxIdle bounds the connections that no call uses.
	maxIdle = 4
)

// Caller makes calls to an object API over HTTP and says of each failure whether
// the call may have taken effect. Safe for many goroutines.
type Caller struct {
	base    *url.URL
	token   string
	client  *http.Client
	meaning Meaning
}

// Meaning says which error a failed status stands for, and whether the call may
// have taken effect.
type Meaning func(status int) (arbiter.Verdict, error)

// NewCaller returns a caller for the API at an address such as
// "http://127.0.0.1:7000". The token, if any, is shown with each call.
func NewCaller(address, token string, meaning Meaning) (*Caller, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, eris.Wrap(err, "platform address")
	}
	dialer := &net.Dialer{
		Timeout: dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	return &Caller{
		base:    base,
		token:   token,
		meaning: meaning,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: maxIdle,
			},
		},
	}, nil
}

// Waiting returns the context and the wait of a call that waits at the platform, at
// most for the longest time. The wait ends there earlier than here, so that a
// deadline of ctx ends it with an answer; only a cancellation breaks the call.
func Waiting(ctx context.Context, longest time.Duration) (calling context.Context, wait time.Duration, end func()) {
	wait = longest
	if deadline, has := ctx.Deadline(); has {
		wait = min(wait, max(time.Until(deadline), 0))
	}
	calling, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return calling, wait, func() {
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
	// Deadline ends the call.
	Deadline time.Time
}

// Answer is what the platform said.
type Answer struct {
	Header http.Header
	Body   []byte
}

// Call makes a call. Its error is a *storer.Error.
func (c *Caller) Call(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	exchange := &arbiter.Exchange{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { exchange.Connected() },
	})
	request, err := c.request(ctx, call)
	if err != nil {
		return Answer{}, call.fail(arbiter.NotRun, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{}, call.fail(exchange.Verdict(), eris.Wrap(storer.ErrUnavailable, err.Error()))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, call.fail(arbiter.MayHaveRun, eris.Wrap(storer.ErrUnavailable, err.Error()))
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return Answer{}, c.refused(call, response.StatusCode, body)
	}
	return Answer{
		Header: response.Header,
		Body:   body,
	}, nil
}

func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
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

// refused returns the error that an answer's status stands for.
func (c *Caller) refused(call Call, status int, body []byte) error {
	verdict, err := c.meaning(status)
	text := strings.TrimSpace(string(body))
	return call.fail(verdict, eris.Wrapf(err, "status %d: %s", status, text))
}

// fail returns the error of a call. Reading has no effect.
func (c Call) fail(verdict arbiter.Verdict, err error) error {
	if c.Method == http.MethodGet {
		verdict = arbiter.NotRun
	}
	return &storer.Error{
		Call:    c.Method + " " + c.Path,
		Verdict: verdict,
		Err:     err,
	}
}
