package launcher_test

import (
	"net/http"
	"testing"

	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
)

// TestCallerReportsMalformedAnswers guards against a trial that counts a malformed answer of an instance as an answer.
func TestCallerReportsMalformedAnswers(t *testing.T) {
	for _, answer := range malformer.Refused() {
		t.Run(answer.Name, func(t *testing.T) {
			outcome := launcher.NewCaller("shopfront", "key").Do(t.Context(), launcher.Call{
				Instance: malformer.Start(t, answer),
				Method:   http.MethodPost,
				Path:     "/orders/1",
			})
			if outcome.Err == nil {
				t.Errorf("got %+v, want an error", outcome)
			}
		})
	}
}
