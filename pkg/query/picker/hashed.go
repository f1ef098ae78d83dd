package picker

import (
	"math"
	"math/bits"
	"slices"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Hashed is a candidate for Rendezvous, which chooses by the hash of the object that a
// request concerns.
type Hashed[R any] interface {
	Candidate[R]
	// Seed identifies the candidate in the hash. All instances use the same seed.
	Seed() uint64
	// DistanceCost returns the cost of the distance between this instance and the candidate,
	// as a fraction of the hash range, which is from 0 to 1. It is 0 if the distance does
	// not count for the request.
	DistanceCost(request R) float64
	// Eligible reports whether the candidate counts among the choices for a request. Each
	// usable candidate is eligible. One that is eligible and not usable keeps its place
	// among the choices but is not chosen.
	Eligible(request R) bool
}

// MaxChoices is the highest value of Rendezvous.Choices.
const MaxChoices = 8

// Rendezvous chooses by rendezvous hashing (Thaler and Ravishankar, 1998), to which it
// adds a cost for distance and a bound on the choices. All instances of one failure
// domain rank the candidates for an object in the same order. Load decides only among the
// first few candidates of that order, so that an object stays with the candidates that
// have served it before, even while all candidates are loaded. Pick gets the object's
// hash in place of a random number.
type Rendezvous[C Hashed[R], R any] struct {
	// Choices is the number of candidates among which load decides; 1 to MaxChoices.
	Choices int
	// FreeLoad is the load up to which a candidate's load costs nothing.
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

// Pick returns the usable candidate with the lowest cost, load included, among the first
// Choices eligible candidates for the object with that hash. It returns false if none of
// these is usable.
func (p Rendezvous[C, R]) Pick(candidates []C, hash uint64, request R) (C, bool) {
	var cheapest [MaxChoices]rankedCandidate[C]
	count := 0
	for _, candidate := range candidates {
		if !candidate.Eligible(request) {
			continue
		}
		next := rankedCandidate[C]{
			candidate: candidate,
			cost:      p.rankCost(candidate, hash, request),
		}
		if count < p.Choices {
			count++
		} else if next.cost >= cheapest[count-1].cost {
			continue
		}
		insert(cheapest[:count], next)
	}
	return p.lowestCost(cheapest[:count], request)
}

// Rank returns the position, from 1, of the candidate that wanted accepts in the order of
// preference for the object with that hash. All candidates count, usable or not, and their
// loads do not. It returns 0 if wanted accepts none.
func (p Rendezvous[C, R]) Rank(candidates []C, hash uint64, request R, wanted func(C) bool) int {
	found := slices.IndexFunc(candidates, wanted)
	if found < 0 {
		return 0
	}
	cost := p.rankCost(candidates[found], hash, request)
	rank := 1
	for _, other := range candidates {
		if p.rankCost(other, hash, request) < cost {
			rank++
		}
	}
	return rank
}

// rankCost returns the cost of a candidate for an object, without the cost of load.
func (Rendezvous[C, R]) rankCost(candidate C, hash uint64, request R) float64 {
	return hashPosition(hash, candidate.Seed()) + candidate.DistanceCost(request)
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

// lowestCost returns the usable candidate whose position, distance and load cost least
// together, or false if none is usable.
func (p Rendezvous[C, R]) lowestCost(ranked []rankedCandidate[C], request R) (best C, found bool) {
	lowest := math.Inf(1)
	for _, choice := range ranked {
		if !choice.candidate.Usable(request) {
			continue
		}
		cost := choice.cost + p.loadCost(choice.candidate, request)
		if cost < lowest {
			best = choice.candidate
			lowest = cost
			found = true
		}
	}
	return best, found
}

// loadCost returns the cost of a candidate's load beyond FreeLoad.
func (p Rendezvous[C, R]) loadCost(candidate C, request R) float64 {
	return p.LoadWeight * max(candidate.Load(request)-p.FreeLoad, 0)
}

// hashPositions is the number of hash positions. A float64 holds each of them exactly.
const hashPositions = 1 << 53

// hashPosition returns the position of a candidate for an object: a pseudorandom number
// from 0 up to but not including 1. Lower positions are preferred.
func hashPosition(hash, seed uint64) float64 {
	return float64(hasher.Mix(hash^bits.RotateLeft64(seed, 32))>>11) / hashPositions
}
