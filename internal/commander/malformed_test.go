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
	for _, answer := range malformer.Refused() {
		for _, statusLine := range []string{"", "HTTP/1.1 404 Not Found"} {
			if answer.StatusLine != "" && statusLine != "" {
				continue
			}
			if statusLine != "" {
				answer = answer.WithStatusLine(statusLine)
			}
			t.Run(answer.Name+"/"+statusLine, func(t *testing.T) {
				const content = `{"Reason":"KeyUnknown"}`
				address := malformer.Start(t, answer.WithContent(content))
				var stdout, stderr bytes.Buffer
				code := commander.Run(t.Context(), []string{"lookup", "shopfront", "--at", address}, &stdout, &stderr)
				if code == 0 || stdout.Len() > 0 || bytes.Contains(stderr.Bytes(), []byte("KeyUnknown")) {
					t.Errorf("got exit code %d, %q and %q, want a failure without what the answer says", code, stdout.String(), stderr.String())
				}
			})
		}
	}
}
