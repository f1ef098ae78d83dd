package estimator

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBucketBits says into how many buckets, as a power of two, each doubling of the
	// duration is divided.
	subBucketBits = 2
	subBuckets    = 1 << subBucketBits
	// maxMillisBits is the number of bits of the longest duration that is told apart from
	// longer ones, in milliseconds; 17 bits are 131 s.
	maxMillisBits = 17
	maxMillis     = 1<<maxMillisBits - 1
	bucketCount   = (maxMillisBits - subBucketBits + 1) * subBuckets
	// percentile is the percentile that highQuantile returns.
	percentile = 99
)

// histogram counts durations in buckets whose width grows with the duration: the bounds of
// a bucket differ by a quarter at most, or by a millisecond.
type histogram struct {
	counts [bucketCount]atomic.Uint32
}

// add counts a duration, which is rounded up to whole milliseconds.
func (h *histogram) add(took time.Duration) {
	millis := (took + time.Millisecond - 1).Milliseconds()
	h.counts[bucketOf(min(max(millis, 0), maxMillis))].Add(1)
}

func (h *histogram) total() uint64 {
	sum := uint64(0)
	for i := range h.counts {
		sum += uint64(h.counts[i].Load())
	}
	return sum
}

// bucketOf returns the index of the bucket for a number of milliseconds from 0 to maxMillis.
func bucketOf(millis int64) int {
	doublings := bits.Len64(uint64(millis)) - 1 - subBucketBits
	if doublings < 0 {
		return int(millis)
	}
	return doublings*subBuckets + int(millis>>doublings)
}

// longestIn returns the longest duration that is counted in a bucket.
func longestIn(bucket int) time.Duration {
	doublings := max(bucket/subBuckets-1, 0)
	first := int64(bucket - doublings*subBuckets)
	millis := (first+1)<<doublings - 1
	return time.Duration(millis) * time.Millisecond
}

// highQuantile returns the duration that percentile of 100 operations counted in the
// histograms have not exceeded, rounded up to the bound of a bucket. It returns false if
// fewer than minSamples are counted. Nil histograms are empty.
func highQuantile(histograms ...*histogram) (time.Duration, bool) {
	total := uint64(0)
	for _, counted := range histograms {
		if counted != nil {
			total += counted.total()
		}
	}
	if total < minSamples {
		return 0, false
	}
	rank := (total*percentile + 99) / 100
	below := uint64(0)
	for bucket := range bucketCount {
		for _, counted := range histograms {
			if counted != nil {
				below += uint64(counted.counts[bucket].Load())
			}
		}
		if below >= rank {
			return longestIn(bucket), true
		}
	}
	return longestIn(bucketCount - 1), true
}
