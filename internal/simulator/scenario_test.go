package simulator_test

import (
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/internal/simulator"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	host    = "sewing.example"
	service = "sewingroom"
)

// places are failure domains with their regions and their upstreams.
var places = []struct {
	name      string
	region    string
	upstreams int
}{
	{
		name:      "derby",
		region:    "east",
		upstreams: 5,
	},
	{
		name:      "lincoln",
		region:    "east",
		upstreams: 5,
	},
	{
		name:      "wolverhampton",
		region:    "west",
		upstreams: 1,
	},
	{
		name:      "worcester",
		region:    "west",
		upstreams: 1,
	},
	{
		name:      "kettering",
		region:    "south",
		upstreams: 4,
	},
	{
		name:      "corby",
		region:    "south",
		upstreams: 4,
	},
}

// kinds hold the kinds of requests with their objectives. Together they need 38 of 80
// slots if the upstreams know all objects, and 128 if they know none.
var kinds = []struct {
	simulator.Kind
	timeoutMillis   int
	objectiveMillis int
}{
	{
		Kind: simulator.Kind{
			Name:      "status",
			Host:      host,
			PerSecond: 80,
			Objects:   24,
			Work:      880 * time.Millisecond,
			Patience:  4 * time.Second,
		},
		timeoutMillis:   1500,
		objectiveMillis: 600,
	},
	{
		Kind: simulator.Kind{
			Name:      "queue",
			Host:      host,
			PerSecond: 40,
			Objects:   24,
			Work:      1440 * time.Millisecond,
			Patience:  8 * time.Second,
		},
		timeoutMillis:   2500,
		objectiveMillis: 1000,
	},
}

// baseScenario returns a scenario without trouble.
func baseScenario(seed uint64) simulator.Scenario {
	set := declarer.Set{}.WithService(declarer.Service{
		Name:       service,
		Registered: true,
	})
	version := declarer.Version{
		Name:    service + "-v1",
		Service: service,
	}
	scenario := simulator.Scenario{
		Affinity: admitter.Affinity{
			OtherRegion: 0.2,
			Choices:     2,
			FreeLoad:    1,
			LoadWeight:  0.2,
		},
		Upstreams: simulator.Behavior{
			Queue:        12,
			KnownObjects: 30,
			KnownFactor:  0.3,
		},
		Length: 60 * time.Second,
		Seed:   seed,
	}
	for i, place := range places {
		set = set.WithPlace(declarer.Place{
			Name:   place.name,
			Region: place.region,
			Seats:  2,
		})
		for j := range 2 {
			scenario.Instances = append(scenario.Instances, simulator.Instance{
				Name:  fmt.Sprintf("%s-%d", place.name, j),
				Place: place.name,
			})
		}
		for j := range place.upstreams {
			version.Upstreams = append(version.Upstreams, declarer.Upstream{
				Name:    fmt.Sprintf("u-%s-%d", place.name, j),
				Place:   place.name,
				Address: fmt.Sprintf("10.0.%d.%d:80", i, j),
				Slots:   4,
			})
		}
	}
	for _, kind := range kinds {
		scenario.Requests = append(scenario.Requests, kind.Kind)
		set = set.WithRoute(declarer.Route{
			Name:            kind.Name,
			Host:            host,
			Prefix:          "/" + kind.Name + "/",
			Idempotence:     declarer.Always,
			TimeoutMillis:   kind.timeoutMillis,
			ObjectiveMillis: kind.objectiveMillis,
			Open:            true,
			Sticky:          true,
		}.WithBackends(declarer.Backend{
			Service: service,
			Weight:  1,
		}))
	}
	scenario.Set = set.WithVersion(version)
	return scenario
}

// shareInTime returns the share of the requests sent in a time that were answered within
// their objective.
func shareInTime(results []simulator.Result, from, to time.Duration) float64 {
	objectives := map[string]time.Duration{}
	for _, kind := range kinds {
		objectives[kind.Name] = time.Duration(kind.objectiveMillis) * time.Millisecond
	}
	inTime, all := 0, 0
	for _, result := range results {
		if result.Sent < from || result.Sent >= to {
			continue
		}
		all++
		if result.Answered && result.Took <= objectives[result.Kind] {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}
