// Package operator is the operators' side of an instance's operators' listener.
package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// callLimit bounds one call.
const callLimit = 30 * time.Second

// Client calls one instance. Safe for many goroutines.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// New returns a client of the operators' listener at an address: an IP number and
// a port, or a URL.
func New(address, key string) *Client {
	base := address
	if parsed, err := url.Parse(address); err != nil || parsed.Host == "" {
		base = "http://" + address
	}
	return &Client{
		base: base,
		key:  key,
		client: &http.Client{
			Timeout: callLimit,
		},
	}
}

// Failure is an instance's answer that is not a success.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Message is one line for a person.
	Message string
	// Faults lists what does not fit, if that is why.
	Faults []checker.Fault
}

// Error returns the message.
func (f *Failure) Error() string {
	return f.Message
}

// Change is the command that changes the configuration.
func (c *Client) Change(ctx context.Context, change publisher.Change) (publisher.Accepted, error) {
	body, err := encoder.JSON[publisher.Change]{}.Encode(change)
	if err != nil {
		return publisher.Accepted{}, err
	}
	return call[publisher.Accepted](ctx, c, http.MethodPost, responder.PathChange, nil, body)
}

// Objects is the query for the configuration in force.
func (c *Client) Objects(ctx context.Context, selection reporter.Selection) (reporter.Objects, error) {
	query := url.Values{}
	add(query, responder.ParamKind, string(selection.Kind))
	add(query, responder.ParamName, selection.Name)
	return call[reporter.Objects](ctx, c, http.MethodGet, responder.PathObjects, query, nil)
}

// Status is the query for what the instance knows of itself and its peers.
func (c *Client) Status(ctx context.Context) (reporter.Status, error) {
	return call[reporter.Status](ctx, c, http.MethodGet, responder.PathStatus, nil, nil)
}

// Selection names the events asked for. Its zero value names all.
type Selection struct {
	// Process, Object and Since are as in merger.Filter.
	Process string
	Object  string
	Since   time.Time
}

// TimeLine is the query for the events of all processes.
func (c *Client) TimeLine(ctx context.Context, selection Selection) (timeliner.TimeLine, error) {
	query := url.Values{}
	add(query, responder.ParamProcess, selection.Process)
	add(query, responder.ParamObject, selection.Object)
	if !selection.Since.IsZero() {
		query.Set(responder.ParamSince, selection.Since.Format(time.RFC3339))
	}
	return call[timeliner.TimeLine](ctx, c, http.MethodGet, responder.PathTimeLine, query, nil)
}

func add(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

func call[R any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (R, error) {
	var none R
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return none, eris.Wrap(err, "address")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return none, eris.Wrap(err, "no answer from the instance")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return none, eris.Wrap(err, "the instance's answer broke off")
	}
	if response.StatusCode != http.StatusOK {
		return none, failure(response.StatusCode, data)
	}
	return encoder.JSON[R]{}.Decode(data)
}

func failure(status int, data []byte) error {
	fault, err := encoder.JSON[responder.Fault]{}.Decode(data)
	if err != nil {
		fault.Error = http.StatusText(status)
	}
	return &Failure{
		Status:  status,
		Message: fault.Error,
		Faults:  fault.Faults,
	}
}
