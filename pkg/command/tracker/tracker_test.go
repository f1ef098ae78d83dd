package tracker_test

import (
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/tracker"
)

// TestEachFindsAll adds and removes items from many goroutines, while others look.
// Items that stay are found by every look, and the capacity holds.
func TestEachFindsAll(t *testing.T) {
	const capacity, staying = 64, 16
	kept := tracker.New[int](capacity)
	items := make([]int, staying)
	for i := range items {
		if _, added := kept.Add(&items[i], uint64(i)); !added {
			t.Fatal("not added")
		}
	}
	var passing int
	var refused atomic.Int64
	var group errgroup.Group
	for seed := range uint64(8) {
		group.Go(func() error {
			for i := range uint64(2000) {
				ticket, added := kept.Add(&passing, seed*31+i)
				if !added {
					refused.Add(1)
					continue
				}
				if count := kept.Count(); count > capacity+8 {
					t.Errorf("%d items in %d slots", count, capacity)
				}
				kept.Remove(ticket)
			}
			return nil
		})
	}
	for range 100 {
		found := 0
		kept.Each(func(item *int) {
			if item != &passing {
				found++
			}
		})
		if found != staying {
			t.Errorf("found %d of %d", found, staying)
		}
	}
	// The goroutines return no error.
	_ = group.Wait()
	if refused.Load() > 0 || kept.Count() != staying {
		t.Fatalf("%d refused, %d left", refused.Load(), kept.Count())
	}
}

func TestFull(t *testing.T) {
	kept := tracker.New[int](2)
	item := 0
	first, _ := kept.Add(&item, 0)
	if _, added := kept.Add(&item, 0); !added {
		t.Fatal("the second was not added")
	}
	if _, added := kept.Add(&item, 0); added {
		t.Fatal("a third was added")
	}
	kept.Remove(first)
	if _, added := kept.Add(&item, 0); !added {
		t.Fatal("a freed slot was not used")
	}
}
