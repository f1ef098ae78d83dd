package arbiter_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// TestOnlyProvedAttemptsEndWithNotRun guards against the promise that a request has not run while an attempt is open or unproved.
func TestOnlyProvedAttemptsEndWithNotRun(t *testing.T) {
	const open = arbiter.Verdict(255)
	cases := []struct {
		name string
		// results holds the verdicts of the attempts; open means that it has not ended.
		results []arbiter.Verdict
		refused arbiter.Verdict
		want    arbiter.Verdict
	}{
		{
			name:    "no attempt",
			refused: arbiter.NotRun,
			want:    arbiter.NotRun,
		},
		{
			name:    "all proved",
			results: []arbiter.Verdict{arbiter.NotRun, arbiter.NotRun},
			refused: arbiter.NotRun,
			want:    arbiter.NotRun,
		},
		{
			name:    "the first unproved",
			results: []arbiter.Verdict{arbiter.MayHaveRun, arbiter.NotRun},
			refused: arbiter.NotRun,
			want:    arbiter.MayHaveRun,
		},
		{
			name:    "the last unproved",
			results: []arbiter.Verdict{arbiter.NotRun, arbiter.MayHaveRun},
			refused: arbiter.NotRun,
			want:    arbiter.MayHaveRun,
		},
		{
			name:    "the last answered",
			results: []arbiter.Verdict{arbiter.NotRun, arbiter.Ran},
			refused: arbiter.NotRun,
			want:    arbiter.MayHaveRun,
		},
		{
			name:    "the last open",
			results: []arbiter.Verdict{arbiter.NotRun, open},
			refused: arbiter.NotRun,
			want:    arbiter.MayHaveRun,
		},
		{
			name:    "a refusal that promises nothing",
			results: []arbiter.Verdict{arbiter.NotRun},
			refused: arbiter.MayHaveRun,
			want:    arbiter.MayHaveRun,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var history arbiter.History
			for _, verdict := range c.results {
				history = history.WithAttempt()
				if verdict != open {
					history = history.WithResult(verdict)
				}
			}
			refusal := arbiter.Refuse(arbiter.NoRoom, "").WithVerdict(c.refused)
			if got := history.Bound(refusal).Verdict; got != c.want {
				t.Fatalf("got verdict %s, want %s", got, c.want)
			}
		})
	}
}
