package picker

import (
	"math/bits"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Keyed is a candidate that is chosen by what a request is about.
type Keyed[A any] interface {
	Candidate[A]
	// Seed names the candidate. It is the same at all instances.
	Seed() uint64
	// Far is the cost of the way to the candidate for an ask, in parts of the range of
	// the hash.
	Far(ask A) float64
}

// MaxChoices bounds ByKey.Choices.
const MaxChoices = 8

// ByKey chooses by rendezvous hashing (Thaler and Ravishankar, 1998) with distance
// and bounded choices: all instances that ask for the same key from the same place
// prefer the same candidates in the same order. Load decides only among the first
// few of them, so that a key stays with those that know it, also while all are
// loaded. The random number is the hash of the key.
type ByKey[C Keyed[A], A any] struct {
	// Choices is among how many candidates load decides; 1 to MaxChoices.
	Choices int
	// FreeLoad is the load up to which a candidate keeps its keys.
	FreeLoad float64
	// LoadWeight is what each unit of load beyond FreeLoad costs, where the whole
	// range of the hash is 1.
	LoadWeight float64
}

// choice is a candidate and its cost.
type choice[C any] struct {
	candidate C
	cost      float64
}

// Pick returns the usable candidate with the lowest cost for the key.
func (p ByKey[C, A]) Pick(candidates []C, key uint64, ask A) (C, bool) {
	var first [MaxChoices]choice[C]
	count := 0
	for _, candidate := range candidates {
		if !candidate.Usable(ask) {
			continue
		}
		next := choice[C]{
			candidate: candidate,
			cost:      position(key, candidate.Seed()) + candidate.Far(ask),
		}
		if count < p.Choices {
			count++
		} else if next.cost >= first[count-1].cost {
			continue
		}
		insert(first[:count], next)
	}
	if count == 0 {
		var none C
		return none, false
	}
	return p.lightest(first[:count], ask), true
}

// insert puts a choice in its place in the order of costs. The last one is lost.
func insert[C any](sorted []choice[C], next choice[C]) {
	at := len(sorted) - 1
	for at > 0 && sorted[at-1].cost > next.cost {
		sorted[at] = sorted[at-1]
		at--
	}
	sorted[at] = next
}

// lightest returns the choice with the lowest cost when load counts too.
func (p ByKey[C, A]) lightest(choices []choice[C], ask A) C {
	best := choices[0].candidate
	lowest := choices[0].cost + p.loadCost(best, ask)
	for _, other := range choices[1:] {
		cost := other.cost + p.loadCost(other.candidate, ask)
		if cost < lowest {
			best = other.candidate
			lowest = cost
		}
	}
	return best
}

func (p ByKey[C, A]) loadCost(candidate C, ask A) float64 {
	return p.LoadWeight * max(candidate.Load(ask)-p.FreeLoad, 0)
}

// unit is the number of positions in the range of the hash.
const unit = 1 << 53

// position returns where a candidate stands in the order of a key, from 0 to 1.
func position(key, seed uint64) float64 {
	return float64(hasher.Mix(key^bits.RotateLeft64(seed, 32))>>11) / unit
}
