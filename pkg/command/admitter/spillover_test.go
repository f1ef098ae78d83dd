package admitter

import (
	"math"
	"testing"
	"time"
)

func TestInitialSpilloverBalancesLoads(t *testing.T) {
	cases := []struct {
		name         string
		own, others  int
		regionCount  int
		distanceCost float64
		want         float64
		tolerance    float64
	}{
		{
			name: "no upstreams",
		},
		{
			name:        "one region",
			own:         10,
			regionCount: 1,
		},
		{
			name:         "as many as in each other region",
			own:          10,
			others:       20,
			regionCount:  3,
			distanceCost: 1,
		},
		{
			name:         "a tenth of all upstreams",
			own:          10,
			others:       90,
			regionCount:  3,
			distanceCost: 1,
			want:         0.7 / 0.9,
			tolerance:    1e-3,
		},
		{
			// Half of the objects go to another region without spillover, because their
			// position there is lower.
			name:         "few upstreams and a low distance cost",
			own:          2,
			others:       14,
			regionCount:  3,
			distanceCost: 0.2,
			want:         0.25,
			tolerance:    0.05,
		},
		{
			name:         "more than in each other region",
			own:          8,
			others:       8,
			regionCount:  3,
			distanceCost: 0.2,
		},
	}
	for _, c := range cases {
		own := capacity{
			upstreams: c.own,
			slots:     4 * c.own,
		}
		others := capacity{
			upstreams: c.others,
			slots:     4 * c.others,
		}
		if got := initialSpilloverFraction(own, others, c.regionCount, c.distanceCost); math.Abs(got-c.want) > c.tolerance {
			t.Errorf("%s: got spillover fraction %v, want %v", c.name, got, c.want)
		}
	}
}

// modelRegion is one region of a fluid model, in which the demand for slots is
// continuous.
type modelRegion struct {
	// slots is the number of slots of the region's upstreams.
	slots float64
	// demand returns how many slots the region's requests need at a time.
	demand func(at time.Duration) float64
	// spillover is the fraction of the region's requests that may go to any region.
	spillover float64
}

// modelLoads returns the load of each region relative to its slots. It consists of the
// requests that stay in their region and of the region's part of those that may go to
// any region.
func modelLoads(regions []modelRegion, at time.Duration) []float64 {
	totalSlots, roaming := 0.0, 0.0
	for _, region := range regions {
		totalSlots += region.slots
		roaming += region.demand(at) * region.spillover
	}
	result := make([]float64, len(regions))
	for i, region := range regions {
		result[i] = (region.demand(at)*(1-region.spillover))/region.slots + roaming/totalSlots
	}
	return result
}

// loadOfOthers returns the load of all regions except one.
func loadOfOthers(regions []modelRegion, loads []float64, except int) float64 {
	slots, used := 0.0, 0.0
	for i, region := range regions {
		if i != except {
			slots += region.slots
			used += region.slots * loads[i]
		}
	}
	return used / slots
}

// If a region's upstreams are overloaded and others have free slots, the spillover sends
// part of the region's requests to them. It must not do so too fast: the users require
// that at most 15% of a region's requests change their region within two seconds.
func TestSpillEvensLoadsOutSlowly(t *testing.T) {
	const (
		length   = 120 * time.Second
		window   = 2 * time.Second
		maxShift = 0.15
	)
	steady := func(slots float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return slots }
	}
	cases := []struct {
		name    string
		regions []modelRegion
		// maxLoad is the highest load of the first region that is allowed at the end.
		maxLoad float64
	}{
		{
			name: "one region with few slots and the same demand",
			regions: []modelRegion{
				{
					slots:  16,
					demand: steady(40),
				},
				{
					slots:  70,
					demand: steady(40),
				},
				{
					slots:  82,
					demand: steady(40),
				},
			},
			maxLoad: 1.1,
		},
		{
			name: "periodic demand",
			regions: []modelRegion{
				{
					slots: 60,
					demand: func(at time.Duration) float64 {
						return 60 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/36))
					},
				},
				{
					slots:  60,
					demand: steady(40),
				},
			},
			maxLoad: 1.6,
		},
		{
			name: "all regions overloaded",
			regions: []modelRegion{
				{
					slots:  60,
					demand: steady(120),
				},
				{
					slots:  60,
					demand: steady(120),
				},
			},
			maxLoad: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			regions := c.regions
			var history [][]float64
			for at := time.Duration(0); at < length; at += SpilloverInterval {
				current := modelLoads(regions, at)
				next := make([]float64, len(regions))
				for i := range regions {
					regions[i].spillover = nextSpilloverFraction(regions[i].spillover, current[i], loadOfOthers(regions, current, i))
					next[i] = regions[i].spillover
				}
				history = append(history, next)
				earlier := history[max(len(history)-1-int(window/SpilloverInterval), 0)]
				for i := range regions {
					if moved := math.Abs(next[i] - earlier[i]); moved > maxShift {
						t.Fatalf("at %v, region %d: got %v of its requests moved within %v, want at most %v", at, i, moved, window, maxShift)
					}
				}
			}
			if got := modelLoads(regions, length)[0]; got > c.maxLoad {
				t.Errorf("got load %v of the first region at the end, want at most %v", got, c.maxLoad)
			}
		})
	}
}
