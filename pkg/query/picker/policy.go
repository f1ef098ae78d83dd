// Package picker chooses one of several candidates for a request by a load balancing
// policy. It knows nothing of health, regions or limits: the callers express them by the
// candidates' Usable, Load and DistanceCost.
package picker

// Candidate can be chosen for a request of type R.
type Candidate[R any] interface {
	// Usable reports whether the candidate may be chosen for a request.
	Usable(request R) bool
	// Load returns the candidate's load relative to its capacity, 0 or more. It may
	// exceed 1.
	Load(request R) float64
}

// Policy chooses among candidates. Policies are immutable and safe for concurrent use.
type Policy[C Candidate[R], R any] interface {
	// Pick returns one usable candidate, or false if no candidate is usable. It reads
	// no clock, and the given number is its only source of randomness.
	Pick(candidates []C, random uint64, request R) (C, bool)
}

// PowerOfTwo chooses the less loaded of two random candidates (Mitzenmacher, The Power
// of Two Choices, 2001).
type PowerOfTwo[C Candidate[R], R any] struct{}

// Pick returns the less loaded of two random candidates. If neither is usable, it
// returns the next usable candidate after the first of them.
func (PowerOfTwo[C, R]) Pick(candidates []C, random uint64, request R) (C, bool) {
	count := uint64(len(candidates))
	if count == 0 {
		var zero C
		return zero, false
	}
	first := (random & 0xffffffff) % count
	second := first
	if count > 1 {
		second = (first + 1 + (random>>32)%(count-1)) % count
	}
	a, b := candidates[first], candidates[second]
	switch {
	case a.Usable(request) && b.Usable(request):
		return lessLoaded(a, b, request), true
	case a.Usable(request):
		return a, true
	case b.Usable(request):
		return b, true
	default:
		return nextUsable(candidates, first, request)
	}
}

// Random chooses any usable candidate, whatever its load. It is the baseline that the
// other policies are compared with.
type Random[C Candidate[R], R any] struct{}

// Pick returns the first usable candidate, searching from a random one.
func (Random[C, R]) Pick(candidates []C, random uint64, request R) (C, bool) {
	if len(candidates) == 0 {
		var zero C
		return zero, false
	}
	return nextUsable(candidates, random%uint64(len(candidates)), request)
}

// LeastLoaded chooses the candidate with the lowest load of all. Each pick reads the
// load of every candidate.
type LeastLoaded[C Candidate[R], R any] struct{}

// Pick returns the least loaded usable candidate. The random number breaks ties.
func (LeastLoaded[C, R]) Pick(candidates []C, random uint64, request R) (C, bool) {
	var best C
	found := false
	count := uint64(len(candidates))
	for i := range count {
		candidate := candidates[(random%count+i)%count]
		if !candidate.Usable(request) {
			continue
		}
		if !found || candidate.Load(request) < best.Load(request) {
			best = candidate
			found = true
		}
	}
	return best, found
}

func lessLoaded[C Candidate[R], R any](a, b C, request R) C {
	if b.Load(request) < a.Load(request) {
		return b
	}
	return a
}

// nextUsable returns the first usable candidate from the index start on, wrapping
// around at the end.
func nextUsable[C Candidate[R], R any](candidates []C, start uint64, request R) (C, bool) {
	count := uint64(len(candidates))
	for i := range count {
		candidate := candidates[(start+i)%count]
		if candidate.Usable(request) {
			return candidate, true
		}
	}
	var zero C
	return zero, false
}
