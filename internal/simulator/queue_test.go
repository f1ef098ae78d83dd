package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/simulator"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// queueKinds are an urgent kind of request and a less urgent one. With the rates below they need
// 0.8 of the 80 slots.
var queueKinds = []struct {
	simulator.Kind
	objectiveMillis int
	priority        int
}{
	{
		Kind: simulator.Kind{
			Name:      "orders",
			Host:      host,
			PerSecond: 24,
			Objects:   200,
			Work:      820 * time.Millisecond,
			Patience:  5 * time.Second,
		},
		objectiveMillis: 1000,
		priority:        1,
	},
	{
		Kind: simulator.Kind{
			Name:      "reads",
			Host:      host,
			PerSecond: 68,
			Objects:   200,
			Work:      650 * time.Millisecond,
			Patience:  4 * time.Second,
		},
		objectiveMillis: 900,
		priority:        2,
	},
}

// queueTeams send equal parts of each kind.
var queueTeams = []string{"quilters", "tailors", "weavers", "knitters"}

// loadFactor returns by what the rate of a team is multiplied at a time.
type loadFactor func(team string, at time.Duration) float64

// queueScenario returns a scenario in which factor multiplies the rates of a team. Upstreams
// remember no object.
func queueScenario(seed uint64, instancesPerPlace int, factor loadFactor) simulator.Scenario {
	scenario := baseScenario(seed)
	scenario.Length = 20 * time.Second
	scenario.Upstreams.KnownObjects = 0
	scenario.Upstreams.KnownFactor = 1
	scenario.Requests = nil
	scenario.Instances = nil
	for _, place := range places {
		for i := range instancesPerPlace {
			scenario.Instances = append(scenario.Instances, simulator.Instance{
				Name:  fmt.Sprintf("%s-%02d", place.name, i),
				Place: place.name,
			})
		}
	}
	set := scenario.Set
	for _, team := range queueTeams {
		set = set.WithTeam(declarer.Team{
			Name: team,
		}).WithKey(declarer.Key{
			Name: team,
			Team: team,
			Hash: declarer.HashKey(team).String(),
		})
		for _, kind := range queueKinds {
			sent := kind.Kind
			sent.Team = team
			sent.PerSecond /= float64(len(queueTeams))
			sent.Factor = func(at time.Duration) float64 { return factor(team, at) }
			scenario.Requests = append(scenario.Requests, sent)
		}
	}
	for _, kind := range queueKinds {
		set = set.WithRoute(declarer.Route{
			Name:            kind.Name,
			Host:            host,
			Prefix:          "/" + kind.Name + "/",
			Idempotence:     declarer.Always,
			TimeoutMillis:   int(kind.Patience.Milliseconds()),
			ObjectiveMillis: kind.objectiveMillis,
			Priority:        kind.priority,
			Sticky:          true,
		}.WithBackends(declarer.Backend{
			Service: service,
			Weight:  1,
		}))
	}
	scenario.Set = set
	return scenario
}

// tally counts what became of requests.
type tally struct {
	all      int
	answered int
	inTime   int
}

// plus returns a tally with another result.
func (c tally) plus(result simulator.Result, objective time.Duration) tally {
	c.all++
	if result.Answered {
		c.answered++
	}
	if result.Answered && result.Took <= objective {
		c.inTime++
	}
	return c
}

// answeredShare and inTimeShare return the parts of the requests that were answered, and within
// their objective.
func (c tally) answeredShare() float64 { return float64(c.answered) / float64(c.all) }
func (c tally) inTimeShare() float64   { return float64(c.inTime) / float64(c.all) }

// playQueue plays a scenario of queueScenario with several seeds, and tallies the results by kind
// and by team, and all of them as "all".
func playQueue(instancesPerPlace int, factor loadFactor, queue *scheduler.Limits) map[string]tally {
	const seeds = 4
	objectives := map[string]time.Duration{}
	for _, kind := range queueKinds {
		objectives[kind.Name] = time.Duration(kind.objectiveMillis) * time.Millisecond
	}
	tallies := map[string]tally{}
	for seed := range uint64(seeds) {
		scenario := queueScenario(seed, instancesPerPlace, factor)
		scenario.Queue = queue
		scenario.Level = queue != nil
		for _, result := range simulator.Run(scenario).Results {
			for _, name := range []string{result.Kind, result.Team, "all"} {
				tallies[name] = tallies[name].plus(result, objectives[result.Kind])
			}
		}
	}
	return tallies
}

// TestQueueUnderLoad plays loads with and without the queue and the admission level. It guards
// against requests of a kind that is served less often than a less urgent one, against a team
// that loses its share to another, against refusals while there is room, and against a queue
// that gains nothing for the urgent kind.
func TestQueueUnderLoad(t *testing.T) {
	const (
		// kindMargin and teamShare are those of the platform's rules: no kind is served less
		// often than a less urgent one by more than the one, and no team less often than the
		// other times all.
		kindMargin = 0.05
		teamShare  = 0.25
	)
	loads := []struct {
		name   string
		factor loadFactor
		// calm says that there is room for all requests.
		calm bool
	}{
		{
			name:   "usual",
			factor: func(string, time.Duration) float64 { return 1 },
			calm:   true,
		},
		{
			name:   "teams compete for 0.8 of what they ask for",
			factor: func(string, time.Duration) float64 { return 1.55 },
		},
		{
			name: "a burst of 1.7 for 3 s",
			factor: func(_ string, at time.Duration) float64 {
				if at > 8*time.Second && at < 11*time.Second {
					return 1.7
				}
				return 1
			},
		},
		{
			name: "a team at 7.5 times its usual rate",
			factor: func(team string, at time.Duration) float64 {
				if team == queueTeams[0] && at > 5*time.Second {
					return 7.5
				}
				return 1
			},
		},
	}
	for _, instances := range []int{2, 16} {
		for _, load := range loads {
			t.Run(fmt.Sprintf("%d instances a place/%s", instances, load.name), func(t *testing.T) {
				t.Parallel()
				without := playQueue(instances, load.factor, nil)
				with := playQueue(instances, load.factor, &scheduler.Limits{
					Longest:   64,
					WaitShare: 0.1,
				})
				for _, name := range append([]string{"all", "orders", "reads"}, queueTeams...) {
					t.Logf("%-8s in time %.3f, with the queue %.3f; answered %.3f, with the queue %.3f", name,
						without[name].inTimeShare(), with[name].inTimeShare(),
						without[name].answeredShare(), with[name].answeredShare())
				}
				if got, less := with["orders"].answeredShare(), with["reads"].answeredShare(); got < less-kindMargin {
					t.Errorf("got %.3f of the urgent kind answered, want it not below the other's %.3f", got, less)
				}
				for _, team := range queueTeams {
					if got, all := with[team].answeredShare(), with["all"].answeredShare(); got < all*teamShare {
						t.Errorf("team %s: got %.3f answered, want at least a quarter of %.3f", team, got, all)
					}
				}
				urgentGain := with["orders"].inTimeShare() - without["orders"].inTimeShare()
				switch {
				case load.calm && with["all"].answeredShare() < without["all"].answeredShare():
					t.Errorf("got %.4f answered at the usual load, want not less than without the queue", with["all"].answeredShare())
				case load.calm && urgentGain < -0.01, !load.calm && urgentGain <= 0:
					t.Errorf("got a gain of %.3f in time for the urgent kind", urgentGain)
				}
			})
		}
	}
}
