package mover

import (
	"math"
	"math/rand/v2"
	"testing"
)

// binomial returns the probability of slow among timed attempts at a rate.
func binomial(slow, timed int, rate float64) float64 {
	all, _ := math.Lgamma(float64(timed + 1))
	chosen, _ := math.Lgamma(float64(slow + 1))
	others, _ := math.Lgamma(float64(timed - slow + 1))
	return math.Exp(all-chosen-others) * math.Pow(rate, float64(slow)) * math.Pow(1-rate, float64(timed-slow))
}

// expectedValue returns the expected e-value of a block with these numbers of attempts, if the
// others are slow at a rate and the new version at another one.
func expectedValue(timedNew, timedOld int, oldRate, newRate, assumed, alternative, hypothesis float64) float64 {
	sum := 0.0
	for slowNew := range timedNew + 1 {
		for slowOld := range timedOld + 1 {
			added := block{
				new: Count{
					Timed: timedNew,
					Slow:  slowNew,
				},
				old: Count{
					Timed: timedOld,
					Slow:  slowOld,
				},
			}
			probability := binomial(slowNew, timedNew, newRate) * binomial(slowOld, timedOld, oldRate)
			sum += probability * math.Exp(added.logValue(assumed, alternative, hypothesis))
		}
	}
	return sum
}

// TestExpectedValuesAreAtMostOne checks the property that makes the stated error rate hold at any
// time: the expected e-value of a block is at most 1 under each point of the hypothesis, whatever
// has been assumed of the other versions. The sums are over all results.
func TestExpectedValuesAreAtMostOne(t *testing.T) {
	const tolerance = 1e-9
	sizes := [][2]int{{1, 1}, {1, 12}, {3, 9}, {8, 4}, {6, 0}}
	rates := []float64{0.001, 0.05, 0.3, 0.8}
	const excess = 0.2
	for _, size := range sizes {
		for _, oldRate := range rates {
			for _, assumed := range rates {
				for _, part := range slowAlternatives {
					for _, trueExcess := range []float64{0, 0.5, 1} {
						newRate := exceeding(oldRate, trueExcess*toleratedPart*excess)
						got := expectedValue(size[0], size[1], oldRate, newRate, assumed, min(part*excess, maxExcess), toleratedPart*excess)
						if got > 1+tolerance {
							t.Errorf("slow, sizes %v, rate %v, assumed %v, alternative %v: got %v, want at most 1", size, oldRate, assumed, part, got)
						}
					}
				}
				for _, part := range goodAlternatives {
					for _, trueExcess := range []float64{1, 2, 4} {
						newRate := exceeding(oldRate, min(trueExcess*excess, maxExcess))
						got := expectedValue(size[0], size[1], oldRate, newRate, assumed, part*excess, excess)
						if got > 1+tolerance {
							t.Errorf("good, sizes %v, rate %v, assumed %v, alternative %v: got %v, want at most 1", size, oldRate, assumed, part, got)
						}
					}
				}
			}
		}
	}
}

// TestErrorRatesHoldAtAnyTime checks, at the edges of both hypotheses and with a rate of the others
// that changes, how often a long sequence ever shows what is not so. It guards against error rates
// that grow with the number of evaluations.
func TestErrorRatesHoldAtAnyTime(t *testing.T) {
	const (
		seeds  = 2000
		blocks = 400
		excess = 0.2
	)
	wrongSlow, wrongGood := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 13))
		draw := func(timed int, rate float64) Count {
			drawn := Count{
				Timed: timed,
			}
			for range timed {
				if random.Float64() < rate {
					drawn.Slow++
				}
			}
			return drawn
		}
		var tolerated, slow [1]Evidence
		var toleratedSequence, slowSequence sequence
		showsSlow, showsGood := false, false
		for i := range blocks {
			rate := 0.05 + 0.2*float64(i/50%2)
			timedNew, timedOld := random.IntN(3), random.IntN(20)
			old := draw(timedOld, rate)
			tolerated[0].New = tolerated[0].New.Plus(draw(timedNew, exceeding(rate, toleratedPart*excess)))
			tolerated[0].Old = tolerated[0].Old.Plus(old)
			slow[0].New = slow[0].New.Plus(draw(timedNew, exceeding(rate, excess)))
			slow[0].Old = slow[0].Old.Plus(old)
			toleratedSequence = toleratedSequence.with([]Evidence{tolerated[0]}, excess)
			slowSequence = slowSequence.with([]Evidence{slow[0]}, excess)
			showsSlow = showsSlow || toleratedSequence.showsSlow()
			showsGood = showsGood || slowSequence.showsGood()
		}
		if showsSlow {
			wrongSlow++
		}
		if showsGood {
			wrongGood++
		}
	}
	t.Logf("of %d sequences of %d evaluations: %d showed a good version to be slow, %d a slow one to be good", seeds, blocks, wrongSlow, wrongGood)
	// Three standard deviations above the stated rate.
	limit := seeds*errorRate + 3*math.Sqrt(seeds*errorRate)
	if float64(wrongSlow) > limit || float64(wrongGood) > limit {
		t.Errorf("want at most %.0f of each", limit)
	}
}
