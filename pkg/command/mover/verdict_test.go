package mover_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestVerdictsWithhold checks which of several verdicts on one version counts, whatever their
// order. It guards against a version that was rolled back and serves again, and
// against one that was completed and is withheld by an instance that has missed that.
func TestVerdictsWithhold(t *testing.T) {
	id := mover.VersionID{
		Service: "shop",
		Version: "v2",
	}
	verdict := func(state mover.State, era, revision uint64) mover.Verdict {
		return mover.Verdict{
			VersionID: id,
			State:     state,
			At: storer.Position{
				Era:      era,
				Revision: revision,
			},
		}
	}
	cases := []struct {
		name     string
		verdicts []mover.Verdict
		want     bool
	}{
		{
			name: "none",
		},
		{
			name:     "rolled back",
			verdicts: []mover.Verdict{verdict(mover.TakenBack, 0, 10)},
			want:     true,
		},
		{
			name:     "replaced while it was running",
			verdicts: []mover.Verdict{verdict(mover.Running, 0, 10)},
			want:     true,
		},
		{
			name:     "completed",
			verdicts: []mover.Verdict{verdict(mover.Done, 0, 10)},
		},
		{
			name:     "rolled back twice",
			verdicts: []mover.Verdict{verdict(mover.TakenBack, 0, 10), verdict(mover.TakenBack, 0, 20)},
			want:     true,
		},
		{
			name:     "rolled back, then completed by a later order",
			verdicts: []mover.Verdict{verdict(mover.TakenBack, 0, 10), verdict(mover.Done, 0, 20)},
		},
		{
			name:     "completed, then rolled back by a later order",
			verdicts: []mover.Verdict{verdict(mover.Done, 0, 10), verdict(mover.TakenBack, 0, 20)},
			want:     true,
		},
		{
			name:     "rolled back, then replaced",
			verdicts: []mover.Verdict{verdict(mover.TakenBack, 0, 10), verdict(mover.Running, 0, 20)},
			want:     true,
		},
		{
			name:     "completed, and replaced for an instance that has missed the end",
			verdicts: []mover.Verdict{verdict(mover.Done, 0, 10), verdict(mover.Running, 0, 12)},
		},
		{
			name:     "replaced, then completed by a later order",
			verdicts: []mover.Verdict{verdict(mover.Running, 0, 10), verdict(mover.Done, 0, 20)},
		},
		{
			name:     "rolled back after the store returned from a copy",
			verdicts: []mover.Verdict{verdict(mover.Done, 1, 90), verdict(mover.TakenBack, 2, 10)},
			want:     true,
		},
		{
			name:     "both at once",
			verdicts: []mover.Verdict{verdict(mover.Done, 0, 10), verdict(mover.TakenBack, 0, 10)},
			want:     true,
		},
	}
	now := time.Now()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var forward, backward mover.Verdicts
			for i, verdict := range c.verdicts {
				forward = forward.With(verdict, now)
				backward = backward.With(c.verdicts[len(c.verdicts)-1-i], now)
			}
			if forward.Withholds(id) != c.want || backward.Withholds(id) != c.want {
				t.Errorf("got withheld %t, and %t in the other order, want %t", forward.Withholds(id), backward.Withholds(id), c.want)
			}
		})
	}
}

// TestVerdictsLastAsLongAsTheirVersions checks that a verdict is kept while upstreams of its
// version are registered and for a minute after, so that one whose entries are missing for some
// seconds doesn't serve again, and that verdicts don't accumulate.
func TestVerdictsLastAsLongAsTheirVersions(t *testing.T) {
	id := mover.VersionID{
		Service: "shop",
		Version: "v2",
	}
	now := time.Now()
	verdicts := mover.Verdicts{}.With(mover.Verdict{
		VersionID: id,
		State:     mover.TakenBack,
	}, now)
	steps := []struct {
		name       string
		after      time.Duration
		registered bool
		want       bool
	}{
		{
			name:       "registered for an hour",
			after:      time.Hour,
			registered: true,
			want:       true,
		},
		{
			name:  "missing for some seconds",
			after: 10 * time.Second,
			want:  true,
		},
		{
			name:       "registered again",
			after:      10 * time.Second,
			registered: true,
			want:       true,
		},
		{
			name:  "gone",
			after: time.Minute,
		},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		verdicts = verdicts.WithRegistered(map[mover.VersionID]bool{
			id: step.registered,
		}, now)
		if got := verdicts.Withholds(id); got != step.want {
			t.Errorf("%s: got withheld %t, want %t", step.name, got, step.want)
		}
	}
}
