package trier

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// Caller is a caller of a trial's service.
type Caller struct {
	// Service is the host name asked for.
	Service string
	// Key is shown with each request, unless empty.
	Key    string
	client *http.Client
}

// Call is one request of a caller.
type Call struct {
	// Instance is the address of the entry instance.
	Instance string
	Method   string
	// Path may carry a query.
	Path string
	// Body is sent if not empty.
	Body string
	// Order names the order, so that its runs can be counted.
	Order string
}

// Outcome is what came of a call.
type Outcome struct {
	// Status is the HTTP status, or 0 without an answer.
	Status int
	// Verdict and Reason are what the answer says of itself.
	Verdict arbiter.Verdict
	Reason  string
	Body    string
	// Err is set if the answer did not come whole.
	Err error
}

// NewCaller returns a caller with connections of its own.
func NewCaller(service, key string) *Caller {
	return &Caller{
		Service: service,
		Key:     key,
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
}

// Do makes a call and reads the answer to its end.
func (c *Caller) Do(ctx context.Context, call Call) Outcome {
	response, err := c.Open(ctx, call)
	if err != nil {
		return Outcome{
			Err: err,
		}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Outcome{
		Status:  response.StatusCode,
		Verdict: arbiter.Parse(response.Header.Get(translator.HeaderVerdict)),
		Reason:  response.Header.Get(translator.HeaderReason),
		Body:    string(body),
		Err:     err,
	}
}

// Order makes a call again and again as long as the team's rate refuses it, which
// proves that it has not run.
func (c *Caller) Order(ctx context.Context, call Call) Outcome {
	var outcome Outcome
	Await(ctx, startLimit, func() bool {
		outcome = c.Do(ctx, call)
		return outcome.Verdict != arbiter.NotRun || outcome.Reason != string(arbiter.TeamOverRate)
	})
	return outcome
}

// Open makes a call and returns the answer, whose body the caller closes.
func (c *Caller) Open(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Instance+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.Host = c.Service
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if call.Order != "" {
		request.Header.Set(upstreamer.HeaderOrder, call.Order)
	}
	return c.client.Do(request)
}

// Lookup asks an instance which instances to use for a client.
func (c *Caller) Lookup(ctx context.Context, instance, client string) (receiver.Located, error) {
	query := url.Values{
		"service": {c.Service},
		"client":  {client},
	}
	response, err := c.Open(ctx, Call{
		Instance: instance,
		Method:   http.MethodGet,
		Path:     receiver.PathLookup + "?" + query.Encode(),
	})
	if err != nil {
		return receiver.Located{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return receiver.Located{}, err
	}
	if response.StatusCode != http.StatusOK {
		return receiver.Located{}, fmt.Errorf("look-up: %s", body)
	}
	return encoder.JSON[receiver.Located]{}.Decode(body)
}
