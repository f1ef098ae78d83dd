package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// Caller sends requests to one service of a local cluster, as a client of a team does.
type Caller struct {
	// Service is the host name that requests are sent to.
	Service string
	// Key is the caller's key, sent with each request unless it is empty.
	Key    string
	client *http.Client
}

// Call describes one request of a caller.
type Call struct {
	// Instance is the address of the entry instance that receives the request.
	Instance string
	Method   string
	// Path may include a query.
	Path string
	// Body is the request body; it may be empty.
	Body string
	// Order identifies the order, so that the upstreams can count how often it ran;
	// if it is empty, no header is sent.
	Order string
}

// Outcome is the result of a call.
type Outcome struct {
	// Status is the HTTP status, or 0 if there was no answer.
	Status int
	// Verdict and Reason are taken from the headers of the answer: whether the
	// request ran, and why it was refused.
	Verdict arbiter.Verdict
	Reason  string
	Body    string
	// Err is set if the answer did not arrive completely.
	Err error
}

// NewCaller returns a caller that shares no connections with other callers.
func NewCaller(service, key string) *Caller {
	dialer := &net.Dialer{}
	return &Caller{
		Service: service,
		Key:     key,
		client: &http.Client{
			Transport: inspector.NewDialer(dialer.DialContext).Equip(&http.Transport{}),
		},
	}
}

// Do sends a request and reads the whole answer.
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
		Verdict: arbiter.ParseVerdict(response.Header.Get(translator.HeaderVerdict)),
		Reason:  response.Header.Get(translator.HeaderReason),
		Body:    string(body),
		Err:     err,
	}
}

// DoWhileOverRate sends a request and repeats it as long as it is refused because the
// team is over its rate. Repeating is safe, as such a request has not run.
func (c *Caller) DoWhileOverRate(ctx context.Context, call Call) Outcome {
	var outcome Outcome
	Await(ctx, startTimeout, func() bool {
		outcome = c.Do(ctx, call)
		return outcome.Verdict != arbiter.NotRun || outcome.Reason != string(arbiter.TeamOverRate)
	})
	return outcome
}

// Open sends a request and returns the answer without reading its body. The caller
// closes the body.
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

// Lookup asks an instance which instances a client address is to use.
func (c *Caller) Lookup(ctx context.Context, instance, client string) (receiver.LookupAnswer, error) {
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
		return receiver.LookupAnswer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return receiver.LookupAnswer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return receiver.LookupAnswer{}, fmt.Errorf("look-up of %q at %s: status %d: %s", c.Service, instance, response.StatusCode, body)
	}
	return encoder.JSON[receiver.LookupAnswer]{}.Decode(body)
}
