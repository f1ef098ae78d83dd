package locator

import (
	"math"
	"math/bits"
	"net/netip"

	"github.com/hemlockport/hemlockport/pkg/hasher"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// DrawnEntries is the number of instances that a caller is named where capacities differ.
	// A caller picks one of them at random for each connection, so no instance gets more than
	// one connection in DrawnEntries, and a caller survives the loss of all but one.
	DrawnEntries = 4
	// maxNearest is the highest number of instances in an answer of Nearest. Callers take no
	// more.
	maxNearest = 64
	// maxInclusion bounds the probability with which a draw names an instance, because the
	// rate of an exponential draw is infinite for 1.
	maxInclusion = 0.99
	// equalWeights is the ratio up to which weights count as equal.
	equalWeights = 1.01
	// saturatedFactor is the part of the callers that a saturated instance keeps while few
	// others are saturated. Up to fewSaturated of a group's weight it holds, and from
	// mostSaturated on saturation has no effect: callers have nowhere else to go.
	saturatedFactor = 0.25
	fewSaturated    = 0.25
	mostSaturated   = 0.75
)

// draw chooses the instances of one group for a caller by its address. All instances that
// know the same group choose the same ones, and a change of one instance changes the answers
// of no more callers than it must. It is immutable.
//
// It uses weighted rendezvous hashing by the logarithmic method (Schindelhauer and Schomaker,
// 2005): each instance draws an exponential time from the caller's address, and the first
// count of them are named. With the rate -ln(1-p) the probability to be named is close to p
// (exponential order sampling; Rosén, 1997), which plain proportional rates miss because an
// answer names each instance only once.
type draw struct {
	entries []Entry
	seeds   []uint64
	// rates are the rates of the exponential draws.
	rates []float64
	// count is the number of instances in an answer. If it is that of all entries, each is
	// named to the part of the callers in kept.
	count int
	kept  []float64
}

// newDraw returns the draw among the entries of a group, or nil if each caller is named all of
// them.
func newDraw(entries []Entry, known map[string]instance) *draw {
	weights := weightsOf(entries, known)
	count := len(entries)
	if !areEqual(weights) {
		count = min(count, DrawnEntries)
	}
	count = min(count, maxNearest)
	factors, anySaturated := saturationFactors(entries, known, weights)
	if count == len(entries) && !anySaturated {
		return nil
	}
	result := &draw{
		entries: entries,
		count:   count,
		kept:    factors,
	}
	for i, probability := range inclusions(weights, count) {
		result.seeds = append(result.seeds, hasher.Sum(entries[i].Address))
		result.rates = append(result.rates, -math.Log1p(-probability*factors[i]))
	}
	return result
}

// weightsOf returns the weight of each entry, 1 on average: its scarcest resource relative to
// the mean of those that state it. An entry without a capacity counts as the mean.
func weightsOf(entries []Entry, known map[string]instance) []float64 {
	var sums, counts [4]float64
	for _, entry := range entries {
		for i, value := range known[entry.Incarnation].capacity.Resources() {
			if value > 0 {
				sums[i] += value
				counts[i]++
			}
		}
	}
	weights := make([]float64, 0, len(entries))
	for _, entry := range entries {
		weight := math.Inf(1)
		for i, value := range known[entry.Incarnation].capacity.Resources() {
			if value > 0 {
				weight = min(weight, value*counts[i]/sums[i])
			}
		}
		if math.IsInf(weight, 1) {
			weight = 1
		}
		weights = append(weights, weight)
	}
	return weights
}

func areEqual(weights []float64) bool {
	lowest, highest := math.Inf(1), 0.0
	for _, weight := range weights {
		lowest = min(lowest, weight)
		highest = max(highest, weight)
	}
	return highest <= lowest*equalWeights
}

