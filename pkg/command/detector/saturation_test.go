package detector_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/detector"
)

// TestSaturation guards against an instance that callers keep although its processor is used
// up, and against a state that alternates.
func TestSaturation(t *testing.T) {
	const (
		interval = 250 * time.Millisecond
		samples  = 240
	)
	cases := []struct {
		name string
		// late returns the lateness of the sample with that number.
		late func(sample int) time.Duration
		// saturated is the state at the end, and maxChanges how often it may change.
		saturated  bool
		maxChanges int
	}{
		{
			name: "calm",
			late: func(int) time.Duration { return time.Millisecond },
		},
		{
			name:       "used up",
			late:       func(int) time.Duration { return 80 * time.Millisecond },
			saturated:  true,
			maxChanges: 1,
		},
		{
			name: "paused once for 10 s",
			late: func(sample int) time.Duration {
				if sample == 100 {
					return 10 * time.Second
				}
				return time.Millisecond
			},
		},
		{
			name:       "between both thresholds",
			late:       func(int) time.Duration { return 25 * time.Millisecond },
			maxChanges: 0,
		},
		{
			name: "used up every other second",
			late: func(sample int) time.Duration {
				if sample/4%2 == 0 {
					return 100 * time.Millisecond
				}
				return 0
			},
			saturated:  true,
			maxChanges: 1,
		},
		{
			name: "used up for a quarter of the time",
			late: func(sample int) time.Duration {
				if sample < samples/4 {
					return 100 * time.Millisecond
				}
				return 0
			},
			maxChanges: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			state := detector.Saturation{}
			changes := 0
			for sample := range samples {
				now = now.Add(interval)
				next := state.WithSample(c.late(sample), now)
				if next.IsSaturated() != state.IsSaturated() {
					changes++
				}
				state = next
			}
			if state.IsSaturated() != c.saturated || changes > c.maxChanges {
				t.Fatalf("got saturated %v after %d changes, want %v after at most %d", state.IsSaturated(), changes, c.saturated, c.maxChanges)
			}
		})
	}
}
