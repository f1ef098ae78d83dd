package sketcher_test

import (
	"math/rand/v2"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/sketcher"
)

// TestFrequentObjectsAreNeverMissing guards against a popular object that rare ones displace, or
// that is counted too low: it would keep too few copies.
func TestFrequentObjectsAreNeverMissing(t *testing.T) {
	cases := []struct {
		name     string
		counters int
		rare     int
		frequent int
	}{
		{
			name:     "more counters than objects",
			counters: 1024,
			rare:     50,
			frequent: 3,
		},
		{
			name:     "many more objects than counters",
			counters: 128,
			rare:     20_000,
			frequent: 3,
		},
	}
	for _, c := range cases {
		const requestsEach = 2000
		sketch := sketcher.New(c.counters)
		random := rand.New(rand.NewPCG(1, 2))
		for range requestsEach {
			for object := range c.frequent {
				sketch.Record(uint64(object) + 1)
			}
			sketch.Record(1000 + random.Uint64N(uint64(c.rare)))
		}
		counts := map[uint64]uint64{}
		for _, count := range sketch.Take() {
			counts[count.Object] = count.Requests
		}
		for object := range uint64(c.frequent) {
			if got := counts[object+1]; got < requestsEach {
				t.Errorf("%s: got %d requests for object %d, want at least %d", c.name, got, object+1, requestsEach)
			}
		}
		if rest := sketch.Take(); len(rest) != 0 {
			t.Errorf("%s: got %d counts after the counts were taken, want none", c.name, len(rest))
		}
	}
}

// TestConcurrentRequestsAreCounted guards against requests that are lost when several threads
// count at once.
func TestConcurrentRequestsAreCounted(t *testing.T) {
	const (
		threads      = 8
		requestsEach = 5000
	)
	sketch := sketcher.New(64)
	// Each object gets its counter first: requests that compete for one may stay uncounted.
	const objects = 4
	for object := range uint64(objects) {
		sketch.Record(object + 1)
	}
	var group errgroup.Group
	for range threads {
		group.Go(func() error {
			for i := range requestsEach {
				sketch.Record(uint64(i%objects) + 1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	total := uint64(0)
	for _, count := range sketch.Take() {
		total += count.Requests
	}
	if want := uint64(threads*requestsEach + objects); total != want {
		t.Errorf("got %d requests, want %d", total, want)
	}
}
