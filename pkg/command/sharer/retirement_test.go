package sharer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// TestRetiredLimiterAnswersItsWaiters checks that each wait at a limiter that no plan contains
// any more ends, and how. It guards against requests that wait for ever, because a limiter that
// nobody polls neither serves nor refuses them.
func TestRetiredLimiterAnswersItsWaiters(t *testing.T) {
	cases := []struct {
		name   string
		retire func(*sharer.Limiter)
		// want are the answers of three requests that wait at the retirement.
		want []bool
		// enqueuedLater reports that a request which comes after it may wait, and laterWant
		// are the answers of that request.
		enqueuedLater bool
		laterWant     []bool
	}{
		{
			name:          "lifted",
			retire:        (*sharer.Limiter).Lift,
			want:          []bool{true, true, true},
			enqueuedLater: true,
			laterWant:     []bool{true},
		},
		{
			name:   "removed",
			retire: (*sharer.Limiter).Remove,
			want:   []bool{false, false, false},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			l := sharer.NewLimiter("team", sharer.NewBorrower("entry-1/1"), now)
			l.SetHolders(nil, 100)
			var answers, laterAnswers []bool
			var grants []sharer.Grant
			deadline := now.Add(time.Second)
			for range 3 {
				if !l.Enqueue(now, deadline, func(admitted bool) { answers = append(answers, admitted) }) {
					t.Fatal("a request may not wait at a limiter that is in use")
				}
			}
			ask := sharer.Ask{
				Units:            1,
				LenderWaitMillis: 1000,
			}
			l.Lend(ask, now, func(grant sharer.Grant) { grants = append(grants, grant) })
			c.retire(l)
			if !slices.Equal(answers, c.want) {
				t.Errorf("got answers %v to the requests that wait, want %v", answers, c.want)
			}
			if len(grants) != 1 || grants[0].Units != 0 {
				t.Errorf("got grants %v to the ask that waits, want one of nothing", grants)
			}
			later := l.Enqueue(now, deadline, func(admitted bool) { laterAnswers = append(laterAnswers, admitted) })
			if later != c.enqueuedLater || !slices.Equal(laterAnswers, c.laterWant) {
				t.Errorf("a later request: got %t and answers %v, want %t and %v", later, laterAnswers, c.enqueuedLater, c.laterWant)
			}
			l.Poll(deadline)
			l.Resume()
			if !l.Enqueue(deadline, deadline.Add(time.Second), func(bool) {}) || l.Waiting() != 1 {
				t.Error("no request waits at a limiter that is in use again")
			}
			if len(answers) != 3 || len(grants) != 1 {
				t.Errorf("got %d answers and %d grants in all, want 3 and 1", len(answers), len(grants))
			}
		})
	}
}
