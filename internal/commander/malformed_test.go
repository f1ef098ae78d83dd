package commander_test

import (
	"bytes"
	"testing"

	"github.com/hemlockport/hemlockport/internal/commander"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
)

// TestMalformedLookupIsNoAnswer guards against an operator who is shown instances, or a refusal, from an answer that
// is none.
func TestMalformedLookupIsNoAnswer(t *testing.T) {
	for _, answer := range malformer.RefusedWith("HTTP/1.1 404 Not Found") {
		t.Run(answer.Name, func(t *testing.T) {
			address := malformer.Start(t, answer.WithContent(`{"Reason":"KeyUnknown"}`))
			var stdout, stderr bytes.Buffer
			code := commander.Run(t.Context(), []string{"lookup", "shopfront", "--at", address}, &stdout, &stderr)
			if code == 0 || stdout.Len() > 0 || bytes.Contains(stderr.Bytes(), []byte("KeyUnknown")) {
				t.Errorf("got exit code %d, %q and %q, want a failure without what the answer says", code, stdout.String(), stderr.String())
			}
		})
	}
}
