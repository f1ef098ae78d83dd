package scheduler_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// TestLevel guards against a level that refuses while there is room, lets a less urgent
// priority go before a more urgent one, or starves one.
func TestLevel(t *testing.T) {
	cases := []struct {
		name   string
		counts scheduler.Counts
		// want are the shares of the first priorities, within 0.02.
		want []float64
	}{
		{
			name: "nothing is known",
			want: []float64{1, 1, 1},
		},
		{
			name: "few requests",
			counts: scheduler.Counts{
				{
					Full: 19,
				},
			},
			want: []float64{1, 1},
		},
		{
			name: "a few find no room",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Served: 95,
					Full:   5,
				},
			},
			want: []float64{1, 1},
		},
		{
			name: "the least urgent find less room",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Served: 50,
					Full:   50,
				},
				{
					Served: 50,
					Full:   50,
				},
			},
			want: []float64{1, 0.83, 0.17},
		},
		{
			name: "the most urgent alone are too many",
			counts: scheduler.Counts{
				{
					Served: 100,
					Full:   300,
				},
				{
					Full: 100,
				},
			},
			want: []float64{0.24, 0.05, 0.05},
		},
		{
			name: "an overload has ended",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Served: 60,
					Turned: 40,
				},
			},
			want: []float64{1, 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			level := scheduler.NewLevel(c.counts)
			for priority, want := range c.want {
				if got := level.Share(priority); got < want-0.02 || got > want+0.02 {
					t.Errorf("priority %d: got share %.3f, want %.2f", priority, got, want)
				}
			}
		})
	}
}

// TestTeamsShareTheLevel guards against a team at several times its usual rate that takes the
// room of the others, and against one that gets nothing.
func TestTeamsShareTheLevel(t *testing.T) {
	demand := scheduler.NewTeamDemand()
	for i := range 30 {
		demand.Add("loud", at(i))
		if i%8 == 0 {
			demand.Add("a", at(i))
			demand.Add("b", at(i))
		}
	}
	if got := demand.Share("a", 0.5); got < 1 {
		t.Errorf("got share %.2f of a team below its fair share, want 1", got)
	}
	if got := demand.Share("loud", 0.5); got < 0.3 || got > 0.4 {
		t.Errorf("got share %.2f of the team above its fair share, want what the others leave, 0.37", got)
	}
	if got := demand.Share("loud", 0.2); got < 0.05 {
		t.Errorf("got share %.2f, want at least a quarter of that of all", got)
	}
}
