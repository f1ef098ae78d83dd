package declarer

import "time"

// DefaultConnections is the bound on open connections to an upstream when none
// is declared.
const DefaultConnections = 400

// Version is one build of a service and the upstreams that run it.
type Version struct {
	// Name is unique among versions of all services.
	Name string
	// Service is the service that this is a version of.
	Service string
	// Upstreams run this version; at least one.
	Upstreams []Upstream
}

// Upstream is one back-end server.
type Upstream struct {
	// Name is unique among the upstreams of the version.
	Name string
	// Incarnation names one start of an upstream that registers itself; empty for
	// one that is declared by hand.
	Incarnation string `toml:",omitempty"`
	// Place is the failure domain that the upstream stands in.
	Place string
	// Address is an IP number and a port. No two upstreams share one.
	Address string
	// Slots is how many requests the upstream works on at once; at least 1.
	Slots int
	// Connections bounds the open connections; 0 means DefaultConnections.
	Connections int `toml:",omitempty"`
	// Leaving says that the upstream has announced its stop: it gets no new work.
	Leaving bool `toml:",omitempty"`
	// ColdUntil is the instant until which the upstream bears only ColdPerSecond;
	// zero for one that is warm.
	ColdUntil time.Time `toml:",omitzero"`
	// ColdPerSecond is how many requests a second, of all instances together, the
	// upstream bears while it is cold; 0 means no such limit.
	ColdPerSecond float64 `toml:",omitempty"`
	// ColdMillis is how long the upstream is cold after it has been away, in
	// milliseconds.
	ColdMillis int `toml:",omitempty"`
}

// ObjectName returns the version's name.
func (v Version) ObjectName() string {
	return v.Name
}

// WithUpstreams returns a copy with other upstreams.
func (v Version) WithUpstreams(upstreams ...Upstream) Version {
	v.Upstreams = upstreams
	return v
}

// WithAddress returns a copy that listens elsewhere.
func (u Upstream) WithAddress(address string) Upstream {
	u.Address = address
	return u
}

// ConnectionLimit returns the bound on open connections.
func (u Upstream) ConnectionLimit() int {
	if u.Connections == 0 {
		return DefaultConnections
	}
	return u.Connections
}
