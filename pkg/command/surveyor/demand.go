package surveyor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

const (
	// maxCounts bounds the counts of objects of one cache in a survey, and maxPopular the
	// demands of one cache in findings, so that a message keeps to a few KB.
	maxCounts  = 128
	maxPopular = 32
	// maxRates bounds the objects of one cache whose demand is known.
	maxRates = 1024
	// popularFactor is the multiple of the mean demand from which on an object is popular.
	// Others need one copy, or the load shows that all need more.
	popularFactor = 1.5
	// minRate is the demand, in requests a second, below which an object is forgotten.
	minRate = 0.1
	// riseTime and fallTime are the time constants with which a demand follows the counts when
	// it rises and when it falls.
	riseTime = time.Second
	fallTime = 10 * time.Second
)

// objectSum sums the counts of objects by cache.
type objectSum map[admitter.CacheID]map[uint64]uint64

// add adds the counts of a sender.
func (o objectSum) add(digests []admitter.CacheDigest) {
	for _, digest := range digests {
		counts := o[digest.ID]
		if counts == nil {
			counts = map[uint64]uint64{}
			o[digest.ID] = counts
		}
		for _, count := range digest.Popular {
			counts[count.Object] += count.Requests
		}
	}
}

// highest returns the highest counts of a cache, at most maxCounts.
func (o objectSum) highest(id admitter.CacheID) []admitter.ObjectCount {
	counts := make([]admitter.ObjectCount, 0, len(o[id]))
	for object, requests := range o[id] {
		counts = append(counts, admitter.ObjectCount{
			Object:   object,
			Requests: requests,
		})
	}
	slices.SortFunc(counts, func(a, b admitter.ObjectCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Object, b.Object))
	})
	return counts[:min(len(counts), maxCounts)]
}

// rates holds the demand for objects by cache, in requests a second.
type rates map[admitter.CacheID]map[uint64]float64

// update moves the demands towards the counts of a time: a demand that rises follows within
// about a second, one that falls within some ten.
func (r rates) update(sums objectSum, elapsed time.Duration) {
	for id, counts := range sums {
		if r[id] == nil {
			r[id] = map[uint64]float64{}
		}
		for object := range counts {
			if _, known := r[id][object]; !known && len(r[id]) < maxRates {
				r[id][object] = 0
			}
		}
	}
	for id, known := range r {
		for object, before := range known {
			after := follow(before, float64(sums[id][object])/elapsed.Seconds(), elapsed)
			if after < minRate {
				delete(known, object)
				continue
			}
			known[object] = after
		}
		if len(known) == 0 {
			delete(r, id)
		}
	}
}

// follow returns the demand that follows one after some time in which it was current.
func follow(before, current float64, elapsed time.Duration) float64 {
	timeConstant := riseTime
	if current < before {
		timeConstant = fallTime
	}
	return current + (before-current)*math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// popular returns the highest demands of a cache with that many objects, at most maxPopular,
// that are popularFactor times the mean or more.
func (r rates) popular(id admitter.CacheID, objects float64) []admitter.ObjectDemand {
	total := 0.0
	for _, perSecond := range r[id] {
		total += perSecond
	}
	least := popularFactor * total / max(objects, float64(len(r[id])), 1)
	var popular []admitter.ObjectDemand
	for object, perSecond := range r[id] {
		if perSecond >= least {
			popular = append(popular, admitter.ObjectDemand{
				Object:    object,
				PerSecond: perSecond,
			})
		}
	}
	slices.SortFunc(popular, func(a, b admitter.ObjectDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Object, b.Object))
	})
	return popular[:min(len(popular), maxPopular)]
}
