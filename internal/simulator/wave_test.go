package simulator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/simulator"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	wavePeriod = 36 * time.Second
	waveSwing  = 0.55
	trafficEnd = 30 * time.Second
	quietEnd   = 36 * time.Second
)

// waveDemand returns the part of the peak demand that the callers of a failure domain send: a
// wave that is offset by a third of its period between regions, until the traffic ends.
func waveDemand(place string, at time.Duration) float64 {
	if at >= trafficEnd {
		return 0
	}
	offsets := map[string]float64{
		"east":  0,
		"west":  1.0 / 3,
		"south": 2.0 / 3,
	}
	phase := at.Seconds()/wavePeriod.Seconds() + offsets[regionOf(place)]
	return (1 + waveSwing*math.Sin(2*math.Pi*phase)) / (1 + waveSwing)
}

func regionOf(place string) string {
	for _, known := range places {
		if known.name == place {
			return known.region
		}
	}
	return ""
}

// waveScenario returns a scenario with 48, 10 and 40 upstreams in each of two failure domains, a
// load of 0.45 if the upstreams know all objects, and waves of demand.
func waveScenario(seed uint64, shiftPerWindow float64) simulator.Scenario {
	scenario := baseScenario(seed)
	upstreams := map[string]int{
		"east":  48,
		"west":  10,
		"south": 40,
	}
	version := declarer.Version{
		Name:    service + "-v1",
		Service: service,
	}
	for i, place := range places {
		for j := range upstreams[place.region] {
			version.Upstreams = append(version.Upstreams, declarer.Upstream{
				Name:    fmt.Sprintf("u-%s-%d", place.name, j),
				Place:   place.name,
				Address: fmt.Sprintf("10.0.%d.%d:80", i, j),
				Slots:   4,
			})
		}
	}
	scenario.Set = scenario.Set.WithVersion(version)
	scenario.Affinity.Balanced = shiftPerWindow > 0
	scenario.ShiftPerWindow = shiftPerWindow
	scenario.Length = quietEnd
	for i := range scenario.Requests {
		scenario.Requests[i].PerSecond *= 1810 * (1 + waveSwing) / 120
		scenario.Requests[i].Objects = 220
		scenario.Requests[i].Work = 650 * time.Millisecond
		scenario.Requests[i].Demand = waveDemand
	}
	return scenario
}

// regionOutcome is what became of the requests of one region's callers.
type regionOutcome struct {
	// inTime is the part that was answered within the objective, and atHome the part of the
	// answered requests that ran in the region.
	inTime, atHome float64
	// largestShift is the largest part of the answered requests whose region differs from one
	// window to the next.
	largestShift float64
}

// outcomeOf returns the outcome of a region.
func outcomeOf(results []simulator.Result, region string) regionOutcome {
	const window = 2 * time.Second
	var own []simulator.Result
	ranIn := make([]map[string]float64, quietEnd/window)
	answered, atHome := 0.0, 0.0
	for _, result := range results {
		if regionOf(result.Place) != region {
			continue
		}
		own = append(own, result)
		if !result.Answered {
			continue
		}
		counts := &ranIn[result.Sent/window]
		if *counts == nil {
			*counts = map[string]float64{}
		}
		(*counts)[regionOf(result.RanIn)]++
		answered++
		if regionOf(result.RanIn) == region {
			atHome++
		}
	}
	outcome := regionOutcome{
		inTime: shareInTime(own, 0, quietEnd),
		atHome: atHome / answered,
	}
	for i := 1; i < len(ranIn); i++ {
		outcome.largestShift = max(outcome.largestShift, shift(ranIn[i-1], ranIn[i]))
	}
	return outcome
}

// shift returns the part of the requests that ran in another region than before; 0 if there
// were none before or after.
func shift(before, after map[string]float64) float64 {
	sumBefore, sumAfter := 0.0, 0.0
	for _, region := range []string{"east", "west", "south"} {
		sumBefore += before[region]
		sumAfter += after[region]
	}
	if sumBefore == 0 || sumAfter == 0 {
		return 0
	}
	moved := 0.0
	for _, region := range []string{"east", "west", "south"} {
		moved += math.Abs(after[region]/sumAfter-before[region]/sumBefore) / 2
	}
	return moved
}

// TestBalancedRegionsShareWaves guards against a region with few upstreams whose callers are
// served worse than others while these have room, against a loss elsewhere, and against
// requests that change their region faster than the users allow.
func TestBalancedRegionsShareWaves(t *testing.T) {
	const (
		maxShift = 0.15
		// maxLoss is how much less a change may serve anywhere.
		maxLoss = 0.03
		seeds   = 3
	)
	for seed := range uint64(seeds) {
		before := simulator.Run(waveScenario(seed, 0)).Results
		after := simulator.Run(waveScenario(seed, 0.075)).Results
		for _, region := range []string{"east", "west", "south"} {
			was, is := outcomeOf(before, region), outcomeOf(after, region)
			t.Logf("seed %d, %s: in time %.3f (%.3f without balance), at home %.3f (%.3f), largest shift %.3f (%.3f)",
				seed, region, is.inTime, was.inTime, is.atHome, was.atHome, is.largestShift, was.largestShift)
			if is.inTime < was.inTime-maxLoss {
				t.Errorf("seed %d, %s: got %.3f in time, want at least %.3f less %v", seed, region, is.inTime, was.inTime, maxLoss)
			}
			if region == "west" && is.inTime <= was.inTime {
				t.Errorf("seed %d: got %.3f of the west's requests in time, want more than the %.3f without balance", seed, is.inTime, was.inTime)
			}
			if is.largestShift > maxShift {
				t.Errorf("seed %d, %s: got %.3f that changed their region within two seconds, want at most %v", seed, region, is.largestShift, maxShift)
			}
		}
	}
}
