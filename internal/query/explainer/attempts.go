package explainer

import (
	"fmt"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// explainAttempts returns a sentence for each attempt of a request that failed, and one on
// the status that the caller got after them, or nothing if none failed.
func explainAttempts(end Line) string {
	if len(end.Failures) == 0 {
		return ""
	}
	var text strings.Builder
	for i, failure := range end.Failures {
		fmt.Fprintf(&text, " Attempt %d, sent to %s after %d ms, %s: it %s.",
			i+1, failure.Upstream, failure.AfterMillis, describeFailure(failure), verdictPhrases[failure.Verdict])
	}
	if end.CallerStatus != 0 {
		fmt.Fprintf(&text, " The caller got %d.", end.CallerStatus)
	}
	return text.String()
}

// describeFailure says how an attempt ended and, after the verdict NotRun, what proves it.
func describeFailure(failure Failure) string {
	if failure.Detail != "" {
		return fmt.Sprintf("failed after %d ms (%s, %s)", failure.TookMillis, failure.Reason, failure.Detail)
	}
	if failure.Status != 0 {
		return fmt.Sprintf("was answered %d after %d ms (%s)", failure.Status, failure.TookMillis, failure.Reason)
	}
	if failure.Verdict == arbiter.NotRun.String() {
		return fmt.Sprintf("failed after %d ms before a byte was sent (%s)", failure.TookMillis, failure.Reason)
	}
	return fmt.Sprintf("got no answer within %d ms (%s)", failure.TookMillis, failure.Reason)
}
