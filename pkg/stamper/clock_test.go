package stamper_test

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/stamper"
)

func TestObserve(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	cases := []struct {
		name string
		// seen is how far the other clock is ahead.
		seen  time.Duration
		taken bool
	}{
		{
			name:  "behind",
			seen:  -time.Hour,
			taken: true,
		},
		{
			name:  "a little ahead",
			seen:  time.Second,
			taken: true,
		},
		{
			name:  "as far ahead as may be",
			seen:  stamper.MaxAheadMillis * time.Millisecond,
			taken: true,
		},
		{
			name: "broken",
			seen: time.Hour,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := stamper.New(func() time.Time { return start })
			before := clock.Next()
			seen := stamper.At(start.Add(c.seen))
			if taken := clock.Observe(seen); taken != c.taken {
				t.Fatalf("taken: %t, want %t", taken, c.taken)
			}
			next := clock.Next()
			if next <= before || (c.taken && next <= seen) {
				t.Fatalf("stamp %d after %d and %d", next, before, seen)
			}
			if !c.taken && next.Time().After(start.Add(time.Second)) {
				t.Fatalf("a broken clock dragged this one to %s", next.Time())
			}
		})
	}
}

// TestStampsAreUnique draws stamps from many goroutines of a clock that stands
// still.
func TestStampsAreUnique(t *testing.T) {
	const goroutines, each = 8, 2000
	start := time.UnixMilli(1_800_000_000_000)
	clock := stamper.New(func() time.Time { return start })
	var seen sync.Map
	var group errgroup.Group
	for range goroutines {
		group.Go(func() error {
			last := stamper.Stamp(0)
			for range each {
				next := clock.Next()
				if _, twice := seen.LoadOrStore(next, true); twice || next <= last {
					t.Errorf("stamp %d after %d", next, last)
				}
				last = next
			}
			return nil
		})
	}
	// The goroutines return no error.
	_ = group.Wait()
}
