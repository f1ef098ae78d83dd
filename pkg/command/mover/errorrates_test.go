package mover_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
)

const (
	// rateSeeds is how many moves each row of a table of error rates has.
	rateSeeds = 400
	// spread is the standard deviation of the logarithm of the durations of answers.
	spread = 0.5
	// limitMedians is the limit beyond which an answer is slow, in median durations of the old
	// versions (the limit of internal/steerer).
	limitMedians = 5
	// unknownFactor is by how much answers about objects that an upstream does not know are
	// slower, and unknownTime how long a new version's upstreams take to know most of them.
	unknownFactor = 3.3
	unknownTime   = 1500 * time.Millisecond
)

// beyondLimit returns the fraction of answers that are slow if their durations are
// log-normal and factor times those of the old versions.
func beyondLimit(factor float64) float64 {
	return 0.5 * math.Erfc(math.Log(limitMedians/factor)/(spread*math.Sqrt2))
}

// mixed returns the fraction of answers that are slow if a share of them is slower by a factor.
func mixed(share, factor float64) float64 {
	return share*beyondLimit(factor) + (1-share)*beyondLimit(1)
}

// rateCase is one row of a table of error rates.
type rateCase struct {
	name string
	// failing is the fraction of the new version's answers that fail, and slow that of the
	// answers that are late, by the time since it got most of its objects.
	failing float64
	slow    func(known time.Duration) float64
	// The remaining fields are those of simulation.
	oldRate    float64
	slowAnyway func(elapsed time.Duration) float64
	surge      func(elapsed time.Duration) float64
	warmAt     time.Duration
	good       bool
}

// badCases returns versions of which a share of the answers fails, or is slower by a factor.
func badCases() []rateCase {
	var cases []rateCase
	shares := []float64{0.1, 0.25, 0.5, 1}
	for _, share := range shares {
		cases = append(cases, rateCase{
			name:    fmt.Sprintf("failing, share %.2f", share),
			failing: share,
			slow:    func(time.Duration) float64 { return beyondLimit(1) },
		})
	}
	for _, share := range shares {
		for _, factor := range []float64{3, 6, 8, 10} {
			cases = append(cases, rateCase{
				name: fmt.Sprintf("slow, share %.2f, factor %.0f", share, factor),
				slow: func(time.Duration) float64 { return mixed(share, factor) },
			})
		}
	}
	return cases
}

// goodCases returns versions that are like the old ones, in different situations.
func goodCases() []rateCase {
	alike := func(time.Duration) float64 { return beyondLimit(1) }
	unknown := func(known time.Duration) float64 {
		if known < unknownTime {
			return mixed(0.7, unknownFactor)
		}
		return mixed(0.1, unknownFactor)
	}
	burst := func(elapsed time.Duration) bool { return elapsed >= 5*time.Second && elapsed < 8*time.Second }
	return []rateCase{
		{
			name: "good",
			slow: alike,
			good: true,
		},
		{
			name:    "good, 2 in 100 fail at both",
			slow:    alike,
			failing: 0.02,
			oldRate: 0.02,
			good:    true,
		},
		{
			name:   "good, cold objects and upstreams",
			slow:   unknown,
			warmAt: 6 * time.Second,
			good:   true,
		},
		{
			name: "good, in a burst of 1.7 for 3 s",
			slow: alike,
			surge: func(elapsed time.Duration) float64 {
				if burst(elapsed) {
					return 1.7
				}
				return 1
			},
			slowAnyway: func(elapsed time.Duration) float64 {
				if burst(elapsed) {
					return 0.3
				}
				return 0
			},
			good: true,
		},
		{
			name:       "good, beside slow upstreams",
			slow:       func(time.Duration) float64 { return mixed(1.0/6, 3) },
			slowAnyway: func(time.Duration) float64 { return 0.08 },
			good:       true,
		},
	}
}

