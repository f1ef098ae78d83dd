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
		// want are the shares of the first priorities, within 0.01, by the constants of level.go.
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
			name: "some find no room or are late",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Served: 50,
					Late:   30,
					Full:   20,
				},
			},
			want: []float64{1, 1},
		},
		{
			name: "most find no room or are late",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Late: 100,
				},
				{
					Full: 100,
				},
			},
			want: []float64{0.83, 0.08, 0.08},
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
			want: []float64{0.12, 0.025, 0.025},
		},
		{
			name: "nothing is answered",
			counts: scheduler.Counts{
				{
					Full: 60,
				},
			},
			want: []float64{0.05, 0.05},
		},
		{
			name: "an overload is ending",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Served: 20,
					Turned: 80,
				},
			},
			want: []float64{1, 0.8},
		},
		{
			name: "an overload has ended",
			counts: scheduler.Counts{
				{
					Served: 100,
				},
				{
					Served: 90,
					Turned: 10,
				},
			},
			want: []float64{1, 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			level := scheduler.NewLevel(c.counts)
			for priority, want := range c.want {
				if got := level.Share(priority); got < want-0.01 || got > want+0.01 {
					t.Errorf("priority %d: got share %.3f, want %.2f", priority, got, want)
				}
			}
		})
	}
}

// TestTeamsShareTheLevel guards against a team at several times its usual rate that takes the
// room of the others, and against one that gets nothing.
func TestTeamsShareTheLevel(t *testing.T) {
	cases := []struct {
		name string
		// loud is how many requests one team sends for each of two others.
		loud int
		// share is the share of all requests for which there is room.
		share float64
		// wantLoud and wantOthers are the shares of the teams, within 0.05.
		wantLoud   float64
		wantOthers float64
	}{
		{
			name:       "equal teams",
			loud:       1,
			share:      0.5,
			wantLoud:   1,
			wantOthers: 1,
		},
		{
			name:       "one at eight times the others",
			loud:       8,
			share:      0.5,
			wantLoud:   0.375,
			wantOthers: 1,
		},
		{
			name:       "hardly any room",
			loud:       8,
			share:      0.05,
			wantLoud:   0.25,
			wantOthers: 1,
		},
		{
			name:       "room for all",
			loud:       8,
			share:      1,
			wantLoud:   1,
			wantOthers: 1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			demand := scheduler.NewTeamDemand()
			for i := range 20 {
				for range c.loud {
					demand.Add("loud", at(i))
				}
				demand.Add("a", at(i))
				demand.Add("b", at(i))
			}
			if got := demand.Share("loud", c.share); got < c.wantLoud-0.05 || got > c.wantLoud+0.05 {
				t.Errorf("got share %.3f of the loud team, want %.3f", got, c.wantLoud)
			}
			if got := demand.Share("a", c.share); got < c.wantOthers-0.05 {
				t.Errorf("got share %.3f of another team, want %.3f", got, c.wantOthers)
			}
		})
	}
}
