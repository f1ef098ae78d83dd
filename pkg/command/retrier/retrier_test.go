package retrier_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// TestRequestIsSentAgainOnlyIfAllowed checks the number of attempts for a request, by
// their verdicts and by what its policy and its budget allow.
func TestRequestIsSentAgainOnlyIfAllowed(t *testing.T) {
	notRun := arbiter.Refuse(arbiter.UpstreamShed, "shed")
	mayHaveRun := arbiter.Fail(arbiter.UpstreamBroken, "broken")
	unsent := arbiter.Refuse(arbiter.ConnectionEnded, "ended")
	cases := []struct {
		name       string
		idempotent bool
		bodyGone   bool
		expired    bool
		reserve    int
		// outcomes are the results of the attempts, in order; nil is success.
		outcomes     []error
		wantAttempts int
		wantError    bool
	}{
		{
			name:         "success on the first attempt",
			reserve:      5,
			outcomes:     []error{nil},
			wantAttempts: 1,
		},
		{
			name:         "not idempotent, retried after not run",
			reserve:      5,
			outcomes:     []error{notRun, notRun, nil},
			wantAttempts: 3,
		},
		{
			name:         "not idempotent, sent once if it may have run",
			reserve:      5,
			outcomes:     []error{mayHaveRun, nil},
			wantAttempts: 1,
			wantError:    true,
		},
		{
			name:         "not idempotent, sent once after an error without verdict",
			reserve:      5,
			outcomes:     []error{errors.New("lost"), nil},
			wantAttempts: 1,
			wantError:    true,
		},
		{
			name:         "idempotent, retried if it may have run",
			idempotent:   true,
			reserve:      5,
			outcomes:     []error{mayHaveRun, nil},
			wantAttempts: 2,
		},
		{
			name:         "no more than the policy's attempts",
			reserve:      5,
			outcomes:     []error{notRun, notRun, notRun, nil},
			wantAttempts: 3,
			wantError:    true,
		},
		{
			name:         "sent once if the body is gone",
			bodyGone:     true,
			reserve:      5,
			outcomes:     []error{notRun, nil},
			wantAttempts: 1,
			wantError:    true,
		},
		{
			name:         "sent once if the deadline has passed",
			expired:      true,
			reserve:      5,
			outcomes:     []error{notRun, nil},
			wantAttempts: 1,
			wantError:    true,
		},
		{
			name:         "sent once if the budget is empty",
			outcomes:     []error{notRun, nil},
			wantAttempts: 1,
			wantError:    true,
		},
		{
			name:         "attempts that have sent nothing don't count",
			reserve:      5,
			outcomes:     []error{unsent, notRun, unsent, notRun, nil},
			wantAttempts: 5,
		},
		{
			name:         "an empty budget allows what has sent nothing",
			outcomes:     []error{unsent, nil},
			wantAttempts: 2,
		},
		{
			name:         "connections that keep ending count from the third on",
			outcomes:     []error{unsent, unsent, unsent, nil},
			wantAttempts: 3,
			wantError:    true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deadline := time.Now().Add(time.Minute)
			if c.expired {
				deadline = time.Now().Add(-time.Minute)
			}
			policy := retrier.Policy{
				Idempotent: c.idempotent,
				Replayable: func() bool { return !c.bodyGone },
				Attempts:   3,
				Deadline:   deadline,
			}
			sent := 0
			_, err := retrier.Run(t.Context(), retrier.NewBudget(0.1, c.reserve), policy, func(number int) (int, error) {
				sent++
				return number, c.outcomes[sent-1]
			})
			if sent != c.wantAttempts || (err != nil) != c.wantError {
				t.Fatalf("got %d attempts and error %v, want %d attempts and an error: %t", sent, err, c.wantAttempts, c.wantError)
			}
		})
	}
}

// TestBudgetBoundsRetries lets every request fail, as in an overload. Retries must stay
// within the reserve and a tenth of the requests.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests, reserve = 1000, 20
	budget := retrier.NewBudget(0.1, reserve)
	policy := retrier.Policy{
		Replayable: func() bool { return true },
		Attempts:   3,
		Deadline:   time.Now().Add(time.Hour),
	}
	sent := 0
	for range requests {
		_, err := retrier.Run(t.Context(), budget, policy, func(int) (int, error) {
			sent++
			return 0, arbiter.Refuse(arbiter.UpstreamShed, "shed")
		})
		if err == nil {
			t.Fatal("got no error for a request that every attempt shed, want one")
		}
	}
	if most := requests + requests/10 + reserve; sent > most {
		t.Fatalf("got %d requests sent, want at most %d", sent, most)
	}
}

// TestBackoffGrowsWithinBounds checks that each wait is at least half of the first bound
// and exceeds the longest one by that half at most, and that the waits grow.
func TestBackoffGrowsWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backoff := retrier.NewBackoff(100, 1000)
		start := time.Now()
		for range 20 {
			before := time.Now()
			if err := backoff.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			if waited := time.Since(before); waited < 50*time.Millisecond || waited > 1050*time.Millisecond {
				t.Fatalf("got a wait of %s, want 50ms to 1.05s", waited)
			}
		}
		if total := time.Since(start); total < 3*time.Second {
			t.Fatalf("got 20 waits in %s, want at least 3s", total)
		}
	})
}
