package prober_test

import (
	"net/http"
	"testing"

	"github.com/hemlockport/hemlockport/internal/query/prober"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// TestMalformedProbeIsNoLife guards against an upstream in trouble that counts as live because the
// status of its malformed answer is 200.
func TestMalformedProbeIsNoLife(t *testing.T) {
	for _, answer := range malformer.Answers() {
		if answer.WantStatus() != http.StatusOK || answer.Fate == malformer.ForwarderRefuses {
			continue
		}
		t.Run(answer.Name, func(t *testing.T) {
			want := admitter.Suspect
			if answer.Fate == malformer.Passes {
				want = admitter.Live
			}
			upstream := newUpstream(t, malformer.Start(t, answer))
			if err := prober.New().ProbeAll(t.Context(), []*admitter.Upstream{upstream}, func(prober.HealthChange) {}); err != nil {
				t.Fatal(err)
			}
			if got := upstream.Health(); got != want {
				t.Errorf("got health %v, want %v", got, want)
			}
		})
	}
}
