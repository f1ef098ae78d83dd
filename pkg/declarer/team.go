package declarer

// Team is a tenant: the customer that owns the keys of its callers.
type Team struct {
	// Name is unique among teams.
	Name string
	// RatePerSecond is the rate limit of all the team's callers together, over all
	// instances, in requests a second. 0 means no limit; then Burst has no effect.
	// Package checker does not accept 0, so only a declaration that the platform itself
	// keeps can have it.
	RatePerSecond float64
	// Burst is the number of requests that may come at once, over all instances; at
	// least 1 where there is a rate limit.
	Burst int
	// Services are the names of the services that the team may use with its keys. Empty
	// means all services.
	Services []string `toml:",omitempty"`
	// Homes are the names of the regions in which the team's requests may run. Empty
	// means all regions. Where the route has Homes too, both lists must allow a region.
	Homes []string `toml:",omitempty"`
	// Urgent says that the team's Priority replaces the Priority of routes.
	Urgent bool `toml:",omitempty"`
	// Priority is the rank of the team's requests if Urgent is set; 0 is the most
	// urgent.
	Priority int `toml:",omitempty"`
	// KeysStopAfterMillis is how long the team's keys continue to work at an instance
	// that can reach neither the platform nor a peer that reaches it, and so cannot
	// learn of a withdrawal; in milliseconds. 0 means that they do not stop.
	KeysStopAfterMillis int `toml:",omitempty"`
}

// ObjectName returns the team's name.
func (t Team) ObjectName() string {
	return t.Name
}

// IsUnlimited reports whether the team has no rate limit.
func (t Team) IsUnlimited() bool {
	return t.RatePerSecond == 0
}

// WithRate returns a copy with that rate limit and burst.
func (t Team) WithRate(perSecond float64, burst int) Team {
	t.RatePerSecond = perSecond
	t.Burst = burst
	return t
}

// WithServices returns a copy that may use the named services only.
func (t Team) WithServices(services ...string) Team {
	t.Services = services
	return t
}
