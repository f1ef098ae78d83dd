package balancer_test

import (
	"slices"
	"testing"
	"time"
)

// unevenRegions are regions with 43, 9 and 36 upstreams in each of two failure domains, at 4
// slots each, and with these weights. The fractions at the start are those for equal demand.
func unevenRegions(east, south, west float64) []modelRegion {
	return []modelRegion{
		{
			name:   "east",
			slots:  344,
			weight: east,
		},
		{
			name:    "south",
			slots:   72,
			initial: 0.77,
			weight:  south,
		},
		{
			name:   "west",
			slots:  288,
			weight: west,
		},
	}
}

// TestWavesAreServed guards against a region with few upstreams that refuses requests while
// others have room, against a part that jumps, at the start and at the end of the traffic too,
// and against instances of one region that disagree.
func TestWavesAreServed(t *testing.T) {
	const (
		// maxSpread is what a part may move within a second, and two steps.
		maxSpread = perWindow/2 + 2*perWindow/9
		// maxLead is the distance at which a leader waits for its region.
		maxLead = 0.1
	)
	cases := []struct {
		name string
		// load is the mean load of all slots.
		load            float64
		begin, end      time.Duration
		restartLeaderAt time.Duration
		cutAt           time.Duration
		muteAt          time.Duration
		// weights are those of the regions; all 1 if they are 0.
		weights [3]float64
		// minServed is the least part of the work of each region that must find a slot.
		minServed float64
		// maxSpread is how far the parts of one region may be apart; 0 is not checked.
		maxSpread float64
		// maxAway, unless zero, is the most of the south's work that may run elsewhere.
		maxAway float64
	}{
		{
			name:      "a short day",
			load:      0.45,
			maxSpread: maxSpread,
			begin:     6 * time.Second,
			end:       36 * time.Second,
			minServed: 0.99,
		},
		{
			name:      "many waves",
			load:      0.45,
			maxSpread: maxSpread,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			minServed: 0.98,
		},
		{
			name:      "little room",
			load:      0.75,
			maxSpread: maxSpread,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			minServed: 0.93,
		},
		{
			name:            "the leaders restart",
			load:            0.45,
			begin:           6 * time.Second,
			end:             200 * time.Second,
			restartLeaderAt: 60 * time.Second,
			minServed:       0.98,
		},
		{
			name:      "the region with few upstreams has few requests",
			load:      0.45,
			maxSpread: maxSpread,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			weights:   [3]float64{1.6, 0.3, 1.1},
			minServed: 0.98,
			maxAway:   0.35,
		},
		{
			name:      "one region is cut off",
			load:      0.45,
			maxSpread: maxSpread,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			cutAt:     60 * time.Second,
			minServed: 0.98,
		},
		{
			name:      "the figures of a region stop",
			load:      0.45,
			maxSpread: maxLead + 2*perWindow/9,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			muteAt:    60 * time.Second,
		},
	}
	const seeds = 5
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			weights := c.weights
			if weights == [3]float64{} {
				weights = [3]float64{1, 1, 1}
			}
			for seed := range uint64(seeds) {
				const work = 0.4
				subject := &model{
					regions:         unevenRegions(weights[0], weights[1], weights[2]),
					perSecond:       c.load * (344 + 72 + 288) / 3 / work,
					work:            work,
					begin:           c.begin,
					end:             c.end,
					length:          c.end + 10*time.Second,
					restartLeaderAt: c.restartLeaderAt,
					cutAt:           c.cutAt,
					muteAt:          c.muteAt,
					seed:            seed,
				}
				got := subject.play()
				t.Logf("seed %d: served %.3f, away %.3f, shift %.3f, spread %.3f", seed, got.served, got.away, got.largestShift, got.largestSpread)
				if lowest := slices.Min(got.served); lowest < c.minServed {
					t.Errorf("seed %d: got %.3f of a region's work served, want %.2f", seed, lowest, c.minServed)
				}
				if c.maxAway > 0 && got.away[1] > c.maxAway {
					t.Errorf("seed %d: got %.3f of the south's work elsewhere, want at most %.2f", seed, got.away[1], c.maxAway)
				}
				if got.largestShift > perWindow+1e-9 {
					t.Errorf("seed %d: got a part that moved by %.3f in %v, want at most %v", seed, got.largestShift, window, perWindow)
				}
				if c.maxSpread > 0 && got.largestSpread > c.maxSpread {
					t.Errorf("seed %d: got parts %.3f apart in one region, want at most %.3f", seed, got.largestSpread, c.maxSpread)
				}
			}
		})
	}
}
