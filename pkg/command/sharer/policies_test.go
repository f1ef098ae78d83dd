package sharer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// policies are the policies that were compared. The first is the simplest.
var policies = []policy{
	{
		name:     "static even split",
		minBurst: 1,
	},
	{
		name:     "static even split, waiting",
		minBurst: 1,
		maxWait:  sharer.MaxWait,
	},
	{
		name:     "lending, spread",
		lending:  true,
		minBurst: 1,
		maxWait:  sharer.MaxWait,
	},
	{
		name:     "lending, minimum burst 4",
		lending:  true,
		minBurst: 4,
		maxWait:  sharer.MaxWait,
	},
	{
		name:     "lending, minimum burst 8",
		lending:  true,
		minBurst: 8,
		maxWait:  sharer.MaxWait,
	},
	{
		name:     "lending, minimum burst 16",
		lending:  true,
		minBurst: 16,
		maxWait:  sharer.MaxWait,
	},
}

// team is a team with its whole limit.
type team struct {
	name  string
	whole limiter.Limit
}

var teams = []team{
	{
		name: "5/s, burst 3",
		whole: limiter.Limit{
			RatePerSecond: 5,
			Burst:         3,
		},
	},
	{
		name: "60/s, burst 24",
		whole: limiter.Limit{
			RatePerSecond: 60,
			Burst:         24,
		},
	},
	{
		name: "900/s, burst 180",
		whole: limiter.Limit{
			RatePerSecond: 900,
			Burst:         180,
		},
	},
}

// BenchmarkWays measures each policy for each team at 90% of its rate with skewed
// callers: the percentage of conforming requests refused, the messages per second and
// instance, and the wait for admission.
func BenchmarkWays(b *testing.B) {
	for _, team := range teams {
		for _, p := range policies {
			b.Run(team.name+"/"+p.name, func(b *testing.B) {
				conforming, refused, messages := 0, 0, 0
				var waits []time.Duration
				const length = 120 * time.Second
				for seed := range uint64(b.N) {
					s := newSimulation(seed, p, faults{}, team.whole)
					s.run(length, 0.9)
					conforming += s.conforming
					refused += s.refusedConforming
					messages += s.messages
					waits = append(waits, s.waits...)
				}
				slices.Sort(waits)
				b.ReportMetric(100*float64(refused)/float64(conforming), "%refused")
				b.ReportMetric(float64(messages)/length.Seconds()/float64(b.N)/instanceCount, "messages/s/instance")
				b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "p99-wait-ms")
			})
		}
	}
}
