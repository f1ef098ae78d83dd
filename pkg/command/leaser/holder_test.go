package leaser_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// completeValue is what the instance adopts if no later value can have been recorded.
const completeValue = 1

// careful are the wants of an instance that adopts completeValue, or 0 if a later value may have
// been recorded.
var careful = leaser.Wants[int]{
	Eligible: true,
	Pending:  true,
	Adopt: func(_ int, complete bool) int {
		if complete {
			return completeValue
		}
		return 0
	},
}

// renewed returns the record and the position of the holder's next write, in an era of the store.
func renewed(state leaser.State[int], era uint64) (leaser.Record[int], storer.Position) {
	record := state.View().Record
	record.Sequence++
	return record, storer.Position{
		Era:      era,
		Revision: state.View().Position.Revision + 1,
	}
}

// TestHolderAfterAnEvent checks what a holder still does after an event that may have let another
// instance take over. It has acquired the lease at second 0 in era 1, so that its calls begin at
// second 3 and end at second 7.
func TestHolderAfterAnEvent(t *testing.T) {
	const second = time.Second
	restored := otherHolder(2, 1, 5, true)
	cases := []struct {
		// name says which fault of the holder would be seen.
		name  string
		event func(state leaser.State[int]) leaser.State[int]
		// at is when the holder is asked, and wantCall whether it may make a call then.
		at       time.Duration
		wantCall bool
		wantStep leaser.Step
		// wantValue is what a write records.
		wantValue int
	}{
		{
			name: "the answer is late: the lease would outlast that of the object",
			event: func(state leaser.State[int]) leaser.State[int] {
				record, position := renewed(state, 1)
				return state.Written(record, position, 4*second, 6*second)
			},
			at:       11 * second,
			wantStep: leaser.Write,
		},
		{
			name: "the renewal is answered in another era: the lost lease would be prolonged",
			event: func(state leaser.State[int]) leaser.State[int] {
				record, position := renewed(state, 2)
				return state.Written(record, position, 4*second, 4*second)
			},
			at:       7 * second,
			wantStep: leaser.Read,
		},
		{
			name: "a peer has told of a later holder before the answer: both would hold",
			event: func(state leaser.State[int]) leaser.State[int] {
				record, position := renewed(state, 1)
				later := otherHolder(1, 1, 5, false)
				later.Record.Token = record.Token + 1
				return state.Relayed(later, 4*second).Written(record, position, 4*second, 4*second)
			},
			at:       4 * second,
			wantStep: leaser.Read,
		},
		{
			name:     "a write is refused: a call would come beside those of a successor",
			event:    func(state leaser.State[int]) leaser.State[int] { return state.Refused(4 * second) },
			at:       4 * second,
			wantStep: leaser.Read,
		},
		{
			name: "a write is refused and the object is still its own: reports would be late",
			event: func(state leaser.State[int]) leaser.State[int] {
				return state.Refused(4*second).Read(state.View(), 4*second)
			},
			at:       4 * second,
			wantCall: true,
			wantStep: leaser.Call,
		},
		{
			name: "the object is removed: the renewal would create it without the lease",
			event: func(state leaser.State[int]) leaser.State[int] {
				return state.Read(leaser.View[int]{
					Position: storer.Position{
						Era: 1,
					},
				}, 4*second)
			},
			at:       6 * second,
			wantStep: leaser.Wait,
		},
		{
			name:      "the store is restored during the lease: its own ledger is complete",
			event:     func(state leaser.State[int]) leaser.State[int] { return state.Read(restored, 4*second) },
			at:        4 * second,
			wantStep:  leaser.Write,
			wantValue: completeValue,
		},
		{
			name:     "the store is restored after the lease: a forgotten successor may still act",
			event:    func(state leaser.State[int]) leaser.State[int] { return state.Read(restored, 8*second) },
			at:       8 * second,
			wantStep: leaser.Wait,
		},
		{
			name: "the store is restored after the lease: a forgotten successor may have recorded windows",
			event: func(state leaser.State[int]) leaser.State[int] {
				return state.Read(restored, 8*second).Read(restored, 16*second)
			},
			at:       16 * second,
			wantStep: leaser.Write,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state, _ := acquire(t, otherHolder(1, 1, 5, true), 1)
			state = c.event(state)
			if got := state.MayCall(c.at); got != c.wantCall {
				t.Errorf("may call at %v: got %t, want %t", c.at, got, c.wantCall)
			}
			action := state.Decide(careful, c.at)
			if action.Step != c.wantStep || action.Record.Value != c.wantValue {
				t.Errorf("got step %v with value %d, want %v with %d", action.Step, action.Record.Value, c.wantStep, c.wantValue)
			}
		})
	}
}

// TestSecondRestoreKeepsTheQuietTime checks that a holder that takes its lease again after the store
// has returned from an older copy does not make its first call earlier: the holder before it, which
// the store has forgotten, may act until then.
func TestSecondRestoreKeepsTheQuietTime(t *testing.T) {
	state, at := acquire(t, otherHolder(2, 1, 5, true), 2)
	want := state.CallFrom()
	now := at + time.Second
	state = state.Read(otherHolder(3, 1, 5, true), now)
	action := state.Decide(careful, now)
	if action.Step != leaser.Write {
		t.Fatalf("got step %v, want a write", action.Step)
	}
	state = state.Written(action.Record, storer.Position{
		Era:      3,
		Revision: 6,
	}, now, now)
	if got := state.CallFrom(); !state.Holds() || got != want {
		t.Fatalf("got the first call at %v, want it at %v", got, want)
	}
}
