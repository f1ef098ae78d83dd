package registrar

import "time"

// Report is what an upstream tells of itself in the headers of an answer, whether it has
// run the request or not. It is immutable.
type Report struct {
	// Load is the upstream's load; HasLoad says whether the answer tells it.
	Load    Load
	HasLoad bool
	// LimitPerSecond is how many requests per second the upstream takes from all instances
	// together, 0 or more; HasLimit says whether the answer states such a limit.
	LimitPerSecond float64
	HasLimit       bool
	// Leaving says that the upstream is about to stop.
	Leaving bool
	// RetryAt is the time before which the upstream, which has turned the request away,
	// takes no more requests from this instance; zero if the answer names none.
	RetryAt time.Time
}

// Load holds the numbers of requests that all instances together have at an upstream.
type Load struct {
	// Running requests hold a slot of the upstream, and Waiting ones wait for one there.
	Running int
	Waiting int
	// Slots is the number of requests that the upstream runs at once; 0 if it does not tell.
	Slots int
	// Slowdown is how long work takes at the upstream at this moment, as a multiple of what is
	// usual there; 0 if it does not tell.
	Slowdown float64
}

// WithLoad returns a copy that tells a load.
func (r Report) WithLoad(load Load) Report {
	r.Load = load
	r.HasLoad = true
	return r
}

// WithLimit returns a copy that states a limit.
func (r Report) WithLimit(perSecond float64) Report {
	r.LimitPerSecond = perSecond
	r.HasLimit = true
	return r
}

// WithLeaving returns a copy that says whether the upstream is about to stop.
func (r Report) WithLeaving(leaving bool) Report {
	r.Leaving = leaving
	return r
}

// WithRetryAt returns a copy with the time before which the upstream takes no more requests
// from this instance.
func (r Report) WithRetryAt(at time.Time) Report {
	r.RetryAt = at
	return r
}

// Total returns the number of requests at the upstream.
func (l Load) Total() int {
	return l.Running + l.Waiting
}
