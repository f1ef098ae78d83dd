package picker

import "math/bits"

// Keyed is a candidate that is chosen by what a request is about.
type Keyed[A any] interface {
	Candidate[A]
	// Seed names the candidate. It is the same at all instances.
	Seed() uint64
	// Far is the cost of the way to the candidate, in the unit of load.
	Far() float64
}

// ByKey chooses by rendezvous hashing (Thaler and Ravishankar, 1998) with load and
// distance: all instances that ask for the same key prefer the same candidates in
// the same order, and one that is loaded or far gives way to the next. The random
// number is the hash of the key.
type ByKey[C Keyed[A], A any] struct {
	// FreeLoad is the load up to which a candidate keeps its keys.
	FreeLoad float64
	// LoadWeight is what each unit of load beyond FreeLoad costs, where the whole
	// range of the hash is 1.
	LoadWeight float64
}

// Pick returns the usable candidate with the lowest cost for the key.
func (p ByKey[C, A]) Pick(candidates []C, key uint64, ask A) (C, bool) {
	var best C
	lowest := 0.0
	found := false
	for _, candidate := range candidates {
		if !candidate.Usable(ask) {
			continue
		}
		cost := p.cost(candidate, key, ask)
		if !found || cost < lowest {
			best = candidate
			lowest = cost
			found = true
		}
	}
	return best, found
}

func (p ByKey[C, A]) cost(candidate C, key uint64, ask A) float64 {
	return position(key, candidate.Seed()) +
		p.LoadWeight*max(candidate.Load(ask)-p.FreeLoad, 0) +
		candidate.Far()
}

// unit is the number of positions in the range of the hash.
const unit = 1 << 53

// position returns where a candidate stands in the order of a key, from 0 to 1.
func position(key, seed uint64) float64 {
	return float64(mix(key^bits.RotateLeft64(seed, 32))>>11) / unit
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
