package tracker_test

import (
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/tracker"
)

// TestEachFindsAll adds and removes items in many goroutines while Each runs. Every call
// of Each must find all permanent items, the count must exceed the capacity by no more
// than one for each goroutine, and no item may be refused while slots are free.
func TestEachFindsAll(t *testing.T) {
	const capacity, permanent = 64, 16
	tracked := tracker.New[int](capacity)
	items := make([]int, permanent)
	for i := range items {
		if _, added := tracked.Add(&items[i], uint64(i)); !added {
			t.Fatalf("item %d was not added", i)
		}
	}
	var transient int
	var refused atomic.Int64
	var group errgroup.Group
	for seed := range uint64(8) {
		group.Go(func() error {
			for i := range uint64(2000) {
				ticket, added := tracked.Add(&transient, seed*31+i)
				if !added {
					refused.Add(1)
					continue
				}
				if count := tracked.Count(); count > capacity+8 {
					t.Errorf("got %d items in %d slots", count, capacity)
				}
				tracked.Remove(ticket)
			}
			return nil
		})
	}
	for range 100 {
		found := 0
		tracked.Each(func(item *int) {
			if item != &transient {
				found++
			}
		})
		if found != permanent {
			t.Errorf("got %d permanent items, want %d", found, permanent)
		}
	}
	// The goroutines return no error.
	_ = group.Wait()
	if refused.Load() > 0 || tracked.Count() != permanent {
		t.Fatalf("got %d refused and %d left, want 0 and %d", refused.Load(), tracked.Count(), permanent)
	}
}

// TestFullTrackerRefusesItems checks that a full tracker refuses an item until a slot is
// freed.
func TestFullTrackerRefusesItems(t *testing.T) {
	tracked := tracker.New[int](2)
	item := 0
	first, _ := tracked.Add(&item, 0)
	if _, added := tracked.Add(&item, 0); !added {
		t.Fatal("the second of 2 items was not added")
	}
	if _, added := tracked.Add(&item, 0); added {
		t.Fatal("a third item was added to 2 slots")
	}
	tracked.Remove(first)
	if _, added := tracked.Add(&item, 0); !added {
		t.Fatal("no item was added after a slot was freed")
	}
}
