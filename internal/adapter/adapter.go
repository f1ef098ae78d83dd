package adapter

import (
	"context"
	"net/http"
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
	// callTimeout bounds the duration of a call that is not a watch.
	callTimeout = 5 * time.Second
	// watchTimeoutMargin is how much longer than its wait at the platform a watch call
	// may take.
	watchTimeoutMargin = 5 * time.Second
)

// Adapter implements storer.Store and storer.Lister over HTTP. It is safe for
// concurrent use.
type Adapter struct {
	client *Client
}

// New returns an adapter for the object API at an address such as
// "http://127.0.0.1:7000". The token, if any, is sent with each call.
func New(address, token string) (*Adapter, error) {
	client, err := NewClient(address, token, classifyStatus)
	if err != nil {
		return nil, err
	}
	return &Adapter{
		client: client,
	}, nil
}

// Get returns one object, or storer.ErrNotFound.
func (a *Adapter) Get(ctx context.Context, name string) (storer.Object[[]byte], error) {
	call := Call{
		Method:   http.MethodGet,
		Path:     objectPath(name),
		Deadline: time.Now().Add(callTimeout),
	}
	answer, err := a.client.Call(ctx, call)
	if err != nil {
		return storer.Object[[]byte]{}, err
	}
	return newObject(name, answer.Body, call, answer)
}

// newObject returns an object with the revision that the answer to a call states. Without one the
// answer settles nothing.
func newObject(name string, value []byte, call Call, answer Answer) (storer.Object[[]byte], error) {
	revision := revisionFromETag(answer.Header)
	if revision == 0 {
		return storer.Object[[]byte]{}, call.newError(arbiter.MayHaveRun, eris.Wrap(storer.ErrUnavailable, "no revision in the answer"))
	}
	return storer.Object[[]byte]{
		Name:     name,
		Revision: revision,
		Value:    value,
	}, nil
}

// List returns all objects whose names start with prefix.
func (a *Adapter) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	return a.fetchChanges(ctx, url.Values{
		ParamPrefix: {prefix},
	}, time.Now().Add(callTimeout))
}

// Watch waits for changes after a revision to the objects whose names start with
// prefix. It returns without changes if the wait ends first.
func (a *Adapter) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	callContext, wait, release := LongPoll(ctx, WatchMillis*time.Millisecond)
	defer release()
	return a.fetchChanges(callContext, url.Values{
		ParamPrefix:     {prefix},
		ParamAfter:      {strconv.FormatUint(after, 10)},
		ParamWaitMillis: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, time.Now().Add(wait+watchTimeoutMargin))
}

// Put writes an object if the condition holds.
func (a *Adapter) Put(
	ctx context.Context,
	name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	call := Call{
		Method:   http.MethodPut,
		Path:     objectPath(name),
		Body:     value,
		Header:   conditionHeader(condition),
		Deadline: time.Now().Add(callTimeout),
	}
	answer, err := a.client.Call(ctx, call)
	if err != nil {
		return storer.Object[[]byte]{}, err
	}
	return newObject(name, value, call, answer)
}

// Delete removes an object if the condition holds.
func (a *Adapter) Delete(ctx context.Context, name string, condition storer.Condition) error {
	_, err := a.client.Call(ctx, Call{
		Method:   http.MethodDelete,
		Path:     objectPath(name),
		Header:   conditionHeader(condition),
		Deadline: time.Now().Add(callTimeout),
	})
	return err
}

// Instances returns the platform's list of instances.
func (a *Adapter) Instances(ctx context.Context) ([]storer.Instance, error) {
	answer, err := a.client.Call(ctx, Call{
		Method:   http.MethodGet,
		Path:     PathInstances,
		Deadline: time.Now().Add(callTimeout),
	})
	if err != nil {
		return nil, err
	}
	return encoder.JSON[[]storer.Instance]{}.Decode(answer.Body)
}

func (a *Adapter) fetchChanges(ctx context.Context, query url.Values, deadline time.Time) (storer.Changes[[]byte], error) {
	answer, err := a.client.Call(ctx, Call{
		Method:   http.MethodGet,
		Path:     PathObjects,
		Query:    query,
		Deadline: deadline,
	})
	if err != nil {
		return storer.Changes[[]byte]{}, err
	}
	return encoder.JSON[storer.Changes[[]byte]]{}.Decode(answer.Body)
}

// conditionHeader encodes a condition as HTTP headers.
func conditionHeader(condition storer.Condition) http.Header {
	header := http.Header{}
	if condition.IsAbsent() {
		header.Set("If-None-Match", "*")
	}
	if revision := condition.Revision(); revision != 0 {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(revision, 10)))
	}
	return header
}

// classifyStatus returns the store's error that a failed status stands for, and
// whether the call may have taken effect.
func classifyStatus(status int) (arbiter.Verdict, error) {
	switch status {
	case http.StatusNotFound:
		return arbiter.NotRun, storer.ErrNotFound
	case http.StatusPreconditionFailed:
		return arbiter.NotRun, storer.ErrConflict
	case http.StatusGone:
		return arbiter.NotRun, storer.ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return arbiter.NotRun, storer.ErrTooLarge
	default:
		return arbiter.MayHaveRun, storer.ErrUnavailable
	}
}

func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return PathObjects + "/" + strings.Join(segments, "/")
}

// revisionFromETag returns the revision in the ETag of an answer, or 0 if there is none.
func revisionFromETag(header http.Header) uint64 {
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
