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

// TestLastingVerdicts checks which verdicts have to outlive the instances. It guards against a verdict that is not stored, and against instances that store again what another one has dropped.
func TestLastingVerdicts(t *testing.T) {
	now := time.Now()
	rolledBack := mover.Verdict{
		VersionID: mover.VersionID{
			Service: "shop",
			Version: "v2",
		},
		State: mover.TakenBack,
	}
	onTrial := rolledBack
	onTrial.State = mover.Running
	cases := []struct {
		name       string
		known      []mover.Verdict
		registered bool
		stored     []mover.Verdict
		want       []mover.Verdict
	}{
		{
			name:       "registered",
			known:      []mover.Verdict{rolledBack},
			registered: true,
			want:       []mover.Verdict{rolledBack},
		},
		{
			name:   "missing for a while, and stored",
			known:  []mover.Verdict{rolledBack},
			stored: []mover.Verdict{onTrial},
			want:   []mover.Verdict{rolledBack},
		},
		{
			name:  "missing for a while, and dropped by another instance",
			known: []mover.Verdict{rolledBack},
		},
		{
			name:   "gone, and still stored",
			stored: []mover.Verdict{rolledBack},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var verdicts mover.Verdicts
			for _, verdict := range c.known {
				verdicts = verdicts.With(verdict, now)
			}
			registered := map[mover.VersionID]bool{
				rolledBack.VersionID: c.registered,
			}
			if got := verdicts.Lasting("shop", registered, c.stored); !mover.SameStates(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if got := verdicts.Lasting("other", registered, nil); len(got) != 0 {
				t.Errorf("got %v for another service, want none", got)
			}
		})
	}
}

// TestVerdictEndsItsOrder checks on which order a verdict is. It guards against a version that is tried again by instances which have all started since it was rolled back, and against a later order that is taken for the earlier one.
func TestVerdictEndsItsOrder(t *testing.T) {
	cases := []struct {
		name     string
		state    mover.State
		revision uint64
		era      uint64
		want     bool
	}{
		{
			name:     "the order that was judged",
			state:    mover.TakenBack,
			revision: 20,
			era:      1,
			want:     true,
		},
		{
			name:     "a later order",
			state:    mover.TakenBack,
			revision: 21,
			era:      1,
		},
		{
			name:     "after the store returned from a copy",
			state:    mover.Done,
			revision: 20,
			era:      2,
		},
		{
			name:     "on trial",
			state:    mover.Running,
			revision: 20,
			era:      1,
		},
	}
	for _, c := range cases {
		verdict := mover.Verdict{
			State: c.state,
			At: storer.Position{
				Era:      1,
				Revision: 20,
			},
		}
		position := storer.Position{
			Era:      c.era,
			Revision: 30,
		}
		if got := verdict.EndsOrder(c.revision, position); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}
