package declarer

// Place is one failure domain: a data centre or a part of one that can be cut
// off from the others.
type Place struct {
	// Name is unique among places.
	Name string
	// Region groups failure domains that are near one another. Never empty.
	Region string
	// Seats is how many entry instances the place has room for; at least 1. Each
	// team's allowance is split over the seats of all places.
	Seats int
	// ClientBlocks are the IP prefixes, in CIDR form, of the callers that are
	// nearest to this place. No prefix stands in two places.
	ClientBlocks []string `toml:",omitempty"`
	// Links describes the way to other regions.
	Links []Link `toml:",omitempty"`
	// Evacuated says that nothing new is sent to the upstreams of the place.
	Evacuated bool `toml:",omitempty"`
}

// Link is the way from a place's region to another region.
type Link struct {
	// Region is the region at the other end. Some place lies in it.
	Region string
	// LatencyMillis is the one-way latency in milliseconds; 0 or more.
	LatencyMillis int
	// BytesPerSecond is what the link carries each way; 0 means no limit.
	BytesPerSecond int64 `toml:",omitempty"`
}

// ObjectName returns the place's name.
func (p Place) ObjectName() string {
	return p.Name
}

// WithSeats returns a copy with another number of seats.
func (p Place) WithSeats(seats int) Place {
	p.Seats = seats
	return p
}

// WithClientBlocks returns a copy with other client blocks.
func (p Place) WithClientBlocks(blocks ...string) Place {
	p.ClientBlocks = blocks
	return p
}

// WithEvacuated returns a copy that is evacuated or not.
func (p Place) WithEvacuated(evacuated bool) Place {
	p.Evacuated = evacuated
	return p
}

// LatencyMillisTo returns the one-way latency to a region, and false if no
// link to it is declared. The own region is 0 away.
func (p Place) LatencyMillisTo(region string) (int, bool) {
	if region == p.Region {
		return 0, true
	}
	for _, link := range p.Links {
		if link.Region == region {
			return link.LatencyMillis, true
		}
	}
	return 0, false
}

// farMillis orders regions to which no link is declared, in milliseconds.
const farMillis = 1 << 20

// Distance orders other places as seen from this one: 0 for itself, then its
// region, then the others by latency.
func (p Place) Distance(places Table[Place], other string) int {
	if other == p.Name {
		return 0
	}
	to, found := places.Get(other)
	if !found {
		return farMillis
	}
	latency, linked := p.LatencyMillisTo(to.Region)
	if !linked {
		return farMillis
	}
	return 1 + latency
}
