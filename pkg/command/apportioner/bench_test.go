package apportioner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
)

// benchmarkTeams is the number of limits that are split.
const benchmarkTeams = 140

// benchmarkSizes are the numbers of instances that benchmarks run with.
var benchmarkSizes = []int{12, 195, 2000}

// newBenchmarked returns the apportioner of one of the given instances, with the demand of all
// others, and the list of instances.
func newBenchmarked(instances int, now time.Time) (*apportioner.Apportioner, []apportioner.Member) {
	members := make([]apportioner.Member, 0, instances)
	for i := range instances {
		members = append(members, apportioner.Member{
			Name:  fmt.Sprintf("entry-%d", i),
			Group: fmt.Sprintf("region-%d", i%groups),
		})
	}
	a := apportioner.New(members[0].Name, "start")
	a.SetMembers(members, now)
	for team := range benchmarkTeams {
		a.SetSplit(teamName(team), apportioner.Split{
			Holders:   12,
			MinChange: apportioner.DefaultMinChange,
		})
	}
	for i, member := range members[1:] {
		a.Receive(member, apportioner.Report{
			Incarnation: "start",
			Number:      1,
			Demands: []apportioner.Demand{
				{
					Resource:  teamName(i % benchmarkTeams),
					PerSecond: 1,
				},
			},
		}, now)
	}
	a.NextReport(now)
	a.MarkDelivered(1)
	return a, members
}

func teamName(team int) string {
	return fmt.Sprintf("team-%d", team)
}

// BenchmarkFractions measures the fractions of all limits, which each instance computes several
// times a second.
func BenchmarkFractions(b *testing.B) {
	for _, instances := range benchmarkSizes {
		b.Run(fmt.Sprintf("%d instances", instances), func(b *testing.B) {
			now := time.Now()
			a, _ := newBenchmarked(instances, now)
			for b.Loop() {
				for team := range benchmarkTeams {
					a.Fraction(teamName(team), now)
				}
			}
		})
	}
}

// BenchmarkMemberChange measures the holders of all limits after one instance has joined or left.
func BenchmarkMemberChange(b *testing.B) {
	for _, instances := range benchmarkSizes {
		b.Run(fmt.Sprintf("%d instances", instances), func(b *testing.B) {
			now := time.Now()
			a, members := newBenchmarked(instances, now)
			for b.Loop() {
				now = now.Add(2 * apportioner.DrainWait)
				a.SetMembers(members[:instances-1], now)
				now = now.Add(2 * apportioner.DrainWait)
				a.Fraction(teamName(0), now)
				a.SetMembers(members, now)
				for team := range benchmarkTeams {
					a.Holders(teamName(team))
				}
			}
		})
	}
}
