package reporter

import (
	"maps"
	"slices"
	"time"
)

// DomainStatus summarizes what an instance knows about a failure domain.
type DomainStatus struct {
	Place string
	// Instances counts the instances that hold seats, and the instance that reports the
	// status. NotLinked is how many of them have no link to that instance.
	Instances int
	NotLinked int
	// LowestRevision and ConfirmedAt are the lowest and earliest values of the linked
	// instances; zero if none is linked.
	LowestRevision uint64
	ConfirmedAt    time.Time
}

// Domains summarizes a status by failure domain, in the order of their names. It shows
// which failure domains have an old configuration, and since when.
func (s Status) Domains() []DomainStatus {
	domains := map[string]DomainStatus{}
	domains[s.Place] = DomainStatus{
		Place:          s.Place,
		Instances:      1,
		LowestRevision: s.Revision,
		ConfirmedAt:    s.ConfirmedAt,
	}
	for _, peer := range s.Peers {
		domains[peer.Place] = domains[peer.Place].withPeer(peer)
	}
	var sorted []DomainStatus
	for _, place := range slices.Sorted(maps.Keys(domains)) {
		sorted = append(sorted, domains[place])
	}
	return sorted
}

// withPeer returns a copy that includes a peer.
func (d DomainStatus) withPeer(peer PeerStatus) DomainStatus {
	d.Place = peer.Place
	d.Instances++
	if !peer.Linked {
		d.NotLinked++
		return d
	}
	if d.ConfirmedAt.IsZero() || peer.ConfirmedAt.Before(d.ConfirmedAt) {
		d.ConfirmedAt = peer.ConfirmedAt
	}
	if d.LowestRevision == 0 || peer.Revision < d.LowestRevision {
		d.LowestRevision = peer.Revision
	}
	return d
}
