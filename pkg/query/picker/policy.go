// Package picker chooses one of several candidates by a policy.
package picker

// Candidate is something that can be chosen.
type Candidate interface {
	// Usable says whether the candidate may be chosen now.
	Usable() bool
	// Load is the part of the candidate's capacity in use, from 0 up.
	Load() float64
}

// Policy chooses among candidates. Policies are immutable and safe for many
// goroutines.
type Policy[C Candidate] interface {
	// Pick returns one usable candidate, and false if there is none. It reads no
	// clock and no random source but the given random number.
	Pick(candidates []C, random uint64) (C, bool)
}

// PowerOfTwo chooses the less loaded of two candidates taken at random
// (Mitzenmacher, The Power of Two Choices, 2001). It is the default.
type PowerOfTwo[C Candidate] struct{}

// Pick returns the less loaded of two random candidates. If neither is usable it
// returns the next usable one.
func (PowerOfTwo[C]) Pick(candidates []C, random uint64) (C, bool) {
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
	case a.Usable() && b.Usable():
		return lessLoaded(a, b), true
	case a.Usable():
		return a, true
	case b.Usable():
		return b, true
	default:
		return nextUsable(candidates, first)
	}
}

// Random chooses any usable candidate. It is the simplest baseline.
type Random[C Candidate] struct{}

// Pick returns a random usable candidate.
func (Random[C]) Pick(candidates []C, random uint64) (C, bool) {
	if len(candidates) == 0 {
		var none C
		return none, false
	}
	return nextUsable(candidates, random%uint64(len(candidates)))
}

// LeastLoaded chooses the candidate with the lowest load of all. It reads every
// candidate for each pick.
type LeastLoaded[C Candidate] struct{}

// Pick returns the least loaded usable candidate; random breaks ties.
func (LeastLoaded[C]) Pick(candidates []C, random uint64) (C, bool) {
	var best C
	found := false
	count := uint64(len(candidates))
	for i := range count {
		candidate := candidates[(random%count+i)%count]
		if !candidate.Usable() {
			continue
		}
		if !found || candidate.Load() < best.Load() {
			best = candidate
			found = true
		}
	}
	return best, found
}

func lessLoaded[C Candidate](a, b C) C {
	if b.Load() < a.Load() {
		return b
	}
	return a
}

func nextUsable[C Candidate](candidates []C, from uint64) (C, bool) {
	count := uint64(len(candidates))
	for i := range count {
		candidate := candidates[(from+i)%count]
		if candidate.Usable() {
			return candidate, true
		}
	}
	var none C
	return none, false
}