// saturationFactors returns the part of its callers that each entry keeps, and whether any
// keeps less than all.
func saturationFactors(entries []Entry, known map[string]instance, weights []float64) (factors []float64, any bool) {
	all, saturated := 0.0, 0.0
	for i, entry := range entries {
		all += weights[i]
		if known[entry.Incarnation].saturated {
			saturated += weights[i]
		}
	}
	crowding := (saturated/all - fewSaturated) / (mostSaturated - fewSaturated)
	factor := saturatedFactor + (1-saturatedFactor)*min(max(crowding, 0), 1)
	for _, entry := range entries {
		if known[entry.Incarnation].saturated && factor < 1 {
			factors = append(factors, factor)
			any = true
		} else {
			factors = append(factors, 1)
		}
	}
	return factors, any
}

// inclusions returns the probability with which each entry is to be named in an answer of
// count entries: in proportion to its weight, but at most maxInclusion. What the bound takes
// from some entries the others get.
func inclusions(weights []float64, count int) []float64 {
	result := make([]float64, len(weights))
	// Each round bounds at least one more entry, or ends.
	for range weights {
		open, left := 0.0, float64(count)
		for i, weight := range weights {
			if result[i] == maxInclusion {
				left -= maxInclusion
			} else {
				open += weight
			}
		}
		bounded := false
		for i, weight := range weights {
			if result[i] == maxInclusion {
				continue
			}
			result[i] = max(left, 0) * weight / open
			if result[i] >= maxInclusion {
				result[i] = maxInclusion
				bounded = true
			}
		}
		if !bounded {
			break
		}
	}
	return result
}

// drawn is an entry by its index, with the time that it has drawn.
type drawn struct {
	index int
	at    float64
}

// forCaller returns the entries for a caller, in the order of their draws.
func (d *draw) forCaller(caller netip.Addr) []Entry {
	hash := hashAddress(caller)
	var first [maxNearest]drawn
	count := 0
	for i, seed := range d.seeds {
		position := drawPosition(hash, seed)
		if d.count == len(d.entries) && position >= d.kept[i] {
			continue
		}
		next := drawn{
			index: i,
			at:    -math.Log1p(-position) / d.rates[i],
		}
		switch {
		case count < d.count:
			count++
		case next.at >= first[count-1].at:
			continue
		}
		insertDrawn(first[:count], next)
	}
	entries := make([]Entry, 0, count)
	for _, chosen := range first[:count] {
		entries = append(entries, d.entries[chosen.index])
	}
	return entries
}

// insertDrawn puts an entry into a list that is sorted by time. It overwrites the last element.
func insertDrawn(sorted []drawn, next drawn) {
	i := len(sorted) - 1
	for i > 0 && sorted[i-1].at > next.at {
		sorted[i] = sorted[i-1]
		i--
	}
	sorted[i] = next
}

// hashAddress returns the hash of a caller's address. It does not allocate.
func hashAddress(caller netip.Addr) uint64 {
	raw := caller.As16()
	var hash uint64
	for i := 0; i < len(raw); i += 8 {
		var word uint64
		for _, octet := range raw[i : i+8] {
			word = word<<8 | uint64(octet)
		}
		hash = hasher.Mix(hash ^ word)
	}
	return hash
}

// drawPositions is the number of positions of a draw. A float64 holds each of them exactly.
const drawPositions = 1 << 53

// drawPosition returns a pseudorandom number from 0 up to but not including 1.
func drawPosition(hash, seed uint64) float64 {
	return float64(hasher.Mix(hash^bits.RotateLeft64(seed, 32))>>11) / drawPositions
}

// instance is what a draw needs to know of an entry instance beside its Entry.
type instance struct {
	capacity  registrar.Capacity
	saturated bool
}

// instancesOf returns the instances of a source by incarnation.
func instancesOf(source Source) map[string]instance {
	known := make(map[string]instance, len(source.Members))
	for _, member := range source.Members {
		known[member.Incarnation] = instance{
			capacity: member.Capacity,
		}
	}
	for _, incarnation := range source.Saturated {
		found := known[incarnation]
		found.saturated = true
		known[incarnation] = found
	}
	return known
}
