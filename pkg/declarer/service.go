package declarer

// DefaultTimeoutMillis is a service's time limit for a request, in
// milliseconds, when none is declared.
const DefaultTimeoutMillis = 10_000

// Service is something callers ask for, by the host name of their request.
type Service struct {
	// Name is unique among services.
	Name string
	// Hosts are the host names that lead to the service, in lower case and
	// without port. Empty means just the service's name. No host leads to two
	// services.
	Hosts []string `toml:",omitempty"`
	// Version names the version that serves the requests. It belongs to this
	// service. Empty, where upstreams register themselves, means all versions
	// but those that a move holds back.
	Version string
	// TimeoutMillis is the longest a request may take, in milliseconds; 0 means
	// DefaultTimeoutMillis.
	TimeoutMillis int `toml:",omitempty"`
	// Registered says that upstreams register themselves; then Version is empty and
	// no host leads to the service but by a Route.
	Registered bool `toml:",omitempty"`
	// Connections bounds the open connections to each registered upstream, of all
	// instances together; 0 means DefaultConnections.
	Connections int `toml:",omitempty"`
	// ColdPerSecond is how many requests a second, of all instances together, a
	// registered upstream bears while it is cold; 0 means no such limit.
	ColdPerSecond float64 `toml:",omitempty"`
	// ColdMillis is how long a registered upstream is cold after it has started or
	// come back, in milliseconds.
	ColdMillis int `toml:",omitempty"`
	// Routes refine how requests are treated. The longest matching prefix
	// counts; without a match a request needs a key and is idempotent if its
	// method is.
	Routes []PathRule `toml:",omitempty"`
}

// Idempotence says how the idempotence of a route's requests is known.
type Idempotence string

// The ways to know whether a request is idempotent.
const (
	// ByMethod follows RFC 9110, section 9.2.2. The empty string means the same.
	ByMethod Idempotence = "ByMethod"
	// Always says that every request of the route is idempotent.
	Always Idempotence = "Always"
	// Never says that no request of the route is idempotent.
	Never Idempotence = "Never"
)

// PathRule refines how the requests of a part of a service are treated, by path.
type PathRule struct {
	// Prefix starts with a slash. It matches whole path segments.
	Prefix string
	// Open says that anybody may use the part, without a key.
	Open bool `toml:",omitempty"`
	// Idempotence says how to know whether a request is idempotent.
	Idempotence Idempotence `toml:",omitempty"`
}

// ObjectName returns the service's name.
func (s Service) ObjectName() string {
	return s.Name
}

// HostNames returns the host names that lead to the service.
func (s Service) HostNames() []string {
	if s.Registered {
		return nil
	}
	if len(s.Hosts) == 0 {
		return []string{s.Name}
	}
	return s.Hosts
}

// LimitMillis returns the longest a request may take, in milliseconds.
func (s Service) LimitMillis() int {
	if s.TimeoutMillis == 0 {
		return DefaultTimeoutMillis
	}
	return s.TimeoutMillis
}

// WithVersion returns a copy that another version serves.
func (s Service) WithVersion(version string) Service {
	s.Version = version
	return s
}

// WithRoutes returns a copy with other routes.
func (s Service) WithRoutes(routes ...PathRule) Service {
	s.Routes = routes
	return s
}
