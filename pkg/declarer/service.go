package declarer

// DefaultTimeoutMillis is the longest time that a request may take, in milliseconds,
// when none is declared.
const DefaultTimeoutMillis = 10_000

// Service is an application that callers reach by the host name of their requests, or
// by a Route.
type Service struct {
	// Name is unique among services.
	Name string
	// Hosts are the host names of the service, in lower case and without port. Requests
	// for them go to the service without a Route. Empty means only the service's name.
	// No two services have the same host name.
	Hosts []string `toml:",omitempty"`
	// Version is the name of the version that serves the requests. It is a version of
	// this service. Where upstreams register themselves it is empty: then all versions
	// of the service serve requests. During a move, its new version gets the move's
	// Share only.
	Version string
	// TimeoutMillis is the longest time that a request for one of Hosts may take, in
	// milliseconds; 0 means DefaultTimeoutMillis. Requests that come by a Route have
	// the timeout of the Route.
	TimeoutMillis int `toml:",omitempty"`
	// Registered says that upstreams register themselves with the platform. Then
	// Version is empty, Hosts does not apply, and only a Route leads to the service.
	// Package checker does not accept an empty Version, so only a declaration that the
	// platform itself keeps can have such a service.
	Registered bool `toml:",omitempty"`
	// Connections is the limit on open connections to each registered upstream, from
	// all instances together; 0 means DefaultConnections.
	Connections int `toml:",omitempty"`
	// ColdPerSecond is the rate that a registered upstream can handle while it is cold,
	// in requests a second from all instances together; 0 means no such limit.
	ColdPerSecond float64 `toml:",omitempty"`
	// ColdMillis is how long a registered upstream stays cold after it has started or
	// come back, in milliseconds.
	ColdMillis int `toml:",omitempty"`
	// Routes are rules for parts of the service, by path. They apply to requests for one
	// of Hosts. The rule with the longest matching prefix applies; a request that no
	// rule matches needs a key and is idempotent if its method is.
	Routes []PathRule `toml:",omitempty"`
}

// Idempotence says which requests of a route are idempotent.
type Idempotence string

// The values of Idempotence. An empty one means ByMethod.
const (
	// ByMethod means that a request is idempotent if its method is by RFC 9110, section
	// 9.2.2.
	ByMethod Idempotence = "ByMethod"
	// Always means that every request of the route is idempotent.
	Always Idempotence = "Always"
	// Never means that no request of the route is idempotent.
	Never Idempotence = "Never"
)

// PathRule says how requests for the paths below a prefix of a service are treated.
type PathRule struct {
	// Prefix is a path prefix that starts with a slash and matches whole path segments.
	// No two rules of a service have the same one.
	Prefix string
	// Open says that anybody may use these paths: requests need no key and belong to no
	// team.
	Open bool `toml:",omitempty"`
	// Idempotence says which of the requests are idempotent.
	Idempotence Idempotence `toml:",omitempty"`
}

// ObjectName returns the service's name.
func (s Service) ObjectName() string {
	return s.Name
}

// HostNames returns the host names that lead to the service without a Route: none if
// upstreams register themselves.
func (s Service) HostNames() []string {
	if s.Registered {
		return nil
	}
	if len(s.Hosts) == 0 {
		return []string{s.Name}
	}
	return s.Hosts
}

// EffectiveTimeoutMillis returns the timeout of a request in milliseconds: TimeoutMillis, or
// DefaultTimeoutMillis if that is 0.
func (s Service) EffectiveTimeoutMillis() int {
	if s.TimeoutMillis == 0 {
		return DefaultTimeoutMillis
	}
	return s.TimeoutMillis
}

// WithVersion returns a copy whose requests that version serves.
func (s Service) WithVersion(version string) Service {
	s.Version = version
	return s
}

// WithRoutes returns a copy with those path rules only.
func (s Service) WithRoutes(routes ...PathRule) Service {
	s.Routes = routes
	return s
}
