// Package operator is the client of the operators' listener of an instance.
package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// callTimeout is the timeout of one call.
const callTimeout = 30 * time.Second

// Client sends commands and queries to one instance. It is safe for concurrent use.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// New returns a client for the operators' listener at address, which is an IP address
// with a port, or a URL. The key authenticates the operator.
func New(address, key string) *Client {
	base, scheme := "http://"+address, "http"
	if parsed, err := url.Parse(address); err == nil && parsed.Host != "" {
		base, scheme = address, parsed.Scheme
	}
	return &Client{
		base: base,
		key:  key,
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: inspector.NewTransport(scheme),
		},
	}
}

// StatusError is the error of a call that the instance answered with a status other
// than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Message describes the failure in one line.
	Message string
	// Faults lists the invalid fields if the instance refused an invalid change.
	Faults []checker.Fault
}

// Error returns the message.
func (e *StatusError) Error() string {
	return e.Message
}

// Change sends a change of the configuration and returns the accepted revision.
func (c *Client) Change(ctx context.Context, change publisher.Change) (publisher.Accepted, error) {
	body, err := encoder.JSON[publisher.Change]{}.Encode(change)
	if err != nil {
		return publisher.Accepted{}, err
	}
	return call[publisher.Accepted](ctx, c, http.MethodPost, responder.PathChange, nil, body)
}

// Objects returns the selected objects of the configuration in force.
func (c *Client) Objects(ctx context.Context, selection reporter.Selection) (reporter.Objects, error) {
	query := url.Values{}
	addParameter(query, responder.ParamKind, string(selection.Kind))
	addParameter(query, responder.ParamName, selection.Name)
	return call[reporter.Objects](ctx, c, http.MethodGet, responder.PathObjects, query, nil)
}

// Status returns what the instance knows about itself, its peers and the upstreams.
func (c *Client) Status(ctx context.Context) (reporter.Status, error) {
	return call[reporter.Status](ctx, c, http.MethodGet, responder.PathStatus, nil, nil)
}

// EventSelection selects events. Its zero value selects all events.
type EventSelection struct {
	// Process selects the events of the instance of this name, Object those whose object
	// contains this text, and Since those at or after this time, in whole seconds. An
	// empty field selects all events.
	Process string
	Object  string
	Since   time.Time
}

// Timeline returns the selected events of the instance and of those that are linked to
// it, in causal order.
func (c *Client) Timeline(ctx context.Context, selection EventSelection) (timeliner.Timeline, error) {
	query := url.Values{}
	addParameter(query, responder.ParamProcess, selection.Process)
	addParameter(query, responder.ParamObject, selection.Object)
	if !selection.Since.IsZero() {
		query.Set(responder.ParamSince, selection.Since.Format(time.RFC3339))
	}
	return call[timeliner.Timeline](ctx, c, http.MethodGet, responder.PathTimeline, query, nil)
}

// Route returns where the instance would send a request now, and why. Nothing is sent.
func (c *Client) Route(ctx context.Context, question previewer.Question) (previewer.Answer, error) {
	query := url.Values{}
	addParameter(query, responder.ParamHost, question.Host)
	addParameter(query, responder.ParamPath, question.Path)
	addParameter(query, responder.ParamMethod, question.Method)
	addParameter(query, responder.ParamTeam, question.Team)
	addParameter(query, responder.ParamObject, question.Object)
	return call[previewer.Answer](ctx, c, http.MethodGet, responder.PathRoute, query, nil)
}

// addParameter adds a query parameter unless its value is empty.
func addParameter(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

// call sends one request and decodes the body of the response. Its error is a
// *StatusError if the status is not 200.
func call[R any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (R, error) {
	var zero R
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return zero, eris.Wrapf(err, "invalid request URL %q", target)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return zero, eris.Wrapf(err, "no answer from the instance at %s", c.base)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return zero, eris.Wrapf(err, "the answer of the instance at %s was truncated", c.base)
	}
	if response.StatusCode != http.StatusOK {
		return zero, decodeFailure(response.StatusCode, data)
	}
	return encoder.JSON[R]{}.Decode(data)
}

// decodeFailure returns the failure in the body of a response. If the body cannot be
// decoded, the message states the status.
func decodeFailure(status int, data []byte) error {
	body, err := encoder.JSON[responder.ErrorBody]{}.Decode(data)
	if err != nil {
		body.Error = fmt.Sprintf("the instance answered with status %d %s without a fault", status, http.StatusText(status))
	}
	return &StatusError{
		Status:  status,
		Message: body.Error,
		Faults:  body.Faults,
	}
}
