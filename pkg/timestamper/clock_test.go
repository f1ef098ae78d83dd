package timestamper_test

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// TestObserve checks that later stamps are higher than an observed one, and that a stamp
// of a broken clock, far ahead, does not advance this one.
func TestObserve(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	cases := []struct {
		name string
		// ahead is how far the observed stamp is ahead of the wall clock.
		ahead time.Duration
		// taken says that Observe takes over the stamp.
		taken bool
	}{
		{
			name:  "behind",
			ahead: -time.Hour,
			taken: true,
		},
		{
			name:  "a little ahead",
			ahead: time.Second,
			taken: true,
		},
		{
			name:  "as far ahead as allowed",
			ahead: timestamper.MaxAheadMillis * time.Millisecond,
			taken: true,
		},
		{
			name:  "too far ahead",
			ahead: time.Hour,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := timestamper.New(func() time.Time { return start })
			before := clock.Next()
			observed := timestamper.FromTime(start.Add(c.ahead))
			if taken := clock.Observe(observed); taken != c.taken {
				t.Fatalf("Observe: got %t, want %t", taken, c.taken)
			}
			next := clock.Next()
			if next <= before || (c.taken && next <= observed) {
				t.Fatalf("got stamp %d, want one above the earlier %d and, if taken over, the observed %d", next, before, observed)
			}
			if !c.taken && next.Time().After(start.Add(time.Second)) {
				t.Fatalf("a stamp that is too far ahead advanced the clock: got the time %s, want at most a second after the start", next.Time())
			}
		})
	}
}

// TestStampsAreUnique checks that no two goroutines get the same stamp, and that each
// gets increasing ones, while the wall clock stands still.
func TestStampsAreUnique(t *testing.T) {
	const goroutines, perGoroutine = 8, 2000
	start := time.UnixMilli(1_800_000_000_000)
	clock := timestamper.New(func() time.Time { return start })
	var seen sync.Map
	var group errgroup.Group
	for range goroutines {
		group.Go(func() error {
			last := timestamper.Timestamp(0)
			for range perGoroutine {
				next := clock.Next()
				if _, repeated := seen.LoadOrStore(next, true); repeated || next <= last {
					t.Errorf("got stamp %d, seen before: %t, want a new one above %d", next, repeated, last)
				}
				last = next
			}
			return nil
		})
	}
	// The goroutines return no error.
	_ = group.Wait()
}
