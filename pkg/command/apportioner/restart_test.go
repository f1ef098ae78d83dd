package apportioner_test

import (
	"testing"
)

// TestCountsThatRestartKeepTheDemand checks the demand and the fractions when the counts of
// requests begin again at 0, as those of a limit do that is lifted and restored. It guards
// against a demand computed from a difference below zero: each instance then claimed nearly the
// whole limit (review case 6).
func TestCountsThatRestartKeepTheDemand(t *testing.T) {
	cases := []struct {
		name string
		// restarts are the steps in which the counts of all instances restart.
		restarts []int
	}{
		{
			name:     "once",
			restarts: []int{40},
		},
		{
			name:     "one step after the other",
			restarts: []int{40, 41, 42, 43, 44},
		},
		{
			name:     "again and again",
			restarts: []int{20, 28, 36, 44, 52},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const perInstance = 15.0
			s := newSimulation(3)
			restarts := c.restarts
			for i := range 80 {
				if len(restarts) > 0 && restarts[0] == i {
					restarts = restarts[1:]
					clear(s.totals)
				}
				sum := s.advance([]float64{perInstance, perInstance, perInstance})
				if i < 20 {
					continue
				}
				if sum < 0.9 || sum > 1+1e-9 {
					t.Fatalf("step %d: got fractions that add up to %.3f, want 0.9 to 1", i, sum)
				}
				for _, latest := range s.broadcasts {
					if got := latest.report.Demands[0].PerSecond; got > 1.2*perInstance || got < 0.5*perInstance {
						t.Fatalf("step %d: got a report of %.3g requests a second at a steady %.0f", i, got, perInstance)
					}
				}
			}
			for i, instance := range s.instances {
				if got := instance.Fraction(resource, s.now); got < 0.3 {
					t.Errorf("instance %d: got fraction %.3f, want an even one", i, got)
				}
			}
		})
	}
}
