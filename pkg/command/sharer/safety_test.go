package sharer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

const (
	// schedules is the number of seeded schedules on which a property is checked.
	schedules = 10_000
	// firstSeed makes every run check the same schedules.
	firstSeed = 20261204
	// rounding is the tolerance for floating-point errors of the check itself, in
	// requests.
	rounding = 1e-6
)

// faultSets lists the faults of the schedules: none, each kind alone, and all together.
var faultSets = []faults{
	{},
	{
		lossRate: 0.1,
	},
	{
		duplicationRate: 0.1,
	},
	{
		pauses: true,
	},
	{
		restarts: true,
	},
	{
		lossRate:        0.1,
		duplicationRate: 0.1,
		pauses:          true,
		restarts:        true,
	},
}

// TestFleetNeverExceedsTheTeam checks that all instances together never admit more than
// the team's limit allows. In the seeded schedules, messages are late, lost and
// duplicated, instances pause for longer than their loans last or restart, and clocks
// drift apart, at one to three times the team's rate.
func TestFleetNeverExceedsTheTeam(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(firstSeed)
	parameters.MinSuccessfulTests = schedules
	parameters.Workers = runtime.NumCPU()
	properties := gopter.NewProperties(parameters)
	properties.Property("rate·t + burst", prop.ForAll(
		func(seed uint64) (string, error) {
			p := policy{
				lending:  true,
				minBurst: []int{1, 4, 16}[seed%3],
				maxWait:  time.Second,
			}
			whole := limiter.Limit{
				RatePerSecond: 2 + float64(seed%40),
				Burst:         1 + int(seed/7%30),
			}
			s := newSimulation(seed, p, faultSets[seed%uint64(len(faultSets))], whole)
			s.run(4*time.Second, 1+float64(seed%5)/2)
			if s.reference.excess > rounding {
				return fmt.Sprintf("seed %d: limit %+v exceeded by %g requests", seed, whole, s.reference.excess), nil
			}
			return "", nil
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// productionPolicy is the policy that the product uses.
var productionPolicy = policy{
	lending:  true,
	minBurst: sharer.MinHolderBurst,
	maxWait:  sharer.MaxWait,
}

// TestRightfulRequests checks that a team at 90% of its rate, with skewed callers, is
// refused at most 0.5% of its conforming requests, and at most a tenth of the fraction
// that the static even split refuses.
func TestRightfulRequests(t *testing.T) {
	const (
		limit  = 0.005
		length = 60 * time.Second
		seeds  = 2
	)
	static := policy{
		minBurst: 1,
	}
	for _, team := range teams {
		t.Run(team.name, func(t *testing.T) {
			var fractions [2]float64
			for i, p := range []policy{productionPolicy, static} {
				conforming, refused := 0, 0
				for seed := range uint64(seeds) {
					s := newSimulation(seed, p, faults{}, team.whole)
					s.run(length, 0.9)
					conforming += s.conforming
					refused += s.refusedConforming
				}
				fractions[i] = float64(refused) / float64(conforming)
			}
			t.Logf("refused %.4f, static split %.4f", fractions[0], fractions[1])
			if fractions[0] > limit || fractions[0] > fractions[1]/10 {
				t.Fatalf("got %.4f of the conforming requests refused, want at most %.3f and %.4f, a tenth of the static split", fractions[0], limit, fractions[1]/10)
			}
		})
	}
}

// TestLargeOwnerDies checks that few conforming requests are refused after the death of
// the instance that owns the largest part, for the team with a large limit.
func TestLargeOwnerDies(t *testing.T) {
	checkOwnerDeath(t, teams[2:])
}

// TestSmallOwnersDie checks that few conforming requests are refused after the death of
// the instance that owns the largest part, for the teams with small limits.
func TestSmallOwnersDie(t *testing.T) {
	checkOwnerDeath(t, teams[:2])
}

// checkOwnerDeath checks that a team at 90% of its rate is refused at most 2% of its
// conforming requests in the ten seconds after the death of the instance that owns the
// largest part.
func checkOwnerDeath(t *testing.T, teams []team) {
	t.Helper()
	const (
		limit = 0.02
		after = 10 * time.Second
		seeds = 5
	)
	for _, team := range teams {
		conforming, refused := 0, 0
		for seed := range uint64(seeds) {
			s := newSimulation(seed, productionPolicy, faults{}, team.whole)
			s.run(20*time.Second, 0.9)
			before := *s
			s.kill(s.largestOwner())
			s.run(20*time.Second+after, 0.9)
			conforming += s.conforming - before.conforming
			refused += s.refusedConforming - before.refusedConforming
			if s.reference.excess > rounding {
				t.Errorf("%s, seed %d: limit exceeded by %g requests", team.name, seed, s.reference.excess)
			}
		}
		fraction := float64(refused) / float64(conforming)
		t.Logf("%s: refused %.4f of %d conforming requests", team.name, fraction, conforming)
		if fraction > limit {
			t.Errorf("%s: got %.4f of the conforming requests refused, want at most %.2f", team.name, fraction, limit)
		}
	}
}

// TestRepeatedMessagesChangeNothing checks that a duplicate of an ask or of a
// settlement neither takes nor returns units again.
func TestRepeatedMessagesChangeNothing(t *testing.T) {
	start := time.Now()
	bucket := limiter.NewBucket(limiter.Limit{}, start)
	account := sharer.NewAccount[limiter.Limit](bucket)
	account.SetOwned(limiter.Limit{}.WithRate(10).WithBurst(10), start)
	if limit := bucket.Limit(); !limit.IsZero() {
		t.Fatalf("got limit %+v before the increase is confirmed, want none", limit)
	}
	account.Confirm(start)
	now := start.Add(time.Minute)
	serial := sharer.Serial{
		Borrower: "b",
		Number:   1,
	}
	steps := []struct {
		name  string
		run   func() int
		units int
		burst int
	}{
		{
			name:  "lend",
			run:   func() int { return account.Lend(serial, 4, now) },
			units: 4,
			burst: 6,
		},
		{
			name:  "the same ask again",
			run:   func() int { return account.Lend(serial, 4, now) },
			units: 4,
			burst: 6,
		},
		{
			name: "settle",
			run: func() int {
				account.Settle(serial, 1, now)
				return 0
			},
			burst: 10,
		},
		{
			name: "settle again",
			run: func() int {
				account.Settle(serial, 1, now)
				return 0
			},
			burst: 10,
		},
		{
			name:  "the stock holds the units not lent and those returned",
			run:   func() int { return bucket.Draw(100, now) },
			units: 7,
			burst: 10,
		},
	}
	for _, step := range steps {
		if units := step.run(); units != step.units {
			t.Fatalf("%s: got %d units, want %d", step.name, units, step.units)
		}
		if burst := bucket.Limit().Burst; burst != step.burst {
			t.Fatalf("%s: got a burst of %d, want %d", step.name, burst, step.burst)
		}
	}
}
