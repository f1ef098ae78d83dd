// Package hasher turns names into numbers that are the same at all instances.
package hasher

const (
	basis = 14695981039346656037
	prime = 1099511628211
)

// Sum returns the FNV-1a hash of texts, as if they were one. It makes no allocation.
func Sum(texts ...string) uint64 {
	hash := uint64(basis)
	for _, text := range texts {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * prime
		}
	}
	return hash
}

// Mix spreads the bits of a number (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
