package steerer

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestColdTimeDoesNotBeginAnewWithAnOlderCopy checks what counts of a known and a listed
// registration of the same upstream.
func TestColdTimeDoesNotBeginAnewWithAnOlderCopy(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		known  declarer.Upstream
		listed declarer.Upstream
		want   declarer.Upstream
	}{
		{
			name: "cold for longer in the copy",
			known: declarer.Upstream{
				ColdUntil: now,
			},
			listed: declarer.Upstream{
				ColdUntil: now.Add(time.Second),
			},
			want: declarer.Upstream{
				ColdUntil: now,
			},
		},
		{
			name: "warm in between",
			listed: declarer.Upstream{
				ColdUntil: now.Add(time.Second),
			},
		},
		{
			name: "leaving, but not in the copy",
			known: declarer.Upstream{
				Leaving: true,
			},
			want: declarer.Upstream{
				Leaving: true,
			},
		},
		{
			name: "leaving now",
			listed: declarer.Upstream{
				Leaving: true,
			},
			want: declarer.Upstream{
				Leaving: true,
			},
		},
	}
	for _, c := range cases {
		known := newRegistration("a", "v1", false)
		listed := known
		known.Upstream = c.known
		listed.Upstream = c.listed
		if got := (registrationRetention{}).Merge(known, listed).Upstream; got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestMoveIsReportedAgainAtTheCopysRevision checks when a move that is done is reported after a
// return, and at which revision.
func TestMoveIsReportedAgainAtTheCopysRevision(t *testing.T) {
	cases := []struct {
		name     string
		entry    retainer.Entry[MoveOrder]
		due      bool
		revision uint64
	}{
		{
			name: "the copy has it without a state",
			entry: retainer.Entry[MoveOrder]{
				Revision: 5,
			},
			due:      true,
			revision: 5,
		},
		{
			name: "the copy has it with an earlier state",
			entry: retainer.Entry[MoveOrder]{
				Revision: 6,
				Value: MoveOrder{
					State: mover.Running,
				},
			},
			due:      true,
			revision: 6,
		},
		{
			name: "the copy has its last state",
			entry: retainer.Entry[MoveOrder]{
				Revision: 7,
				Value: MoveOrder{
					State: mover.Done,
				},
			},
			revision: 7,
		},
		{
			name: "the copy lacks it",
			entry: retainer.Entry[MoveOrder]{
				Revision: 9,
				Kept:     true,
			},
		},
	}
	for _, c := range cases {
		m := trackedMove{
			revision: 9,
			state:    mover.Done,
		}
		m.updateOrder(c.entry, storer.Position{})
		if due := m.reportDue(time.Now()); due != c.due || m.revision != c.revision {
			t.Errorf("%s: got due %t at revision %d, want %t at %d", c.name, due, m.revision, c.due, c.revision)
		}
	}
}
