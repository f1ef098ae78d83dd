package responder_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestChangeInDoubtIsNotSaidNotToHaveRun guards against operators who take a change for refused that may be in force.
func TestChangeInDoubtIsNotSaidNotToHaveRun(t *testing.T) {
	const operatorKey = "operators"
	refused := &publisher.RefusedError{
		Faults: []checker.Fault{
			{
				Object: "Change",
				Field:  "IfRevision",
			},
		},
	}
	cases := []struct {
		name   string
		err    error
		status int
		// inDoubt says that the body must say that the change may be in force.
		inDoubt bool
	}{
		{
			name:   "refused",
			err:    refused,
			status: http.StatusUnprocessableEntity,
		},
		{
			name:   "overtaken",
			err:    publisher.ErrRaced,
			status: http.StatusConflict,
		},
		{
			name:   "the store is unavailable",
			err:    storer.ErrUnavailable,
			status: http.StatusServiceUnavailable,
		},
		{
			name:    "in doubt",
			err:     publisher.ErrInDoubt,
			status:  http.StatusBadGateway,
			inDoubt: true,
		},
		{
			name:    "in doubt, and the store is unavailable",
			err:     errors.Join(publisher.ErrInDoubt, storer.ErrUnavailable),
			status:  http.StatusBadGateway,
			inDoubt: true,
		},
		{
			name:    "in doubt, and refused on the next attempt",
			err:     errors.Join(publisher.ErrInDoubt, refused),
			status:  http.StatusBadGateway,
			inDoubt: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			change := func(context.Context, publisher.Change) (publisher.Accepted, error) {
				return publisher.Accepted{}, c.err
			}
			endpoint := responder.New(responder.Options{
				KeyHash:  declarer.HashKey(operatorKey),
				Change:   handler.CommandFunc[publisher.Change, publisher.Accepted](change),
				Registry: metrics.NewRegistry(),
			})
			request := httptest.NewRequest(http.MethodPost, responder.PathChange, strings.NewReader("{}"))
			request.Header.Set("Authorization", "Bearer "+operatorKey)
			recorder := httptest.NewRecorder()
			endpoint.ServeHTTP(recorder, request)
			if recorder.Code != c.status {
				t.Errorf("got status %d, want %d", recorder.Code, c.status)
			}
			var body responder.ErrorBody
			if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if inDoubt := strings.Contains(body.Error, publisher.ErrInDoubt.Error()); inDoubt != c.inDoubt {
				t.Errorf("got the error %q, which says that the change may be in force: %t, want %t", body.Error, inDoubt, c.inDoubt)
			}
		})
	}
}
