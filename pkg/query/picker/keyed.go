package picker

import (
	"math/bits"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Keyed is a candidate that is chosen by the key of a request, such as the object that
// the request is about.
type Keyed[R any] interface {
	Candidate[R]
	// Seed identifies the candidate in the hash. All instances use the same seed.
	Seed() uint64
	// Distance returns the cost of the distance between a request and the candidate, as a
	// fraction of the hash range.
	Distance(request R) float64
}

// MaxChoices is the highest value of Rendezvous.Choices.
const MaxChoices = 8

// Rendezvous chooses by rendezvous hashing (Thaler and Ravishankar, 1998), to which it
// adds a cost for distance and a bound on the choices. All instances of one failure
// domain rank the candidates of a key in the same order. Load decides only among the
// first few candidates of that order, so that a key stays with the candidates that have
// served it before, even while all candidates are loaded. The random number of Pick is
// the hash of the key.
type Rendezvous[C Keyed[R], R any] struct {
	// Choices is the number of candidates among which load decides; 1 to MaxChoices.
	Choices int
	// FreeLoad is the load up to which a candidate keeps its keys.
	FreeLoad float64
	// LoadWeight is the cost of each unit of load beyond FreeLoad, as a fraction of the
	// hash range.
	LoadWeight float64
}

// rankedCandidate is a candidate and its cost for a request, without the cost of load.
type rankedCandidate[C any] struct {
	candidate C
	cost      float64
}

// Pick returns the candidate with the lowest cost, load included, among the first
// Choices usable candidates of the key.
func (p Rendezvous[C, R]) Pick(candidates []C, key uint64, request R) (C, bool) {
	var cheapest [MaxChoices]rankedCandidate[C]
	count := 0
	for _, candidate := range candidates {
		if !candidate.Usable(request) {
			continue
		}
		next := rankedCandidate[C]{
			candidate: candidate,
			cost:      hashPosition(key, candidate.Seed()) + candidate.Distance(request),
		}
		if count < p.Choices {
			count++
		} else if next.cost >= cheapest[count-1].cost {
			continue
		}
		insert(cheapest[:count], next)
	}
	if count == 0 {
		var zero C
		return zero, false
	}
	return p.lowestCost(cheapest[:count], request), true
}

// insert puts a candidate into a list that is sorted by cost. It overwrites the last
// element.
func insert[C any](sorted []rankedCandidate[C], next rankedCandidate[C]) {
	i := len(sorted) - 1
	for i > 0 && sorted[i-1].cost > next.cost {
		sorted[i] = sorted[i-1]
		i--
	}
	sorted[i] = next
}

// lowestCost returns the candidate with the lowest sum of cost and load cost.
func (p Rendezvous[C, R]) lowestCost(ranked []rankedCandidate[C], request R) C {
	best := ranked[0].candidate
	lowest := ranked[0].cost + p.loadCost(best, request)
	for _, other := range ranked[1:] {
		cost := other.cost + p.loadCost(other.candidate, request)
		if cost < lowest {
			best = other.candidate
			lowest = cost
		}
	}
	return best
}

func (p Rendezvous[C, R]) loadCost(candidate C, request R) float64 {
	return p.LoadWeight * max(candidate.Load(request)-p.FreeLoad, 0)
}

// hashRange is the number of hash positions. A float64 holds each of them exactly.
const hashRange = 1 << 53

// hashPosition returns the rank of a candidate in the order of a key, from 0 up to but
// not including 1.
func hashPosition(key, seed uint64) float64 {
	return float64(hasher.Mix(key^bits.RotateLeft64(seed, 32))>>11) / hashRange
}
