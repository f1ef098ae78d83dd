// Package enumerator estimates how many distinct objects the requests of several instances
// concern, by linear counting (Whang, Vander-Zanden and Taylor, 1990). Counting a request
// takes no lock and does not allocate. It knows nothing of services, regions and links: its
// callers keep one Enumerator for each group of requests and exchange its Digests.
package enumerator

import (
	"math"
	"math/bits"
)

const (
	// Words is the number of 64-bit words in the bitmap of a digest. 1,024 bits estimate
	// up to some 4,000 objects and take 128 bytes in a message.
	Words = 16
	// bitCount is the number of bits in the bitmap.
	bitCount = Words * 64
	// minClearBits is the least number of clear bits that an estimate is based on. With
	// fewer, one bit more or less changes the estimate by over a tenth.
	minClearBits = 8
	// minRepeats is the least number of samples for each distinct object that an estimate
	// is based on. With fewer, nearly all samples are new objects, and how many more there
	// are is unknown.
	minRepeats = 1.25
)

// Digest says which objects requests have concerned, and how many requests there were. It
// is an immutable value; its zero value says that there were none.
type Digest struct {
	// Samples is the number of requests.
	Samples uint64
	// Bits has one bit for each possible value of a hash of an object, modulo its size.
	Bits [Words]uint64
}

// WithMerged returns the digest of the requests of both. Their requests must not be the same.
func (d Digest) WithMerged(other Digest) Digest {
	d.Samples += other.Samples
	for i, word := range other.Bits {
		d.Bits[i] |= word
	}
	return d
}

// Objects returns an estimate of how many objects such requests concern, including those
// that no request has concerned yet. It returns false if there are too few requests, or too
// many objects, for an estimate.
func (d Digest) Objects() (float64, bool) {
	seen, known := d.seen()
	if !known || float64(d.Samples) < minRepeats*seen {
		return 0, false
	}
	return extrapolate(float64(d.Samples), seen), true
}

// seen returns an estimate of the number of distinct objects in the digest, or false if there
// are none or too many of them.
func (d Digest) seen() (float64, bool) {
	set := 0
	for _, word := range d.Bits {
		set += bits.OnesCount64(word)
	}
	clearBits := bitCount - set
	if set == 0 || clearBits < minClearBits {
		return 0, false
	}
	return -bitCount * math.Log(float64(clearBits)/bitCount), true
}

// extrapolate returns how many equally popular objects there are if that many samples show
// seen of them: the solution n of seen = n(1-exp(-samples/n)). Objects of unequal popularity
// give a lower result, which is at least seen.
func extrapolate(samples, seen float64) float64 {
	const (
		maxSamplesEach = 64.0
		steps          = 40
	)
	repeats := samples / seen
	low, high := 0.0, maxSamplesEach
	for range steps {
		each := (low + high) / 2
		if each/-math.Expm1(-each) < repeats {
			low = each
		} else {
			high = each
		}
	}
	return max(samples/high, seen)
}
