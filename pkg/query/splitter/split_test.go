package splitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

const (
	// schedules is the number of seeded schedules on which a property is checked.
	schedules = 10_000
	// firstSeed makes every run check the same schedules.
	firstSeed = 20261204
	// clockDrift is the largest drift of an instance's clock, as a fraction.
	clockDrift = 200e-6
)

// parameters returns the parameters of the property checks.
func parameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(firstSeed)
	parameters.MinSuccessfulTests = schedules
	return parameters
}

// TestPartsAddUpToTheLimit checks that the bursts of all parts add up to the whole
// burst, and their rates to at most the whole rate.
func TestPartsAddUpToTheLimit(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("bursts add up to the burst, rates to at most the rate", prop.ForAll(
		func(seats, burst int, rate float64) bool {
			whole := limiter.Limit{
				RatePerSecond: rate,
				Burst:         burst,
			}
			var sum limiter.Limit
			for index := range seats {
				part := splitter.Part(whole, "team", splitter.Seat{
					Index: index,
					Count: seats,
				})
				sum.RatePerSecond += part.RatePerSecond
				sum.Burst += part.Burst
			}
			return sum.Burst == burst && sum.RatePerSecond <= rate
		},
		gen.IntRange(1, 2000),
		gen.IntRange(1, 5000),
		gen.Float64Range(0.01, 100_000),
	))
	properties.TestingRun(t)
}

// simulation runs instances, each with its own clock, through one schedule of requests
// in virtual time.
type simulation struct {
	whole   limiter.Limit
	buckets []*limiter.Bucket
	// clockRates holds the speed of each instance's clock relative to virtual time.
	clockRates []float64
	start      time.Time
}

func newSimulation(random *rand.Rand) *simulation {
	seats := 1 + random.IntN(12)
	s := &simulation{
		whole: limiter.Limit{
			RatePerSecond: 0.5 + 200*random.Float64(),
			Burst:         1 + random.IntN(40),
		},
		start: time.Now(),
	}
	for index := range seats {
		s.clockRates = append(s.clockRates, 1+clockDrift*(2*random.Float64()-1))
		s.buckets = append(s.buckets, limiter.NewBucket(s.part(index, seats), s.start))
	}
	return s
}

// part returns the part of one instance.
func (s *simulation) part(index, seats int) limiter.Limit {
	return splitter.Part(s.whole, "team", splitter.Seat{
		Index: index,
		Count: seats,
	})
}

// localTime returns the time that an instance's clock shows at a virtual time.
func (s *simulation) localTime(index int, at time.Duration) time.Time {
	return s.start.Add(time.Duration(float64(at) * s.clockRates[index]))
}

// run sends requests with a skewed distribution over the instances, some of which
// restart or apply their configuration again. It returns the virtual times of the
// admitted requests.
func (s *simulation) run(random *rand.Rand) []time.Duration {
	var admitted []time.Duration
	at := time.Duration(0)
	for range 150 {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) / s.whole.RatePerSecond / 2)
		index := min(random.IntN(len(s.buckets)), random.IntN(len(s.buckets)))
		now := s.localTime(index, at)
		switch random.IntN(40) {
		case 0:
			s.buckets[index] = limiter.NewBucket(s.part(index, len(s.buckets)), now)
		case 1:
			s.buckets[index].SetLimit(s.part(index, len(s.buckets)), now)
		}
		if _, ok := s.buckets[index].Take(now); ok {
			admitted = append(admitted, at)
		}
	}
	return admitted
}

// excess returns the largest number of requests by which any interval of length t
// exceeds rate·t + burst.
func excess(whole limiter.Limit, admitted []time.Duration) float64 {
	highest := 0.0
	for first := range admitted {
		for last := first; last < len(admitted); last++ {
			interval := (admitted[last] - admitted[first]).Seconds()
			allowed := whole.RatePerSecond*interval + float64(whole.Burst)
			highest = max(highest, float64(last-first+1)-allowed)
		}
	}
	return highest
}

// rounding is the tolerance for floating-point errors of the check itself, in requests.
const rounding = 1e-6

// TestFleetNeverExceedsTheTeam checks that all instances together never admit more than
// the team's limit allows, in every interval of seeded schedules with skewed load,
// restarts and clock drift.
func TestFleetNeverExceedsTheTeam(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("rate·t + burst", prop.ForAll(
		func(seed uint64) (string, error) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSimulation(random)
			if exceeded := excess(s.whole, s.run(random)); exceeded > rounding {
				return fmt.Sprintf("seed %d: limit %+v exceeded by %g requests", seed, s.whole, exceeded), nil
			}
			return "", nil
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// TestExcessDetectsFullBucketAfterRestart checks that excess detects a violation: if a
// bucket started with a full burst after a restart, the team's burst would be exceeded.
func TestExcessDetectsFullBucketAfterRestart(t *testing.T) {
	whole := limiter.Limit{
		RatePerSecond: 1,
		Burst:         5,
	}
	var admitted []time.Duration
	start := time.Now()
	for range 2 {
		full := limiter.NewBucket(whole, start.Add(-time.Hour))
		for range whole.Burst {
			if _, ok := full.Take(start); ok {
				admitted = append(admitted, 0)
			}
		}
	}
	if !slices.Equal(admitted, make([]time.Duration, 10)) || excess(whole, admitted) != 5 {
		t.Fatalf("got admissions at %v, want 10 at 0s that exceed the limit by 5", admitted)
	}
}
