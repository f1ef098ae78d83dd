package leaser_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

var terms = leaser.Terms{
	Lease:  7 * time.Second,
	Quiet:  3 * time.Second,
	Margin: 500 * time.Millisecond,
	Turn:   700 * time.Millisecond,
	Renew:  6 * time.Second,
	Retry:  500 * time.Millisecond,
}

// wants are those of an instance with a report to send.
var wants = leaser.Wants[int]{
	Eligible: true,
	Pending:  true,
	Adopt:    func(recorded int, _ bool) int { return recorded },
}

// otherHolder is the view of a lease that another instance holds.
func otherHolder(era, recordEra, revision uint64, released bool) leaser.View[int] {
	return leaser.View[int]{
		Position: storer.Position{
			Era:      era,
			Revision: revision,
		},
		Record: leaser.Record[int]{
			Name:     "other",
			Machine:  "other-1",
			Token:    9,
			Sequence: 4,
			Era:      recordEra,
			Released: released,
		},
	}
}

// acquire makes the instance take the duty over from the view, which it sees at second 0, and
// returns the state and when the write was answered.
func acquire(t *testing.T, view leaser.View[int], answerEra uint64) (leaser.State[int], time.Duration) {
	t.Helper()
	state := leaser.New[int](terms, leaser.Holder{
		Name:    "own",
		Machine: "own-1",
	}, 0).Read(view, 0)
	now := time.Duration(0)
	action := state.Decide(wants, now)
	if action.Step == leaser.Wait {
		now = action.Until
		if action = state.Decide(wants, now); action.Step != leaser.Read {
			t.Fatalf("after the wait: got step %v, want a read", action.Step)
		}
		state = state.Read(view, now)
		action = state.Decide(wants, now)
	}
	if action.Step != leaser.Write {
		t.Fatalf("got step %v, want a write", action.Step)
	}
	position := storer.Position{
		Era:      answerEra,
		Revision: view.Position.Revision + 1,
	}
	return state.Written(action.Record, position, now, now), now
}

// TestTakeOver checks when a new holder takes over and makes its first and its last call, so that
// it acts together with no earlier holder, and that its token is above all others.
func TestTakeOver(t *testing.T) {
	cases := []struct {
		name      string
		view      leaser.View[int]
		answerEra uint64
		// wantAt is when the duty is taken over, and wantFirst when the first call is made; 0 if
		// none may be.
		wantAt    time.Duration
		wantFirst time.Duration
		wantToken uint64
	}{
		{
			name:      "holder silent",
			view:      otherHolder(0, 0, 5, false),
			wantAt:    7500 * time.Millisecond,
			wantFirst: 10_500 * time.Millisecond,
			wantToken: 10,
		},
		{
			name:      "released",
			view:      otherHolder(0, 0, 5, true),
			wantFirst: 3 * time.Second,
			wantToken: 10,
		},
		{
			name:      "store restored: a holder that it has forgotten may act for its whole lease",
			view:      otherHolder(2, 1, 5, true),
			answerEra: 2,
			wantAt:    7500 * time.Millisecond,
			wantFirst: 15 * time.Second,
			wantToken: 2<<20 + 1,
		},
		{
			name:      "store restored between the read and the write",
			view:      otherHolder(2, 2, 5, true),
			answerEra: 3,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state, at := acquire(t, c.view, c.answerEra)
			if at != c.wantAt || state.Token() != c.wantToken {
				t.Fatalf("got token %d at %v, want %d at %v", state.Token(), at, c.wantToken, c.wantAt)
			}
			if c.wantFirst == 0 {
				return
			}
			// The lease ends before the first call after a restore, and is renewed first.
			if at+terms.Lease < c.wantFirst {
				state = state.Written(state.View().Record, state.View().Position, c.wantFirst, c.wantFirst)
			}
			first := c.wantFirst
			if state.MayCall(first-1) || !state.MayCall(first) {
				t.Fatalf("first call: want it at %v", first)
			}
			last := max(at, state.CallFrom()) + terms.Lease
			if state.MayCall(last) {
				t.Fatalf("got a call at %v, after the lease", last)
			}
			if refused := state.Refused(first); refused.MayCall(first) {
				t.Fatal("got a call after a refused write, want a read first")
			}
		})
	}
}

// TestHolderStepsDownForAHigherToken checks that a holder that was cut off from the store makes no
// call once a peer tells of another holder.
func TestHolderStepsDownForAHigherToken(t *testing.T) {
	state, _ := acquire(t, otherHolder(0, 0, 5, true), 0)
	view := otherHolder(0, 0, 8, false)
	view.Record.Token = 11
	state = state.Relayed(view, 4*time.Second)
	if state.Holds() || state.MayCall(4*time.Second) {
		t.Fatal("got a holder, want none")
	}
}

// TestLateWriteOfAnEarlierEra checks that a holder sends nothing that a late write of its own has
// put into a store that has returned from an older copy: its lease goes on without that record.
func TestLateWriteOfAnEarlierEra(t *testing.T) {
	state, _ := acquire(t, otherHolder(1, 1, 5, true), 1)
	late := state.View()
	late.Position.Era = 2
	late.Record.Sequence++
	late.Record.Value = 7
	now := state.CallFrom()
	state = state.Read(late, now)
	if state.MayCall(now) {
		t.Fatal("got a call before the lease was written in the new era")
	}
	action := state.Decide(wants, now)
	if action.Step != leaser.Write || action.Record.Value == late.Record.Value || action.Record.Era != 2 {
		t.Fatalf("got step %v with the record %+v, want the earlier value in era 2", action.Step, action.Record)
	}
	state = state.Written(action.Record, storer.Position{
		Era:      2,
		Revision: late.Position.Revision + 1,
	}, now, now)
	if !state.MayCall(now) {
		t.Fatal("got no call after the write, want one at once: the lease has no gap")
	}
}

// TestCallsWhileTheStoreIsDown checks that instances that are far back in the order of precedence
// do not all call a store that is down again and again.
func TestCallsWhileTheStoreIsDown(t *testing.T) {
	const outage = time.Minute
	cases := []struct {
		rank int
		want int
	}{
		{
			rank: 0,
			want: int(outage / terms.Retry),
		},
		{
			rank: 10,
			want: int(outage / (terms.Retry + 10*terms.Turn)),
		},
		{
			rank: 100,
			want: 0,
		},
	}
	for _, c := range cases {
		behind := wants
		behind.Rank = c.rank
		state := leaser.New[int](terms, leaser.Holder{}, 0)
		calls := 0
		for now := time.Duration(0); now < outage; now += 50 * time.Millisecond {
			if state.Decide(behind, now).Step != leaser.Wait {
				calls++
				state = state.Failed(false, now)
			}
		}
		if calls > c.want+1 {
			t.Errorf("rank %d: got %d calls in %v, want at most %d", c.rank, calls, outage, c.want+1)
		}
	}
}
