package declarer

// Place is one failure domain: a data centre, or a part of one, that can fail or be
// partitioned independently of the others.
type Place struct {
	// Name is unique among failure domains.
	Name string
	// Region is the name of the group of failure domains that are near one another.
	// It is never empty.
	Region string
	// Seats is how many entry instances the failure domain has capacity for; at least
	// 1. Each of them holds a seat, which is the right to one part of every limit: each
	// team's limit is split over the seats of all failure domains.
	Seats int
	// ClientBlocks are the IP prefixes, in CIDR form, of the callers that are nearest
	// to this failure domain. No two failure domains have the same prefix.
	ClientBlocks []string `toml:",omitempty"`
	// Links are the network links from Region to other regions; at most one for each.
	Links []Link `toml:",omitempty"`
	// Evacuated says that no new requests are sent to the upstreams of the failure
	// domain.
	Evacuated bool `toml:",omitempty"`
}

// Link is the network link from a failure domain's region to another region.
type Link struct {
	// Region is the other region. It is not the failure domain's own one, and at least
	// one failure domain belongs to it.
	Region string
	// LatencyMillis is the one-way latency in milliseconds; 0 or more.
	LatencyMillis int
	// BytesPerSecond is the capacity of the link in each direction, in bytes a second;
	// 0 means no limit.
	BytesPerSecond int64 `toml:",omitempty"`
}

// ObjectName returns the failure domain's name.
func (p Place) ObjectName() string {
	return p.Name
}

// WithSeats returns a copy with that number of seats.
func (p Place) WithSeats(seats int) Place {
	p.Seats = seats
	return p
}

// WithClientBlocks returns a copy with those client blocks only.
func (p Place) WithClientBlocks(blocks ...string) Place {
	p.ClientBlocks = blocks
	return p
}

// WithEvacuated returns a copy whose Evacuated has that value.
func (p Place) WithEvacuated(evacuated bool) Place {
	p.Evacuated = evacuated
	return p
}

// LatencyMillisTo returns the one-way latency to a region, in milliseconds, and false
// if no link to the region is declared. The latency to the own region is 0.
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

// unknownDistance is the distance to a failure domain that is not declared, or to whose
// region no link is declared. In milliseconds, like the latencies with which it is
// compared.
const unknownDistance = 1 << 20

// Distance ranks another failure domain by how far it is from this one: 0 for this one
// itself, 1 for the same region, 1 plus the one-way latency in milliseconds for another
// region, and unknownDistance if other is not declared or no link to its region is.
func (p Place) Distance(places Table[Place], other string) int {
	if other == p.Name {
		return 0
	}
	to, found := places.Get(other)
	if !found {
		return unknownDistance
	}
	latency, linked := p.LatencyMillisTo(to.Region)
	if !linked {
		return unknownDistance
	}
	return 1 + latency
}
