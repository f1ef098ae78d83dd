// Package picker chooses one of several candidates by a policy.
package picker

// Candidate is something that can be chosen for an ask of type A.
type Candidate[A any] interface {
	// Usable says whether the candidate may be chosen for an ask.
	Usable(ask A) bool
	// Load is the part of the candidate's capacity in use, from 0 up.
	Load(ask A) float64
}

// Policy chooses among candidates. Policies are immutable and safe for many
// goroutines.
type Policy[C Candidate[A], A any] interface {
	// Pick returns one usable candidate, and false if there is none. It reads no
	// clock and no random source but the given random number.
	Pick(candidates []C, random uint64, ask A) (C, bool)
}

// PowerOfTwo chooses the less loaded of two candidates taken at random
// (Mitzenmacher, The Power of Two Choices, 2001).
type PowerOfTwo[C Candidate[A], A any] struct{}

// Pick returns the less loaded of two random candidates. If neither is usable it
// returns the next usable one.
func (PowerOfTwo[C, A]) Pick(candidates []C, random uint64, ask A) (C, bool) {
	count := uint64(len(candidates))
	if count == 0 {
		var none C
		return none, false
	}
	first := (random & 0xffffffff) % count
	second := first
	if count > 1 {
		second = (first + 1 + (random>>32)%(count-1)) % count
	}
	a, b := candidates[first], candidates[second]
	switch {
	case a.Usable(ask) && b.Usable(ask):
		return lessLoaded(a, b, ask), true
	case a.Usable(ask):
		return a, true
	case b.Usable(ask):
		return b, true
	default:
		return nextUsable(candidates, first, ask)
	}
}

// Random chooses any usable candidate. It is the simplest baseline.
type Random[C Candidate[A], A any] struct{}

// Pick returns a random usable candidate.
func (Random[C, A]) Pick(candidates []C, random uint64, ask A) (C, bool) {
	if len(candidates) == 0 {
		var none C
		return none, false
	}
	return nextUsable(candidates, random%uint64(len(candidates)), ask)
}

// LeastLoaded chooses the candidate with the lowest load of all. It reads every
// candidate for each pick.
type LeastLoaded[C Candidate[A], A any] struct{}

// Pick returns the least loaded usable candidate; random breaks ties.
func (LeastLoaded[C, A]) Pick(candidates []C, random uint64, ask A) (C, bool) {
	var best C
	found := false
	count := uint64(len(candidates))
	for i := range count {
		candidate := candidates[(random%count+i)%count]
		if !candidate.Usable(ask) {
			continue
		}
		if !found || candidate.Load(ask) < best.Load(ask) {
			best = candidate
			found = true
		}
	}
	return best, found
}

func lessLoaded[C Candidate[A], A any](a, b C, ask A) C {
	if b.Load(ask) < a.Load(ask) {
		return b
	}
	return a
}

func nextUsable[C Candidate[A], A any](candidates []C, from uint64, ask A) (C, bool) {
	count := uint64(len(candidates))
	for i := range count {
		candidate := candidates[(from+i)%count]
		if candidate.Usable(ask) {
			return candidate, true
		}
	}
	var none C
	return none, false
}
