package simulator_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/simulator"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// During trouble, which begins and ends at these times, some upstreams are missing.
const (
	troubleBegin = 10 * time.Second
	troubleEnd   = 18 * time.Second
)

// evacuate evacuates a failure domain with a quarter of the upstreams.
func evacuate(scenario simulator.Scenario) []simulator.Change {
	place, _ := scenario.Set.Places.Get("lincoln")
	return []simulator.Change{
		{
			At:  troubleBegin,
			Set: func(set declarer.Set) declarer.Set { return set.WithPlace(place.WithEvacuated(true)) },
		},
		{
			At:  troubleEnd,
			Set: func(set declarer.Set) declarer.Set { return set.WithPlace(place) },
		},
	}
}

// changeSome returns the changes that give two of the upstreams another behavior during
// the trouble.
func changeSome(change func(simulator.Behavior) simulator.Behavior) func(simulator.Scenario) []simulator.Change {
	return func(scenario simulator.Scenario) []simulator.Change {
		return []simulator.Change{
			{
				At: troubleBegin,
				Upstream: func(name string, behavior simulator.Behavior) simulator.Behavior {
					if name == "u-derby-0" || name == "u-corby-0" {
						return change(behavior)
					}
					return behavior
				},
			},
			{
				At: troubleEnd,
				Upstream: func(string, simulator.Behavior) simulator.Behavior {
					return scenario.Upstreams
				},
			},
		}
	}
}

// TestOverloadEndsWithItsCause plays trouble under a load that the upstreams can bear once
// they know the objects. The overload must not keep itself up: from recoveryTime after the
// trouble on, callers must be served as without it.
func TestOverloadEndsWithItsCause(t *testing.T) {
	const (
		recoveryTime = 15 * time.Second
		minInTime    = 0.9
		seeds        = 20
	)
	cases := []struct {
		name string
		// load multiplies the rates of the requests.
		load    float64
		changes func(simulator.Scenario) []simulator.Change
	}{
		{
			name:    "the upstreams know no object at the start",
			load:    1.25,
			changes: func(simulator.Scenario) []simulator.Change { return nil },
		},
		{
			name:    "the upstreams know no object at the start of a high load",
			load:    1.5,
			changes: func(simulator.Scenario) []simulator.Change { return nil },
		},
		{
			name:    "a failure domain is evacuated under a high load",
			load:    1.25,
			changes: evacuate,
		},
		{
			name:    "a failure domain is evacuated",
			load:    1,
			changes: evacuate,
		},
		{
			name: "upstreams are silent",
			load: 1,
			changes: changeSome(func(behavior simulator.Behavior) simulator.Behavior {
				behavior.Silent = true
				return behavior
			}),
		},
		{
			name: "upstreams are slow",
			load: 1,
			changes: changeSome(func(behavior simulator.Behavior) simulator.Behavior {
				behavior.SlowFactor = 6
				return behavior
			}),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				scenario := baseScenario(seed)
				for i := range scenario.Requests {
					scenario.Requests[i].PerSecond *= c.load
				}
				scenario.Changes = c.changes(scenario)
				results := simulator.Run(scenario).Results
				if got := shareInTime(results, troubleEnd+recoveryTime, scenario.Length); got < minInTime {
					t.Errorf("seed %d: got %.2f of the requests answered in time after the trouble, want %v", seed, got, minInTime)
				}
			}
		})
	}
}
