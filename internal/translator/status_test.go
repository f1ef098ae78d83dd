package translator_test

import (
	"net/http"
	"testing"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// TestRequestsThatMayHaveRunInviteNoRetry guards against a status with which clients send a request again that may have run.
func TestRequestsThatMayHaveRunInviteNoRetry(t *testing.T) {
	for _, reason := range arbiter.Reasons() {
		for _, verdict := range []arbiter.Verdict{arbiter.MayHaveRun, arbiter.Ran} {
			status := translator.StatusOf(arbiter.Fail(reason, "").WithVerdict(verdict))
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				t.Errorf("%s, %s: got status %d, want none with which clients retry", reason, verdict, status)
			}
		}
	}
}
