package sharer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// ways are the ways that were weighed; the first is the simplest.
var ways = []way{
	{
		name:      "static even split",
		perHolder: 1,
	},
	{
		name:      "static even split, waiting",
		perHolder: 1,
		wait:      sharer.LongestWait,
	},
	{
		name:      "lending, spread",
		lending:   true,
		perHolder: 1,
		wait:      sharer.LongestWait,
	},
	{
		name:      "lending, 4 a holder",
		lending:   true,
		perHolder: 4,
		wait:      sharer.LongestWait,
	},
	{
		name:      "lending, 8 a holder",
		lending:   true,
		perHolder: 8,
		wait:      sharer.LongestWait,
	},
	{
		name:      "lending, 16 a holder",
		lending:   true,
		perHolder: 16,
		wait:      sharer.LongestWait,
	},
}

// team is a team of these tests.
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

// BenchmarkWays measures each way for each team at 90% of its rate with skewed
// callers: rightful requests refused, messages a second, and the wait for
// admission.
func BenchmarkWays(b *testing.B) {
	for _, team := range teams {
		for _, how := range ways {
			b.Run(team.name+"/"+how.name, func(b *testing.B) {
				rightful, refused, messages := 0, 0, 0
				var waits []time.Duration
				const length = 120 * time.Second
				for seed := range uint64(b.N) {
					f := newFleet(seed, how, faults{}, team.whole)
					f.play(length, 0.9)
					rightful += f.rightful
					refused += f.refused
					messages += f.messages
					waits = append(waits, f.waits...)
				}
				slices.Sort(waits)
				b.ReportMetric(100*float64(refused)/float64(rightful), "%refused")
				b.ReportMetric(float64(messages)/length.Seconds()/float64(b.N)/seats, "messages/s/instance")
				b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "p99-wait-ms")
			})
		}
	}
}
