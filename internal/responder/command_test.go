package responder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
)

// TestCommandsAreBounded guards against an operator whose commands make the instance run out of
// memory: one that finds no room is refused before its body is read and is not executed.
func TestCommandsAreBounded(t *testing.T) {
	const operatorKey = "the-operators-key"
	executed := 0
	refused := 0
	change := func(context.Context, publisher.Change) (publisher.Accepted, error) {
		executed++
		return publisher.Accepted{}, nil
	}
	budget := bounder.NewBudget(30_000)
	front := responder.New(responder.Options{
		KeyHash: declarer.HashKey(operatorKey),
		Change:  handler.CommandFunc[publisher.Change, publisher.Accepted](change),
		Changes: budget,

		OnRefused: func() { refused++ },
	})
	cases := []struct {
		name   string
		body   string
		length int64
		status int
	}{
		{
			name:   "inside the bound",
			body:   "{}" + strings.Repeat(" ", 5000),
			length: 5002,
			status: http.StatusOK,
		},
		{
			name:   "above the bound",
			body:   "{}" + strings.Repeat(" ", 20_000),
			length: 20_002,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "of unknown length",
			body:   "{}",
			length: -1,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "after refusals",
			body:   "{}",
			length: 2,
			status: http.StatusOK,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, responder.PathChange, strings.NewReader(c.body))
			request.ContentLength = c.length
			request.Header.Set("Authorization", "Bearer "+operatorKey)
			recorded := httptest.NewRecorder()
			front.ServeHTTP(recorded, request)
			if recorded.Code != c.status {
				t.Errorf("got status %d, want %d", recorded.Code, c.status)
			}
			if isRefusal := recorded.Code == http.StatusServiceUnavailable; isRefusal != (recorded.Header().Get("Retry-After") != "") {
				t.Errorf("got the header %v, want Retry-After only with a refusal", recorded.Header())
			}
			if held := budget.Held(); held != 0 {
				t.Errorf("got %d bytes held at the end, want 0", held)
			}
		})
	}
	if executed != 2 || refused != 2 {
		t.Errorf("got %d commands executed and %d refused, want 2 and 2", executed, refused)
	}
}

// lateBody is a body that does not arrive in time.
type lateBody struct{}

func (lateBody) Read([]byte) (int, error) {
	return 0, os.ErrDeadlineExceeded
}

// TestLateCommandIsNotExecuted guards against a command that is told to be too large although it came
// too late, or that holds bytes afterwards.
func TestLateCommandIsNotExecuted(t *testing.T) {
	const operatorKey = "the-operators-key"
	budget := bounder.NewBudget(30_000)
	change := func(context.Context, publisher.Change) (publisher.Accepted, error) {
		t.Error("the command was executed")
		return publisher.Accepted{}, nil
	}
	front := responder.New(responder.Options{
		KeyHash: declarer.HashKey(operatorKey),
		Change:  handler.CommandFunc[publisher.Change, publisher.Accepted](change),
		Changes: budget,
	})
	request := httptest.NewRequest(http.MethodPost, responder.PathChange, lateBody{})
	request.ContentLength = 100
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	recorded := httptest.NewRecorder()
	front.ServeHTTP(recorded, request)
	if recorded.Code != http.StatusRequestTimeout {
		t.Errorf("got status %d, want %d", recorded.Code, http.StatusRequestTimeout)
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("got %d bytes held at the end, want 0", held)
	}
}
