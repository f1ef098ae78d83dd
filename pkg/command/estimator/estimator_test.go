package estimator_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/estimator"
)

// sample is a number of equal durations that are recorded at one time.
type sample struct {
	after time.Duration
	name  string
	took  time.Duration
	count int
}

// TestEstimateCoversRecentDurations guards against estimates that are shorter than what 99
// of 100 recent operations took, or based on old, foreign or too few ones.
func TestEstimateCoversRecentDurations(t *testing.T) {
	cases := []struct {
		name    string
		samples []sample
		after   time.Duration
		// atLeast and atMost bound the estimate; both are zero if there must be none.
		atLeast time.Duration
		atMost  time.Duration
	}{
		{
			name: "no durations",
		},
		{
			name: "too few durations",
			samples: []sample{
				{
					name:  "view",
					took:  time.Second,
					count: 19,
				},
			},
		},
		{
			name: "durations of another name",
			samples: []sample{
				{
					name:  "pay",
					took:  time.Second,
					count: 100,
				},
			},
		},
		{
			name: "one in fifty is slow",
			samples: []sample{
				{
					name:  "view",
					took:  10 * time.Millisecond,
					count: 98,
				},
				{
					name:  "view",
					took:  3500 * time.Millisecond,
					count: 2,
				},
			},
			atLeast: 3500 * time.Millisecond,
			atMost:  3500 * time.Millisecond * 5 / 4,
		},
		{
			name: "one in two hundred is slow",
			samples: []sample{
				{
					name:  "view",
					took:  9500 * time.Microsecond,
					count: 199,
				},
				{
					name:  "view",
					took:  time.Second,
					count: 1,
				},
			},
			atLeast: 9500 * time.Microsecond,
			atMost:  13 * time.Millisecond,
		},
		{
			name: "durations of the generation before",
			samples: []sample{
				{
					name:  "view",
					took:  time.Second,
					count: 100,
				},
			},
			after:   40 * time.Second,
			atLeast: time.Second,
			atMost:  1250 * time.Millisecond,
		},
		{
			name: "old durations are forgotten",
			samples: []sample{
				{
					name:  "view",
					took:  time.Second,
					count: 100,
				},
				{
					after: 35 * time.Second,
					name:  "view",
					took:  20 * time.Millisecond,
					count: 100,
				},
			},
			after:   66 * time.Second,
			atLeast: 20 * time.Millisecond,
			atMost:  25 * time.Millisecond,
		},
		{
			name: "longer than the last bucket",
			samples: []sample{
				{
					name:  "view",
					took:  time.Hour,
					count: 100,
				},
			},
			atLeast: 131 * time.Second,
			atMost:  132 * time.Second,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			e := estimator.New(start)
			for _, s := range c.samples {
				for range s.count {
					e.Record(s.name, s.took, start.Add(s.after))
				}
			}
			got, found := e.Estimate("view", start.Add(c.after))
			if found != (c.atMost > 0) || got < c.atLeast || got > c.atMost {
				t.Fatalf("got %v (%t), want %v to %v", got, found, c.atLeast, c.atMost)
			}
		})
	}
}

// TestEstimateIsNeverShorterThanTheDuration guards against a duration that is counted in a
// bucket with a lower bound than its own.
func TestEstimateIsNeverShorterThanTheDuration(t *testing.T) {
	start := time.Now()
	for millis := 0; millis < 10_000; millis++ {
		took := time.Duration(millis) * time.Millisecond
		e := estimator.New(start)
		for range 20 {
			e.Record("view", took, start)
		}
		got, _ := e.Estimate("view", start)
		if got < took || got > took*5/4 {
			t.Fatalf("got %v for durations of %v, want that to a quarter more", got, took)
		}
	}
}

// TestConcurrentRecordsAreCounted guards against durations that are lost while names are
// added and generations end.
func TestConcurrentRecordsAreCounted(t *testing.T) {
	start := time.Now()
	e := estimator.New(start)
	names := []string{"a", "b", "c", "d"}
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			for n := range 1000 {
				e.Record(names[(i+n)%len(names)], time.Second, start.Add(time.Duration(n)*50*time.Millisecond))
			}
			return nil
		})
	}
	_ = group.Wait()
	for _, name := range names {
		if got, found := e.Estimate(name, start.Add(50*time.Second)); !found || got < time.Second {
			t.Errorf("%s: got %v (%t), want at least 1s", name, got, found)
		}
	}
}
