package declarer

// Route maps the requests for one host and path prefix to the services that serve
// them.
type Route struct {
	// Name is unique among routes.
	Name string
	// Host is the host name of the requests, in lower case and without port.
	Host string
	// Prefix is a path prefix that starts with a slash and matches whole path segments.
	// Of the prefixes of a host that match a path, the longest applies. "/a/" matches
	// "/a/" and "/a/b", but not the shorter "/a"; "/a" matches all three.
	Prefix string
	// Backends are the services that share the route's requests by their weights; at
	// least one.
	Backends []Backend
	// Idempotence says which of the route's requests are idempotent.
	Idempotence Idempotence `toml:",omitempty"`
	// TimeoutMillis is the longest time that a request may take, in milliseconds; 0
	// means DefaultTimeoutMillis.
	TimeoutMillis int `toml:",omitempty"`
	// ObjectiveMillis is the latency objective: the time within which an answer is
	// worth most to the caller, in milliseconds; 0 means that none is known.
	ObjectiveMillis int `toml:",omitempty"`
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int `toml:",omitempty"`
	// Attempts is the largest number of times that one request is sent, not twice in a
	// row to the same upstream if there is another; 0 means the setting
	// Retries.Attempts.
	Attempts int `toml:",omitempty"`
	// Open says that anybody may use the route: its requests need no key and belong to
	// no team.
	Open bool `toml:",omitempty"`
	// Sticky says that a request runs faster at an upstream that has already handled
	// the object that the request is about.
	Sticky bool `toml:",omitempty"`
	// Homes are the names of the regions in which the route's requests may run. Empty
	// means all regions. Where the team has Homes too, both lists must allow a region.
	Homes []string `toml:",omitempty"`
}

// Backend is one of the services that share a route's requests.
type Backend struct {
	// Service is the name of the service. No two backends of a route name the same one.
	Service string
	// Weight is the service's share of the requests relative to the sum of the weights
	// of all backends; above 0.
	Weight int
}

// ObjectName returns the route's name.
func (r Route) ObjectName() string {
	return r.Name
}

// EffectiveTimeoutMillis returns the timeout of a request in milliseconds: TimeoutMillis, or
// DefaultTimeoutMillis if that is 0.
func (r Route) EffectiveTimeoutMillis() int {
	if r.TimeoutMillis == 0 {
		return DefaultTimeoutMillis
	}
	return r.TimeoutMillis
}

// WithBackends returns a copy whose requests those services share.
func (r Route) WithBackends(backends ...Backend) Route {
	r.Backends = backends
	return r
}

// WithHomes returns a copy whose requests run in the named regions only.
func (r Route) WithHomes(regions ...string) Route {
	r.Homes = regions
	return r
}