// simulate returns the simulation of a row by a seed.
func (c rateCase) simulate(seed uint64) simulation {
	random := rand.New(rand.NewPCG(seed, 12))
	warmAt := c.warmAt
	if warmAt == 0 {
		warmAt = time.Duration(3400+random.IntN(900)) * time.Millisecond
	}
	return simulation{
		random:     random,
		perSecond:  50 + random.Float64()*30,
		allowed:    time.Duration(14+random.IntN(3)) * time.Second,
		fails:      func(string, time.Duration, float64) bool { return random.Float64() < c.failing },
		oldRate:    c.oldRate,
		slow:       c.slow,
		oldSlow:    beyondLimit(1),
		slowAnyway: c.slowAnyway,
		surge:      c.surge,
		limit:      time.Duration(500+random.IntN(1000)) * time.Millisecond,
		warmAt:     warmAt,
		lag:        time.Duration(random.IntN(300)) * time.Millisecond,
	}
}

// rates holds how often the moves of a row ended in a state.
type rates struct {
	done, takenBack, overExposed int
	// exposed is the mean number of requests that the new version got.
	exposed float64
}

func (c rateCase) run(slowExcess float64) rates {
	var sum rates
	for seed := range uint64(rateSeeds) {
		s := c.simulate(seed)
		s.slowExcess = slowExcess
		got := s.run()
		switch got.state {
		case mover.Done:
			sum.done++
		case mover.TakenBack:
			sum.takenBack++
		}
		if float64(got.exposed) > exposureShare*float64(got.requests)+exposureSlack {
			sum.overExposed++
		}
		sum.exposed += float64(got.exposed) / rateSeeds
	}
	return sum
}

// TestErrorRates prints how often moves are completed and rolled back by kind of version, with
// and without the sequential test (go test -v). It guards against versions of which a quarter of
// the answers are slow: with the test fewer of them are completed.
func TestErrorRates(t *testing.T) {
	completed := map[float64]int{}
	for _, excess := range slowExcesses {
		var table strings.Builder
		fmt.Fprintf(&table, "SlowExcess %.2f, %d moves a row\n", excess, rateSeeds)
		fmt.Fprintln(&table, "| version | late answers | completed | rolled back | over the exposure | mean requests |")
		for _, c := range append(badCases(), goodCases()...) {
			got := c.run(excess)
			fmt.Fprintf(&table, "| %s | %.3f | %d | %d | %d | %.0f |\n",
				c.name, c.slow(time.Hour), got.done, got.takenBack, got.overExposed, got.exposed)
			if strings.HasPrefix(c.name, "slow, share 0.25") && c.slow(time.Hour) > defaultExcess {
				completed[excess] += got.done
			}
		}
		t.Log(table.String())
	}
	if 2*completed[defaultExcess] > completed[0] {
		t.Errorf("got %d moves completed to versions of which a quarter is slow, want at most half of the %d without the test",
			completed[defaultExcess], completed[0])
	}
}

// defaultExcess is the SlowExcess that the operators' page recommends, and slowExcesses are those of
// the table.
const defaultExcess = 0.1

var slowExcesses = []float64{0, defaultExcess}

// TestGoodVersionsAreCompleted checks that 99 of 100 moves to good versions are completed in time, and
// guards against a test that calls versions bad which are cold or beside slow upstreams.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for _, c := range goodCases() {
		if c.surge == nil {
			checkCompleted(t, c)
		}
	}
}

// TestGoodVersionsAreCompletedInABurst is TestGoodVersionsAreCompleted for a burst during the trial, in
// which 3 of 10 answers are late at either version.
func TestGoodVersionsAreCompletedInABurst(t *testing.T) {
	for _, c := range goodCases() {
		if c.surge != nil {
			checkCompleted(t, c)
		}
	}
}

func checkCompleted(t *testing.T, c rateCase) {
	t.Helper()
	const minDone = rateSeeds * 99 / 100
	if got := c.run(defaultExcess); got.done < minDone {
		t.Errorf("%s: got %d of %d moves completed, want at least %d", c.name, got.done, rateSeeds, minDone)
	}
}
