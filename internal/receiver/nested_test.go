package receiver_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// TestRefusalsOfAnInstanceBehindAnotherKeepTheirStatus guards against replacing the refusals of an upstream that is an instance too by status 502.
func TestRefusalsOfAnInstanceBehindAnotherKeepTheirStatus(t *testing.T) {
	cases := []struct {
		reason arbiter.Reason
		status int
	}{
		{
			reason: arbiter.RequestMalformed,
			status: http.StatusBadRequest,
		},
		{
			reason: arbiter.KeyMissing,
			status: http.StatusUnauthorized,
		},
		{
			reason: arbiter.TeamNotAllowed,
			status: http.StatusForbidden,
		},
		{
			reason: arbiter.UnknownService,
			status: http.StatusNotFound,
		},
		{
			reason: arbiter.TeamOverRate,
			status: http.StatusTooManyRequests,
		},
	}
	for _, c := range cases {
		t.Run(string(c.reason), func(t *testing.T) {
			behind := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				header := w.Header()
				header.Set(translator.HeaderVerdict, arbiter.NotRun.String())
				header.Set("Content-Length", "0")
				w.WriteHeader(translator.Native{}.RefusalStatus(arbiter.Refuse(c.reason, "refused behind")))
			}))
			t.Cleanup(behind.Close)
			front := newEntry(t, behind.Listener.Addr().String())
			response, err := http.DefaultClient.Do(front.request(t, http.MethodPost, "/orders/1", http.NoBody))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != c.status {
				t.Errorf("got status %d (%s), want %d", response.StatusCode,
					response.Header.Get(translator.HeaderReason), c.status)
			}
		})
	}
}
