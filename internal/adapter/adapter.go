package adapter

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// callLimit bounds a call that does not wait.
	callLimit = 5 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 5 * time.Second
)

// Adapter is a storer.Store and storer.Lister over HTTP. Safe for many
// goroutines.
type Adapter struct {
	caller *Caller
}

// New returns an adapter for the object API at an address such as
// "http://127.0.0.1:7000". The token, if any, is shown with each call.
func New(address, token string) (*Adapter, error) {
	caller, err := NewCaller(address, token, meaning)
	if err != nil {
		return nil, err
	}
	return &Adapter{
		caller: caller,
	}, nil
}

// Get returns one object, or storer.ErrNotFound.
func (a *Adapter) Get(ctx context.Context, name string) (storer.Object[[]byte], error) {
	answer, err := a.caller.Call(ctx, Call{
		Method:   http.MethodGet,
		Path:     objectPath(name),
		Deadline: time.Now().Add(callLimit),
	})
	if err != nil {
		return storer.Object[[]byte]{}, err
	}
	return storer.Object[[]byte]{
		Name:     name,
		Revision: revisionOf(answer.Header),
		Value:    answer.Body,
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
	calling, wait, end := Waiting(ctx, WatchMillis*time.Millisecond)
	defer end()
	return a.changes(calling, url.Values{
		ParamPrefix:     {prefix},
		ParamAfter:      {strconv.FormatUint(after, 10)},
		ParamWaitMillis: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, time.Now().Add(wait+watchSlack))
}

// Put writes an object if the condition holds.
func (a *Adapter) Put(
	ctx context.Context,
	name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	answer, err := a.caller.Call(ctx, Call{
		Method:   http.MethodPut,
		Path:     objectPath(name),
		Body:     value,
		Header:   conditions(condition),
		Deadline: time.Now().Add(callLimit),
	})
	if err != nil {
		return storer.Object[[]byte]{}, err
	}
	return storer.Object[[]byte]{
		Name:     name,
		Revision: revisionOf(answer.Header),
		Value:    value,
	}, nil
}

// Delete removes an object if the condition holds.
func (a *Adapter) Delete(ctx context.Context, name string, condition storer.Condition) error {
	_, err := a.caller.Call(ctx, Call{
		Method:   http.MethodDelete,
		Path:     objectPath(name),
		Header:   conditions(condition),
		Deadline: time.Now().Add(callLimit),
	})
	return err
}

// Instances returns the platform's list of instances.
func (a *Adapter) Instances(ctx context.Context) ([]storer.Instance, error) {
	answer, err := a.caller.Call(ctx, Call{
		Method:   http.MethodGet,
		Path:     PathInstances,
		Deadline: time.Now().Add(callLimit),
	})
	if err != nil {
		return nil, err
	}
	return encoder.JSON[[]storer.Instance]{}.Decode(answer.Body)
}

func (a *Adapter) changes(ctx context.Context, query url.Values, deadline time.Time) (storer.Changes[[]byte], error) {
	answer, err := a.caller.Call(ctx, Call{
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

// conditions returns the header that asks for a condition.
func conditions(condition storer.Condition) http.Header {
	header := http.Header{}
	if condition.IsAbsent() {
		header.Set("If-None-Match", "*")
	}
	if revision := condition.Revision(); revision != 0 {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(revision, 10)))
	}
	return header
}

// meaning says what a failed status stands for.
func meaning(status int) (arbiter.Verdict, error) {
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
