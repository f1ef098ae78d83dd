package admitter

import (
	"math"
	"testing"
	"time"
)

func TestFirstSpill(t *testing.T) {
	cases := []struct {
		name        string
		own, others int
		regions     int
		far         float64
		want        float64
		within      float64
	}{
		{
			name: "no upstreams",
		},
		{
			name:    "one region",
			own:     10,
			regions: 1,
		},
		{
			name:    "as many as elsewhere",
			own:     10,
			others:  20,
			regions: 3,
			far:     1,
		},
		{
			name:    "a tenth of them",
			own:     10,
			others:  90,
			regions: 3,
			far:     1,
			want:    0.7 / 0.9,
			within:  1e-3,
		},
		{
			// Half goes elsewhere for a lower position already.
			name:    "few of few, near enough",
			own:     2,
			others:  14,
			regions: 3,
			far:     0.2,
			want:    0.25,
			within:  0.05,
		},
		{
			name:    "more than elsewhere",
			own:     8,
			others:  8,
			regions: 3,
			far:     0.2,
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
		if got := firstSpill(own, others, c.regions, c.far); math.Abs(got-c.want) > c.within {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// regional is one region of a fluid model: requests come and hold slots.
type regional struct {
	slots float64
	// demand is how many slots the region's requests need.
	demand func(at time.Duration) float64
	spill  float64
}

// loads returns each region's load: what stays at home, and its part of what roams.
func loads(regions []regional, at time.Duration) []float64 {
	all, roaming := 0.0, 0.0
	for _, one := range regions {
		all += one.slots
		roaming += one.demand(at) * one.spill
	}
	result := make([]float64, len(regions))
	for i, one := range regions {
		result[i] = (one.demand(at)*(1-one.spill))/one.slots + roaming/all
	}
	return result
}

// others returns the load of all regions but one.
func others(regions []regional, loads []float64, except int) float64 {
	slots, used := 0.0, 0.0
	for i, one := range regions {
		if i != except {
			slots += one.slots
			used += one.slots * loads[i]
		}
	}
	return used / slots
}

// Where a region's upstreams are crowded and others have room, its requests spread out,
// and never so fast that more than the users' 0.15 of them change their region within
// two seconds.
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
		regions []regional
		// most bounds the first region's load in the end.
		most float64
	}{
		{
			name: "few slots where as many requests come",
			regions: []regional{
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
			most: 1.1,
		},
		{
			name: "a wave",
			regions: []regional{
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
			most: 1.6,
		},
		{
			name: "crowded everywhere",
			regions: []regional{
				{
					slots:  60,
					demand: steady(120),
				},
				{
					slots:  60,
					demand: steady(120),
				},
			},
			most: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			regions := c.regions
			var history [][]float64
			for at := time.Duration(0); at < length; at += SpillEvery {
				seen := loads(regions, at)
				now := make([]float64, len(regions))
				for i := range regions {
					regions[i].spill = nextSpill(regions[i].spill, seen[i], others(regions, seen, i))
					now[i] = regions[i].spill
				}
				history = append(history, now)
				earlier := history[max(len(history)-1-int(window/SpillEvery), 0)]
				for i := range regions {
					if moved := math.Abs(now[i] - earlier[i]); moved > maxShift {
						t.Fatalf("at %v, region %d: %v of its requests moved within %v", at, i, moved, window)
					}
				}
			}
			if got := loads(regions, length)[0]; got > c.most {
				t.Errorf("load %v in the end, want at most %v", got, c.most)
			}
		})
	}
}
