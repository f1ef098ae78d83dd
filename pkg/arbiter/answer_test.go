package arbiter_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// TestAnswerProvesNotRun guards against a promise that a request has not run which its answer does not prove.
func TestAnswerProvesNotRun(t *testing.T) {
	cases := []struct {
		name    string
		claims  arbiter.AnswerClaims
		reason  arbiter.Reason
		verdict arbiter.Verdict
	}{
		{
			name: "no claim",
		},
		{
			name: "a statement with a status that promises it too",
			claims: arbiter.AnswerClaims{
				StatesNotRun:   true,
				Refuses:        true,
				PromisesNotRun: true,
			},
			reason:  arbiter.UpstreamShed,
			verdict: arbiter.NotRun,
		},
		{
			name: "a statement with a status that refuses and promises nothing",
			claims: arbiter.AnswerClaims{
				StatesNotRun: true,
				Refuses:      true,
			},
			reason:  arbiter.UpstreamShed,
			verdict: arbiter.NotRun,
		},
		{
			name: "a statement with a status that does not refuse",
			claims: arbiter.AnswerClaims{
				StatesNotRun: true,
				Signed:       true,
			},
			reason:  arbiter.NotRunUnproved,
			verdict: arbiter.MayHaveRun,
		},
		{
			name: "a status that promises it alone",
			claims: arbiter.AnswerClaims{
				PromisesNotRun: true,
			},
			reason:  arbiter.NotRunUnproved,
			verdict: arbiter.MayHaveRun,
		},
		{
			name: "another upstream that states it",
			claims: arbiter.AnswerClaims{
				StatesNotRun:   true,
				Refuses:        true,
				Misdirected:    true,
				PromisesNotRun: true,
			},
			reason:  arbiter.UpstreamReplaced,
			verdict: arbiter.NotRun,
		},
		{
			name: "another upstream that names itself",
			claims: arbiter.AnswerClaims{
				Refuses:        true,
				Misdirected:    true,
				FromAnother:    true,
				PromisesNotRun: true,
			},
			reason:  arbiter.UpstreamReplaced,
			verdict: arbiter.NotRun,
		},
		{
			name: "another upstream with a result",
			claims: arbiter.AnswerClaims{
				Refuses:        true,
				Misdirected:    true,
				FromAnother:    true,
				Signed:         true,
				PromisesNotRun: true,
			},
			reason:  arbiter.UpstreamReplaced,
			verdict: arbiter.MayHaveRun,
		},
		{
			name: "the intended upstream as misdirected",
			claims: arbiter.AnswerClaims{
				Refuses:        true,
				Misdirected:    true,
				PromisesNotRun: true,
			},
			reason:  arbiter.UpstreamReplaced,
			verdict: arbiter.MayHaveRun,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			refusal := c.claims.Refusal()
			if c.reason == "" {
				if refusal != nil {
					t.Fatalf("got %v, want no refusal", refusal)
				}
				return
			}
			if refusal == nil || refusal.Reason != c.reason || refusal.Verdict != c.verdict {
				t.Fatalf("got %v, want %s (%s)", refusal, c.reason, c.verdict)
			}
		})
	}
}
