package mover

import (
	"math"
	"slices"
)

const (
	// errorRate is the rate of either error of a sequential test: that it shows a version to be slow
	// which is good, or good which is slow. It holds however often the test is evaluated.
	errorRate = 0.01
	// toleratedPart is the part of the least excess of a slow version up to which a version counts
	// as good: its upstreams know fewer objects and serve those slower.
	toleratedPart = 1.0 / 3
	// clearlyGood is the logarithm of the odds for a slow version up to which what has been seen speaks
	// for a good one. At 0, 12 of 100 versions that were twice as often late as others which were
	// late themselves passed their trials in seeded moves.
	clearlyGood = -1
	// priorSlow and priorTimed are the weight of what is assumed of the old versions before they
	// have been seen, in attempts.
	priorSlow  = 0.5
	priorTimed = 5
	// memory is the number of attempts after which an attempt at the other versions has e times
	// less weight in what is expected of the next ones. Bursts change their rate within seconds.
	memory = 60
	// maxExcess is the largest excess of an alternative.
	maxExcess = 0.95
	// closestSteps is how often the interval of the closest rate is halved.
	closestSteps = 50
)

// slowAlternatives are the excesses for which the test of a slow version is most sensitive, and
// goodAlternatives those for the test of a good one, as parts of the least excess of a slow version.
var (
	slowAlternatives = [...]float64{1, 2, 4, 6}
	goodAlternatives = [...]float64{0, 0.15, 0.3}
)

// sequence is a sequential test of how much more often a new version's answers are slow than those
// of the others at the same time and on the same routes. The excess d of a version is defined by
// its rate of slow answers, q + d(1-q), where q is that of the others.
//
// It multiplies e-values of blocks of attempts (Turner, Ly and Grünwald, 2021; Grünwald, de Heide
// and Koolen, 2019): in each, the likelihood ratio of an alternative against the closest point of
// the hypothesis. The rate of the others may change from block to block. The product is a test
// supermartingale, so by Ville's inequality (1939) it ever reaches 1/errorRate with a
// probability of at most errorRate if the hypothesis holds. Several alternatives are averaged (the
// mixture of Robbins, 1970).
//
// It is immutable; the zero value has seen nothing.
type sequence struct {
	// slow holds the logarithms of the products for slowAlternatives against the hypothesis that
	// the excess is tolerated, and good those for goodAlternatives against the one that it is the
	// least of a slow version or more.
	slow [len(slowAlternatives)]float64
	good [len(goodAlternatives)]float64
	// recent holds, by route, the recent attempts at the other versions, each weighted less the
	// more have followed it. It is not modified.
	recent map[string]weighted
	// seen is the evidence that the products contain, as Merge returns it.
	seen []Evidence
}

// with returns the sequence after evidence that includes all before. What has been added on a route
// since is one block. excess is the least excess of a slow version.
func (s sequence) with(evidence []Evidence, excess float64) sequence {
	next := make(map[string]weighted, len(evidence))
	for _, entry := range evidence {
		before := find(s.seen, entry.Route)
		added := block{
			new: entry.New.minus(before.New),
			old: entry.Old.minus(before.Old),
		}
		next[entry.Route] = s.recent[entry.Route].with(added.old)
		if added.new.Timed == 0 {
			continue
		}
		recent := s.recent[entry.Route]
		rate := (recent.slow + priorSlow) / (recent.timed + priorTimed)
		for i, part := range slowAlternatives {
			s.slow[i] += added.logValue(rate, min(part*excess, maxExcess), toleratedPart*excess)
		}
		for i, part := range goodAlternatives {
			s.good[i] += added.logValue(rate, part*excess, excess)
		}
	}
	s.recent = next
	s.seen = evidence
	return s
}

// weighted holds weighted numbers of attempts.
type weighted struct {
	slow  float64
	timed float64
}

// with returns the numbers after further attempts.
func (w weighted) with(added Count) weighted {
	factor := math.Exp(-float64(added.Timed) / memory)
	return weighted{
		slow:  w.slow*factor + float64(added.Slow),
		timed: w.timed*factor + float64(added.Timed),
	}
}

// showsSlow reports whether the new version is slow by the error rate.
func (s sequence) showsSlow() bool {
	return meanOfLogs(s.slow[:]) >= -math.Log(errorRate)
}

// showsGood reports whether the new version's excess is below that of a slow one by the error rate.
func (s sequence) showsGood() bool {
	return meanOfLogs(s.good[:]) >= -math.Log(errorRate)
}

// leansSlow reports whether what has been seen is 1/errorRate times more likely for a slow version
// than for a good one. That is no error rate: it decides about versions of which the requests that
// a bad one may get show too little.
func (s sequence) leansSlow() bool {
	return meanOfLogs(s.good[:]) < math.Log(errorRate)
}

// mayBeSlow reports whether what has been seen does not speak clearly for a good version.
func (s sequence) mayBeSlow() bool {
	return meanOfLogs(s.slow[:]) > clearlyGood
}

// meanOfLogs returns the logarithm of the mean of the values whose logarithms are given.
func meanOfLogs(logs []float64) float64 {
	largest := slices.Max(logs)
	sum := 0.0
	for _, value := range logs {
		sum += math.Exp(value - largest)
	}
	return largest + math.Log(sum/float64(len(logs)))
}

// find returns the evidence on a route, or none.
func find(evidence []Evidence, route string) Evidence {
	for _, entry := range evidence {
		if entry.Route == route {
			return entry
		}
	}
	return Evidence{}
}

// block holds the attempts of one route that have been added between two evaluations.
type block struct {
	new Count
	old Count
}

// logValue returns the logarithm of the block's e-value for the alternative that the others are slow
// at a rate and the new version exceeds them by one excess, against the hypothesis that it
// exceeds them by less or by more than another excess, on the other side of which the alternative
// lies.
func (b block) logValue(rate, alternative, hypothesis float64) float64 {
	newRate := exceeding(rate, alternative)
	closest := b.closest(rate, newRate, hypothesis)
	return logRatio(b.old, rate, closest) + logRatio(b.new, newRate, exceeding(closest, hypothesis))
}

// exceeding returns the rate that exceeds another one by an excess.
func exceeding(rate, excess float64) float64 {
	return rate + excess*(1-rate)
}

// closest returns the rate of the others at the point of the hypothesis that has the least divergence
// (Kullback and Leibler, 1951) from the alternative for the attempts of the block.
func (b block) closest(rate, newRate, hypothesis float64) float64 {
	low, high := 0.0, 1.0
	for range closestSteps {
		middle := (low + high) / 2
		// The derivative of the divergence, times 1-middle, rises with middle.
		slope := float64(b.old.Timed)*(1-rate/middle) + float64(b.new.Timed)*(1-newRate/exceeding(middle, hypothesis))
		if slope < 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return (low + high) / 2
}

// logRatio returns the logarithm of the likelihood ratio of two rates of slow attempts.
func logRatio(count Count, rate, other float64) float64 {
	slow, fast := float64(count.Slow), float64(count.Timed-count.Slow)
	sum := 0.0
	if slow > 0 {
		sum += slow * math.Log(rate/other)
	}
	if fast > 0 {
		sum += fast * math.Log((1-rate)/(1-other))
	}
	return sum
}
