package adapter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// callLimit bounds a call that does not wait.
	callLimit = 5 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 5 * time.Second
	// maxAnswerBytes bounds the answer to a list or watch, in bytes.
	maxAnswerBytes = 64 << 20
)

// Adapter is a storer.Store and storer.Lister over HTTP. Safe for many
// goroutines.
type Adapter struct {
	base   *url.URL
	token  string
	client *http.Client
}

// New returns an adapter for the object API at an address such as
// "http://127.0.0.1:7000". The token, if any, is shown with each call.
func New(address, token string) (*Adapter, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, eris.Wrap(err, "platform address")
	}
	return &Adapter{
		base:  base,
		token: token,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 4,
			},
		},
	}, nil
}

// Get returns one object, or storer.ErrNotFound.
func (a *Adapter) Get(ctx context.Context, name string) (storer.Object[[]byte], error) {
	answer, err := a.call(ctx, call{
		method:   http.MethodGet,
		path:     objectPath(name),
		deadline: time.Now().Add(callLimit),
	})
	if err != nil {
		return storer.Object[[]byte]{}, err
	}
	return storer.Object[[]byte]{
		Name:     name,
		Revision: answer.revision,
		Value:    answer.body,
	}, nil
}

// List returns all objects whose names start with prefix.
func (a *Adapter) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	return a.changes(ctx, url.Values{
		ParamPrefix: {prefix},
	}, time.Now().Add(callLimit))
}

// Watch waits for changes below prefix after a revision.
func (a *Adapter) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	wait := WatchMillis * time.Millisecond
	if deadline, has := ctx.Deadline(); has {
		wait = min(wait, time.Until(deadline))
	}
	// The wait ends at the platform earlier than here, so that a deadline ends it
	// with an answer; only a cancellation breaks the call.
	calling, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	return a.changes(calling, url.Values{
		ParamPrefix:     {prefix},
		ParamAfter:      {strconv.FormatUint(after, 10)},
		ParamWaitMillis: {strconv.FormatInt(max(wait.Milliseconds(), 0), 10)},
	}, time.Now().Add(wait+watchSlack))
}

// Put writes an object if the condition holds.
func (a *Adapter) Put(
	ctx context.Context,
	name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	answer, err := a.call(ctx, call{
		method:    http.MethodPut,
		path:      objectPath(name),
		body:      value,
		condition: condition,
		deadline:  time.Now().Add(callLimit),
	})
	if err != nil {
		return storer.Object[[]byte]{}, err
	}
	return storer.Object[[]byte]{
		Name:     name,
		Revision: answer.revision,
		Value:    value,
	}, nil
}

// Delete removes an object if the condition holds.
func (a *Adapter) Delete(ctx context.Context, name string, condition storer.Condition) error {
	_, err := a.call(ctx, call{
		method:    http.MethodDelete,
		path:      objectPath(name),
		condition: condition,
		deadline:  time.Now().Add(callLimit),
	})
	return err
}

// Instances returns the platform's list of instances.
func (a *Adapter) Instances(ctx context.Context) ([]storer.Instance, error) {
	answer, err := a.call(ctx, call{
		method:   http.MethodGet,
		path:     PathInstances,
		deadline: time.Now().Add(callLimit),
	})
	if err != nil {
		return nil, err
	}
	return encoder.JSON[[]storer.Instance]{}.Decode(answer.body)
}

func (a *Adapter) changes(ctx context.Context, query url.Values, deadline time.Time) (storer.Changes[[]byte], error) {
	answer, err := a.call(ctx, call{
		method:   http.MethodGet,
		path:     PathObjects,
		query:    query,
		deadline: deadline,
	})
	if err != nil {
		return storer.Changes[[]byte]{}, err
	}
	return encoder.JSON[storer.Changes[[]byte]]{}.Decode(answer.body)
}

// call is one request to the platform.
type call struct {
	method    string
	path      string
	query     url.Values
	body      []byte
	condition storer.Condition
	// deadline ends the call.
	deadline time.Time
}

// answer is what the platform said.
type answer struct {
	revision uint64
	body     []byte
}

func (a *Adapter) call(ctx context.Context, call call) (answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	exchange := &arbiter.Exchange{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { exchange.Connected() },
	})
	request, err := a.request(ctx, call)
	if err != nil {
		return answer{}, call.fail(arbiter.NotRun, err)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return answer{}, call.fail(exchange.Verdict(), eris.Wrap(storer.ErrUnavailable, err.Error()))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, call.fail(arbiter.MayHaveRun, eris.Wrap(storer.ErrUnavailable, err.Error()))
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer{}, call.refused(response.StatusCode, body)
	}
	return answer{
		revision: revisionOf(response.Header),
		body:     body,
	}, nil
}

func (a *Adapter) request(ctx context.Context, call call) (*http.Request, error) {
	target := a.base.JoinPath(call.path)
	target.RawQuery = call.query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	if a.token != "" {
		request.Header.Set("Authorization", "Bearer "+a.token)
	}
	if call.condition.IsAbsent() {
		request.Header.Set("If-None-Match", "*")
	}
	if revision := call.condition.Revision(); revision != 0 {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(revision, 10)))
	}
	return request, nil
}

// fail returns the error of a call whose answer did not come.
func (c call) fail(verdict arbiter.Verdict, err error) error {
	if c.method == http.MethodGet {
		verdict = arbiter.NotRun
	}
	return &storer.Error{
		Call:    c.method + " " + c.path,
		Verdict: verdict,
		Err:     err,
	}
}

// refused returns the error that an answer's status stands for.
func (c call) refused(status int, body []byte) error {
	switch status {
	case http.StatusNotFound:
		return c.fail(arbiter.NotRun, storer.ErrNotFound)
	case http.StatusPreconditionFailed:
		return c.fail(arbiter.NotRun, storer.ErrConflict)
	case http.StatusGone:
		return c.fail(arbiter.NotRun, storer.ErrCompacted)
	case http.StatusRequestEntityTooLarge:
		return c.fail(arbiter.NotRun, storer.ErrTooLarge)
	default:
		text := strings.TrimSpace(string(body))
		return c.fail(arbiter.MayHaveRun, eris.Wrapf(storer.ErrUnavailable, "status %d: %s", status, text))
	}
}

func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return PathObjects + "/" + strings.Join(segments, "/")
}

func revisionOf(header http.Header) uint64 {
	text, err := strconv.Unquote(header.Get("ETag"))
	if err != nil {
		return 0
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return revision
}
