package retrier_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

func TestRun(t *testing.T) {
	notRun := arbiter.Refuse(arbiter.UpstreamShed, "shed")
	doubt := arbiter.Doubt(arbiter.UpstreamBroken, "broken")
	cases := []struct {
		name       string
		idempotent bool
		touched    bool
		late       bool
		reserve    int
		// outcomes are what the attempts end with; nil is success.
		outcomes []error
		attempts int
		failed   bool
	}{
		{
			name:     "success at once",
			reserve:  5,
			outcomes: []error{nil},
			attempts: 1,
		},
		{
			name:     "an order again after not run",
			reserve:  5,
			outcomes: []error{notRun, notRun, nil},
			attempts: 3,
		},
		{
			name:     "an order once if it may have run",
			reserve:  5,
			outcomes: []error{doubt, nil},
			attempts: 1,
			failed:   true,
		},
		{
			name:     "an order once after an error that says nothing",
			reserve:  5,
			outcomes: []error{errors.New("lost"), nil},
			attempts: 1,
			failed:   true,
		},
		{
			name:       "an idempotent request again if it may have run",
			idempotent: true,
			reserve:    5,
			outcomes:   []error{doubt, nil},
			attempts:   2,
		},
		{
			name:     "no more than the attempts",
			reserve:  5,
			outcomes: []error{notRun, notRun, notRun, nil},
			attempts: 3,
			failed:   true,
		},
		{
			name:     "once if the body is gone",
			touched:  true,
			reserve:  5,
			outcomes: []error{notRun, nil},
			attempts: 1,
			failed:   true,
		},
		{
			name:     "once if the deadline has passed",
			late:     true,
			reserve:  5,
			outcomes: []error{notRun, nil},
			attempts: 1,
			failed:   true,
		},
		{
			name:     "once without budget",
			outcomes: []error{notRun, nil},
			attempts: 1,
			failed:   true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deadline := time.Now().Add(time.Minute)
			if c.late {
				deadline = time.Now().Add(-time.Minute)
			}
			policy := retrier.Policy{
				Idempotent: c.idempotent,
				Replayable: func() bool { return !c.touched },
				Attempts:   3,
				Deadline:   deadline,
			}
			made := 0
			_, err := retrier.Run(t.Context(), retrier.NewBudget(0.1, c.reserve), policy, func(number int) (int, error) {
				made++
				return number, c.outcomes[number-1]
			})
			if made != c.attempts || (err != nil) != c.failed {
				t.Fatalf("%d attempts, %v", made, err)
			}
		})
	}
}

// TestBudgetBoundsRetries fails every request of an overload. Retries stay within
// the reserve and a tenth of the requests.
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
			t.Fatal("a shed request succeeded")
		}
	}
	if most := requests + requests/10 + reserve; sent > most {
		t.Fatalf("sent %d times, want at most %d", sent, most)
	}
}

func TestBackoffGrowsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backoff := retrier.NewBackoff(100, 1000)
		begun := time.Now()
		for range 20 {
			before := time.Now()
			if err := backoff.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			if waited := time.Since(before); waited < 50*time.Millisecond || waited > 1050*time.Millisecond {
				t.Fatalf("waited %s", waited)
			}
		}
		if total := time.Since(begun); total < 3*time.Second {
			t.Fatalf("20 tries in %s", total)
		}
	})
}
