package declarer

import "time"

// DefaultConnections is the limit on open connections to an upstream when none is
// declared.
const DefaultConnections = 400

// Version is one build of a service and the upstreams that run it.
type Version struct {
	// Name is unique among the versions of all services.
	Name string
	// Service is the name of the service that this is a version of.
	Service string
	// Upstreams are the back-end servers that run this version; at least one.
	Upstreams []Upstream
}

// Upstream is one back-end server.
type Upstream struct {
	// Name is unique among the upstreams of the version.
	Name string
	// Incarnation identifies one start of an upstream that registers itself; empty for
	// an upstream that is declared by hand.
	Incarnation string `toml:",omitempty"`
	// Place is the name of the failure domain that the upstream runs in.
	Place string
	// Address is an IP address and a port. No two upstreams have the same one.
	Address string
	// Slots is the number of requests that the upstream can handle at once; at least 1.
	Slots int
	// Connections is the limit on open connections, from all instances together; 0
	// means DefaultConnections.
	Connections int `toml:",omitempty"`
	// Leaving says that the upstream is draining: it has announced its stop and gets no
	// new requests.
	Leaving bool `toml:",omitempty"`
	// ColdUntil is the instant until which the upstream is cold and can handle only
	// ColdPerSecond; zero for an upstream that is warm.
	ColdUntil time.Time `toml:",omitzero"`
	// ColdPerSecond is the rate that the upstream can handle while it is cold, in
	// requests a second from all instances together; 0 means no such limit.
	ColdPerSecond float64 `toml:",omitempty"`
	// ColdMillis is how long the upstream is cold after it has been unreachable, in
	// milliseconds.
	ColdMillis int `toml:",omitempty"`
}

// ObjectName returns the version's name.
func (v Version) ObjectName() string {
	return v.Name
}

// WithUpstreams returns a copy with those upstreams only.
func (v Version) WithUpstreams(upstreams ...Upstream) Version {
	v.Upstreams = upstreams
	return v
}

// WithAddress returns a copy with that address.
func (u Upstream) WithAddress(address string) Upstream {
	u.Address = address
	return u
}

// ConnectionLimit returns the limit on open connections, from all instances together.
func (u Upstream) ConnectionLimit() int {
	if u.Connections == 0 {
		return DefaultConnections
	}
	return u.Connections
}
