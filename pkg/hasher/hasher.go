// Package hasher hashes names to numbers that are the same at all instances, whatever
// their version.
package hasher

// The parameters of the 64-bit FNV-1a hash.
const (
	offsetBasis = 14695981039346656037
	prime       = 1099511628211
)

// Sum returns the 64-bit FNV-1a hash of the concatenation of texts. It does not
// allocate.
func Sum(texts ...string) uint64 {
	hash := uint64(offsetBasis)
	for _, text := range texts {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * prime
		}
	}
	return hash
}

// Mix spreads the bits of x over the whole result. It is the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
