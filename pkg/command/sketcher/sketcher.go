// Package sketcher counts the most frequent objects of requests in a bounded number of
// counters, by space-saving (Metwally, Agrawal and El Abbadi, 2005): an object without a counter
// takes over the lowest one together with its count, so that a count is never too low and a
// frequent object is never missing. The counters are divided into small sets by the object's
// hash, so that recording takes no lock and looks at one set only.
package sketcher

import (
	"sync/atomic"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

const (
	// setSize is the number of counters in a set. The guarantees of space-saving hold within
	// a set.
	setSize = 8
	// maxTries bounds how often a request that loses the lowest counter to another one tries
	// again. After that it is not counted.
	maxTries = 2
)

// Count says how many requests there were for an object.
type Count struct {
	// Object is the hash of the object.
	Object   uint64
	Requests uint64
}

// counter counts the requests for one object. The object 0 means that it is free.
type counter struct {
	object   atomic.Uint64
	requests atomic.Uint64
}

// Sketch counts objects. It is safe for concurrent use.
type Sketch struct {
	sets [][setSize]counter
}

// New returns a sketch with at least as many counters as given.
func New(counters int) *Sketch {
	return &Sketch{
		sets: make([][setSize]counter, max((counters+setSize-1)/setSize, 1)),
	}
}

// Record counts a request for the object with a hash other than 0.
func (s *Sketch) Record(object uint64) {
	set := &s.sets[hasher.Mix(object)%uint64(len(s.sets))]
	for range maxTries {
		found, owner := findCounter(set, object)
		if owner == object || found.object.CompareAndSwap(owner, object) {
			found.requests.Add(1)
			return
		}
	}
}

// findCounter returns the counter of an object, or else the lowest one of its set, and the
// object that owns it.
func findCounter(set *[setSize]counter, object uint64) (found *counter, owner uint64) {
	lowest := ^uint64(0)
	for i := range set {
		candidate := &set[i]
		held := candidate.object.Load()
		if held == object {
			return candidate, held
		}
		if requests := candidate.requests.Load(); requests < lowest {
			found = candidate
			owner = held
			lowest = requests
		}
	}
	return found, owner
}

// Take returns the counts since the call before, in no particular order. A request that is
// recorded meanwhile may be counted for another object of its set.
func (s *Sketch) Take() []Count {
	var counts []Count
	for i := range s.sets {
		for j := range s.sets[i] {
			object := s.sets[i][j].object.Swap(0)
			requests := s.sets[i][j].requests.Swap(0)
			if object == 0 || requests == 0 {
				continue
			}
			counts = append(counts, Count{
				Object:   object,
				Requests: requests,
			})
		}
	}
	return counts
}
