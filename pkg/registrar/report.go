package registrar

// Report is what an upstream tells of itself in the headers of an answer, whether it has
// run the request or not. It is immutable.
type Report struct {
	// Load is the upstream's load; HasLoad says whether the answer tells it.
	Load    Load
	HasLoad bool
}

// Load holds the numbers of requests that all instances together have at an upstream.
type Load struct {
	// Running requests hold a slot of the upstream, and Waiting ones wait for one there.
	Running int
	Waiting int
}

// WithLoad returns a copy that tells a load.
func (r Report) WithLoad(load Load) Report {
	r.Load = load
	r.HasLoad = true
	return r
}

// Total returns the number of requests at the upstream.
func (l Load) Total() int {
	return l.Running + l.Waiting
}
