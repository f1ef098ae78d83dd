package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestRoomIsExpected guards against an expectation of room that is pessimistic when the figures
// are old, and against one that a request cannot rely on.
func TestRoomIsExpected(t *testing.T) {
	const answer = 800 * time.Millisecond
	cases := []struct {
		name string
		// taken is how many of the 2 slots this instance uses.
		taken int
		// told is the load that the upstream has told, unless it is empty, and age how long ago.
		told registrar.Load
		age  time.Duration
		// earliest and latest bound the time until which a slot is expected.
		earliest time.Duration
		latest   time.Duration
		// byRelease says that only a release at this instance brings a slot.
		byRelease bool
	}{
		{
			name: "nothing is known",
		},
		{
			name:  "a slot is left",
			taken: 1,
		},
		{
			name:      "all slots are used here",
			taken:     2,
			earliest:  answer / 2,
			latest:    answer / 2,
			byRelease: true,
		},
		{
			name: "the upstream has twice the load at which it gets no more",
			told: registrar.Load{
				Running: 2,
				Waiting: 14,
			},
			earliest: 900 * time.Millisecond,
			latest:   1100 * time.Millisecond,
		},
		{
			name: "the same a second and a half ago",
			told: registrar.Load{
				Running: 2,
				Waiting: 14,
			},
			age: 1500 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			_, admit := newAdmitter(declaredSet(), now)
			admission, refusal := admit.Admit(admitter.Request{
				Host:   "shopfront",
				Path:   "/patterns/1",
				Method: "GET",
				Now:    now,
			})
			if refusal != nil {
				t.Fatal(refusal)
			}
			only, refusal := admission.Acquire(now, 1, nil)
			if refusal != nil {
				t.Fatal(refusal)
			}
			only.Release()
			var upstreams []*admitter.Upstream
			for range c.taken {
				upstream, refusal := admission.Acquire(now, 1, nil)
				if refusal != nil {
					t.Fatal(refusal)
				}
				upstreams = append(upstreams, upstream)
			}
			if c.told.Total() > 0 {
				only.RecordLoad(registrar.Report{}.WithLoad(c.told), now.Add(-c.age))
			}
			room := admission.Room(now, 1, answer).Expected(now)
			if wait := room.At.Sub(now); wait < c.earliest || wait > c.latest {
				t.Errorf("got a slot expected in %v, want %v to %v", wait, c.earliest, c.latest)
			}
			if got := room.LookAt.IsZero(); got != c.byRelease {
				t.Errorf("got look at %v, want that only a release brings a slot: %t", room.LookAt, c.byRelease)
			}
			for _, upstream := range upstreams {
				upstream.Release()
			}
			if !room.At.IsZero() && c.byRelease && admission.Room(now, 1, answer).ReadyAt(now).After(now) {
				t.Error("got no slot after the release, want one")
			}
		})
	}
}
