package picker

import "math"

// Grouped is a candidate for Copies. Candidates of one group, such as a region, are close to
// one another.
type Grouped[R any] interface {
	Hashed[R]
	// Group identifies the candidate's group.
	Group() int
	// Copies returns the number of candidates of the candidate's group that serve the object
	// with a hash, 1 to MaxChoices. It returns 0 if the request gains nothing from a candidate
	// that has served its object before; that holds for all candidates or for none.
	Copies(request R, hash uint64) int
	// Needed returns how many of the copies the demand for the object needs, at least 1.
	Needed(request R, hash uint64) int
	// ExpectedTime returns the expected time to an answer as a multiple of the time that an
	// idle candidate needs.
	ExpectedTime(request R) float64
}

// Copies chooses by rendezvous hashing as Rendezvous does, but among candidates of one group,
// whose number each group sets. The group is that of the candidate with the lowest position
// and distance cost, whatever its load. So load never moves a request to another group, and
// the requests that all instances send to a group for one object meet at the same candidates.
// Requests that gain nothing from that are chosen for by Rendezvous.
type Copies[C Grouped[R], R any] struct {
	Rendezvous[C, R]
	// Salt differs between instances.
	Salt uint64
	// Margin is the advantage in expected time, as a multiple of the time of a request at an
	// idle candidate, that a copy needs to be preferred to the one before by any instance, and
	// Margin and Spread together the one at which all instances prefer it.
	Margin float64
	Spread float64
}

// Pick returns the usable candidate with the lowest cost, load included, among the first
// candidates of the object's group. It returns false if none of these is usable.
func (p Copies[C, R]) Pick(candidates []C, hash uint64, request R) (C, bool) {
	if len(candidates) == 0 || candidates[0].Copies(request, hash) == 0 {
		return p.Rendezvous.Pick(candidates, hash, request)
	}
	nearest, found := p.nearest(candidates, hash, request)
	if !found {
		return nearest, false
	}
	copies := min(nearest.Copies(request, hash), MaxChoices)
	var first [MaxChoices]rankedCandidate[C]
	count := p.firstOfGroup(first[:copies], candidates, hash, request, nearest.Group())
	return p.soonest(first[:count], nearest.Needed(request, hash), hash, request)
}

// soonest returns the usable one of an object's copies, in their order of preference, with the
// lowest expected time. A copy after those that are needed is chosen only if it is better by a
// part of Spread that differs between instances and objects. So as the needed copies get
// slower, one instance after another moves to a later copy: they all see the same figures,
// which are some seconds old, and would otherwise move together, and back together. The first
// request at a later copy is slow, so that a small advantage is not worth it.
func (p Copies[C, R]) soonest(
	copies []rankedCandidate[C],
	needed int,
	hash uint64,
	request R,
) (best C, found bool) {
	lowest := math.Inf(1)
	for rank, choice := range copies {
		if !choice.candidate.Usable(request) {
			continue
		}
		time := choice.candidate.ExpectedTime(request)
		if needed > 1 || rank > 0 {
			time += p.handicap(rank, needed, hashPosition(hash^p.Salt, choice.candidate.Seed()))
		}
		if time < lowest {
			best = choice.candidate
			lowest = time
			found = true
		}
	}
	return best, found
}

// neededSpread is the part of Spread over which the instances are distributed among the needed
// copies.
const neededSpread = 0.1

// handicap returns the expected time that is added to that of the copy with a rank from 0. The
// position is a pseudorandom number that differs between instances.
func (p Copies[C, R]) handicap(rank, needed int, position float64) float64 {
	if rank < needed {
		return p.Spread * neededSpread * position
	}
	return p.Margin + p.Spread*(float64(rank-needed)+position)
}

// Expect returns how many copies the object with a hash has, usable or not, and the lowest of
// their expected times; 0 and 0 for a request that gains nothing from copies, or without an
// eligible candidate.
func (p Copies[C, R]) Expect(candidates []C, hash uint64, request R) (copies int, expected float64) {
	nearest, found := p.nearest(candidates, hash, request)
	if !found || nearest.Copies(request, hash) == 0 {
		return 0, 0
	}
	var first [MaxChoices]rankedCandidate[C]
	most := min(nearest.Copies(request, hash), MaxChoices)
	count := p.firstOfGroup(first[:most], candidates, hash, request, nearest.Group())
	expected = math.Inf(1)
	for _, choice := range first[:count] {
		expected = min(expected, choice.candidate.ExpectedTime(request))
	}
	return count, expected
}

// nearest returns the eligible candidate with the lowest position and distance cost.
func (p Copies[C, R]) nearest(candidates []C, hash uint64, request R) (nearest C, found bool) {
	lowest := math.Inf(1)
	for _, candidate := range candidates {
		// Most candidates cost too much, so the cost is compared before the eligibility.
		cost := p.rankCost(candidate, hash, request)
		if cost >= lowest || !candidate.Eligible(request) {
			continue
		}
		nearest = candidate
		lowest = cost
		found = true
	}
	return nearest, found
}

// firstOfGroup fills first with the eligible candidates of a group that have the lowest
// positions, in their order, and returns how many there are.
func (p Copies[C, R]) firstOfGroup(
	first []rankedCandidate[C],
	candidates []C,
	hash uint64,
	request R,
	group int,
) int {
	count := 0
	for _, candidate := range candidates {
		if candidate.Group() != group {
			continue
		}
		next := rankedCandidate[C]{
			candidate: candidate,
			cost:      hashPosition(hash, candidate.Seed()),
		}
		full := count == len(first)
		if (full && next.cost >= first[count-1].cost) || !candidate.Eligible(request) {
			continue
		}
		if !full {
			count++
		}
		insert(first[:count], next)
	}
	return count
}

// Rank returns the position, from 1, of the candidate that wanted accepts in the order of
// preference for the object with that hash among the candidates of its group. All of them
// count, usable or not, and their loads do not. It returns 0 if wanted accepts none.
func (p Copies[C, R]) Rank(candidates []C, hash uint64, request R, wanted func(C) bool) int {
	for _, candidate := range candidates {
		if wanted(candidate) {
			return p.rankInGroup(candidates, hash, candidate)
		}
	}
	return 0
}

// rankInGroup returns the rank of a candidate (see Rank).
func (p Copies[C, R]) rankInGroup(candidates []C, hash uint64, ranked C) int {
	position := hashPosition(hash, ranked.Seed())
	rank := 1
	for _, other := range candidates {
		if other.Group() == ranked.Group() && hashPosition(hash, other.Seed()) < position {
			rank++
		}
	}
	return rank
}
