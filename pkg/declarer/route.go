package declarer

// Route leads the requests of one host and path prefix to services.
type Route struct {
	// Name is unique among routes.
	Name string
	// Host is in lower case and without port.
	Host string
	// Prefix starts with a slash. Of the prefixes of a host that begin a path, the
	// longest counts. One that ends with a slash matches nothing shorter.
	Prefix string
	// Backends share the route's requests by their weights; at least one.
	Backends []Backend
	// Idempotence says how to know whether a request is idempotent.
	Idempotence Idempotence `toml:",omitempty"`
	// TimeoutMillis is the longest a request may take, in milliseconds; 0 means
	// DefaultTimeoutMillis.
	TimeoutMillis int `toml:",omitempty"`
	// ObjectiveMillis is the time within which an answer is worth most to the
	// caller, in milliseconds; 0 means that no such time is known.
	ObjectiveMillis int `toml:",omitempty"`
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int `toml:",omitempty"`
	// Attempts is to how many upstreams one request is sent at most; 0 leaves it to
	// the settings.
	Attempts int `toml:",omitempty"`
	// Open says that anybody may use the route, without a key.
	Open bool `toml:",omitempty"`
	// Sticky says that an upstream that knows the object of a request works faster.
	Sticky bool `toml:",omitempty"`
	// Homes are the regions in which requests may run. Empty means all.
	Homes []string `toml:",omitempty"`
}

// Backend is one of the services that share a route's requests.
type Backend struct {
	// Service names the service.
	Service string
	// Weight is its share, in relation to the other weights; above 0.
	Weight int
}

// ObjectName returns the route's name.
func (r Route) ObjectName() string {
	return r.Name
}

// LimitMillis returns the longest a request may take, in milliseconds.
func (r Route) LimitMillis() int {
	if r.TimeoutMillis == 0 {
		return DefaultTimeoutMillis
	}
	return r.TimeoutMillis
}

// WithBackends returns a copy that other services share.
func (r Route) WithBackends(backends ...Backend) Route {
	r.Backends = backends
	return r
}

// WithHomes returns a copy whose requests run in the named regions only.
func (r Route) WithHomes(regions ...string) Route {
	r.Homes = regions
	return r
}
