package admitter

// Obstacle is why an upstream would not be chosen.
type Obstacle string

// The obstacles.
const (
	// NoSlot means that this instance has no slot left at the upstream.
	NoSlot Obstacle = "NoSlot"
	// Loaded means that the upstream's load has reached the bound of its service.
	Loaded Obstacle = "Loaded"
	// OtherRegion means that the route or the team may not run in the upstream's region.
	OtherRegion Obstacle = "OtherRegion"
	// Cold means that the upstream is cold and the rate for that is used up.
	Cold Obstacle = "Cold"
	// NotYet means that the upstream takes no requests from this instance before a time.
	NotYet Obstacle = "NotYet"
	// Unhealthy means that the upstream is suspect or leaving. A suspect one is chosen if no
	// other can be.
	Unhealthy Obstacle = "Unhealthy"
	// Limited means that the upstream's limit has no room for the request.
	Limited Obstacle = "Limited"
)

// CandidatePreview is the state of an upstream among which a request would choose.
type CandidatePreview struct {
	Name    string
	Address string
	Version string
	Place   string
	Region  string
	Health  string
	// Rank is the position in the order in which the object prefers the upstreams of the pool,
	// from 1; 0 if the pool has no such order, or the request no object.
	Rank int
	// Fallback reports that the upstream is used only if no upstream of the new version has
	// room.
	Fallback bool
	// InUse and Slots are this instance's requests at the upstream and the most it may have.
	InUse int
	Slots int
	// Load is the estimated number of requests of all instances relative to the slots, and
	// DistanceCost the cost of the distance as a fraction of the hash range.
	Load         float64
	DistanceCost float64
	// Obstacles are why the upstream would not be chosen; empty if it could be.
	Obstacles []Obstacle
}

// preview returns the state of the upstream for a request.
func (c *candidate) preview(wanted criteria) CandidatePreview {
	declared := c.Declared()
	return CandidatePreview{
		Name:         declared.Name,
		Address:      declared.Address,
		Version:      c.Version(),
		Place:        declared.Place,
		Region:       c.region,
		Health:       c.Health().String(),
		InUse:        c.slots.InUse(),
		Slots:        c.slots.Limit(),
		Load:         c.Load(wanted),
		DistanceCost: c.DistanceCost(wanted),
		Obstacles:    c.obstacles(wanted),
	}
}

// obstacles returns why the upstream is not usable for a request: it is empty if and only if
// Usable reports true.
func (c *candidate) obstacles(wanted criteria) []Obstacle {
	checks := []struct {
		passed   bool
		obstacle Obstacle
	}{
		{
			passed:   c.hasFreeSlot(),
			obstacle: NoSlot,
		},
		{
			passed:   c.loadBound.admits(c.loadAt(wanted.now)),
			obstacle: Loaded,
		},
		{
			passed:   wanted.allowsRegion(c.region),
			obstacle: OtherRegion,
		},
		{
			passed:   c.admitsCold(wanted.now),
			obstacle: Cold,
		},
		{
			passed:   c.advertisement.Load().acceptsAt(wanted.now),
			obstacle: NotYet,
		},
		{
			passed:   c.isHealthyFor(wanted),
			obstacle: Unhealthy,
		},
		{
			passed:   c.admitsLimit(wanted.now),
			obstacle: Limited,
		},
	}
	var obstacles []Obstacle
	for _, check := range checks {
		if !check.passed {
			obstacles = append(obstacles, check.obstacle)
		}
	}
	return obstacles
}
