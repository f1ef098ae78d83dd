package apportioner_test

import (
	"testing"
	"time"
)

// TestRestartInACutKeepsWhatIsReserved guards against a reservation that ends with the instances which know it: those that had started during a cut shared out what the instances on the other side still used.
func TestRestartInACutKeepsWhatIsReserved(t *testing.T) {
	// overshoot is how much more than its limit a team may use in all.
	const overshoot = 0.1
	cases := []struct {
		name string
		// restarted are the instances that start anew, one after the other with interval between them.
		restarted []int
		interval  time.Duration
	}{
		{
			name:      "one",
			restarted: []int{0},
		},
		{
			name:      "all at once",
			restarted: []int{0, 1, 2, 3},
		},
		{
			name:      "all, one after the other",
			restarted: []int{0, 1, 2, 3},
			interval:  time.Second,
		},
		{
			name:      "one, again and again",
			restarted: []int{0, 0, 0, 0},
			interval:  time.Second,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(6)
			partition := newCut(s, map[int]bool{
				4: true,
				5: true,
			}, false)
			demand := []float64{20, 20, 20, 20, 20, 20}
			advance := func(time time.Duration) {
				for range int(time / step) {
					if sum := s.advance(demand); sum > 1+overshoot {
						t.Fatalf("got fractions that add up to %v, want at most %v", sum, 1+overshoot)
					}
				}
			}
			advance(12 * time.Second)
			partition.begin()
			advance(lapseDelay)
			partition.lapse()
			advance(removalDelay - lapseDelay)
			partition.setRemoved(true)
			advance(12 * time.Second)
			for _, i := range c.restarted {
				partition.restart(i)
				advance(c.interval)
			}
			advance(20 * time.Second)
		})
	}
}
