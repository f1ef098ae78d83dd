package declarer

// Team is a tenant: the party that a caller's key belongs to.
type Team struct {
	// Name is unique among teams.
	Name string
	// RatePerSecond is how many requests a second all of the team's callers
	// together may make over the whole fleet; 0 means no limit, and then Burst is 0
	// too.
	RatePerSecond float64
	// Burst is how many requests may come at once; at least 1 where there is a limit.
	Burst int
	// Services are the services that the team may use. Empty means all.
	Services []string `toml:",omitempty"`
	// Homes are the regions in which the team's requests may run. Empty means all.
	Homes []string `toml:",omitempty"`
	// Urgent says that Priority counts in place of the routes' own.
	Urgent bool `toml:",omitempty"`
	// Priority ranks the team's requests; 0 is the most urgent.
	Priority int `toml:",omitempty"`
	// KeysStopAfterMillis is how long the team's keys go on working at instances
	// that are cut off from the platform and from everybody who reaches it, and so
	// cannot learn of a withdrawal; in milliseconds. 0 means that they go on.
	KeysStopAfterMillis int `toml:",omitempty"`
}

// ObjectName returns the team's name.
func (t Team) ObjectName() string {
	return t.Name
}

// IsUnlimited says whether the team's rate is not limited.
func (t Team) IsUnlimited() bool {
	return t.RatePerSecond == 0
}

// WithRate returns a copy with another rate and burst.
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
