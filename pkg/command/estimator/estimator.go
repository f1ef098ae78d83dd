// Package estimator estimates how long operations take from the durations of recent ones. It
// counts durations by the operation's name and takes no lock.
package estimator

import (
	"sync/atomic"
	"time"
)

const (
	// period is how long a generation of durations is counted. An estimate is based on the
	// current generation and the one before.
	period = 30 * time.Second
	// minSamples is the least number of durations that an estimate is based on.
	minSamples = 20
)

// Estimator counts durations by name. It is safe for concurrent use.
type Estimator struct {
	// view is replaced when a name is new and when a generation ends.
	view atomic.Pointer[view]
}

// New returns an estimator without durations.
func New(now time.Time) *Estimator {
	e := &Estimator{}
	e.view.Store(&view{
		startedAt: now,
	})
	return e
}

// Record counts a duration.
func (e *Estimator) Record(name string, took time.Duration, now time.Time) {
	e.histogram(name, now).add(took)
}

// Estimate returns a duration that recent operations of that name have rarely exceeded. It
// returns false if there are too few of them.
func (e *Estimator) Estimate(name string, now time.Time) (time.Duration, bool) {
	recent := e.view.Load().at(now)
	return highQuantile(recent.current[name], recent.previous[name])
}

// histogram returns the histogram of the current generation for a name.
func (e *Estimator) histogram(name string, now time.Time) *histogram {
	for {
		before := e.view.Load()
		next := before.at(now)
		if _, found := next.current[name]; !found {
			next = next.withName(name)
		}
		if next == before || e.view.CompareAndSwap(before, next) {
			return next.current[name]
		}
	}
}

// view holds two generations of histograms by name. The view and its maps are immutable;
// the histograms of the current generation go on counting.
type view struct {
	startedAt time.Time
	current   map[string]*histogram
	previous  map[string]*histogram
}

// at returns the view that is in force at a time: the same one during its period, and after
// that one with a new current generation, which holds the names that are in use.
func (v *view) at(now time.Time) *view {
	age := now.Sub(v.startedAt)
	if age < period {
		return v
	}
	next := &view{
		startedAt: now,
		current:   map[string]*histogram{},
	}
	if age >= 2*period {
		return next
	}
	next.previous = v.current
	for name, counted := range v.current {
		if counted.total() > 0 {
			next.current[name] = &histogram{}
		}
	}
	return next
}

// withName returns a copy that has a histogram for a further name.
func (v *view) withName(name string) *view {
	next := &view{
		startedAt: v.startedAt,
		current:   make(map[string]*histogram, len(v.current)+1),
		previous:  v.previous,
	}
	for known, counted := range v.current {
		next.current[known] = counted
	}
	next.current[name] = &histogram{}
	return next
}
