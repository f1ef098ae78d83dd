package assessor_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/query/assessor"
)

// TestOutages checks which results of calls count as an outage. It guards against a watch
// that is cut off and counts as an outage although the store answers otherwise (review case 7),
// and against a store that refuses this instance and does not.
func TestOutages(t *testing.T) {
	// step is a result of a call, or the passing of time.
	type step struct {
		atMillis int
		result   string
	}
	cases := []struct {
		name  string
		steps []step
		// lostAt is when the outage began at the last step, in milliseconds; -1 for none.
		lostAt int
	}{
		{
			name:   "answers alone",
			steps:  []step{{0, "answer"}, {5000, "answer"}, {60_000, "time"}},
			lostAt: -1,
		},
		{
			name:   "a cut watch, answered when it reads again",
			steps:  []step{{0, "failure"}, {60, "answer"}, {1000, "time"}},
			lostAt: -1,
		},
		{
			name:   "watches cut off one after the other",
			steps:  []step{{0, "failure"}, {60, "answer"}, {400, "failure"}, {450, "answer"}, {800, "failure"}, {850, "time"}},
			lostAt: -1,
		},
		{
			name:   "one call fails on and on, others are answered",
			steps:  []step{{0, "failure"}, {300, "answer"}, {600, "failure"}, {900, "answer"}, {1200, "failure"}, {1600, "time"}},
			lostAt: -1,
		},
		{
			name:   "all calls are refused",
			steps:  []step{{100, "failure"}, {160, "failure"}, {300, "failure"}, {600, "failure"}},
			lostAt: 100,
		},
		{
			name:   "no answer after a failure",
			steps:  []step{{100, "failure"}, {350, "time"}, {600, "time"}},
			lostAt: 100,
		},
		{
			name:   "an outage that has ended",
			steps:  []step{{100, "failure"}, {900, "failure"}, {5000, "answer"}, {9000, "time"}},
			lostAt: -1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			var availability assessor.Availability
			for _, step := range c.steps {
				now := begin.Add(time.Duration(step.atMillis) * time.Millisecond)
				switch step.result {
				case "answer":
					availability = availability.WithAnswer()
				case "failure":
					availability = availability.WithFailure(now)
				}
				availability = availability.WithTime(now)
			}
			want := time.Time{}
			if c.lostAt >= 0 {
				want = begin.Add(time.Duration(c.lostAt) * time.Millisecond)
			}
			if got := availability.LostSince(); !got.Equal(want) {
				t.Errorf("got an outage since %v, want since %v", got, want)
			}
		})
	}
}
