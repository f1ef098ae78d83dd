package reporter

import (
	"maps"
	"slices"
	"time"
)

// Domain is what an instance knows of a failure domain.
type Domain struct {
	Place string
	// Instances hold seats; NotLinked of them have not been heard of for seconds.
	Instances int
	NotLinked int
	// LowestRevision and ConfirmedAt are the oldest among the linked ones; zero if
	// none is linked.
	LowestRevision uint64
	ConfirmedAt    time.Time
}

// Domains sums up a status by failure domain, in the order of names. It shows
// which are stale, and since when.
func (s Status) Domains() []Domain {
	domains := map[string]Domain{}
	domains[s.Place] = Domain{
		Place:          s.Place,
		Instances:      1,
		LowestRevision: s.Revision,
		ConfirmedAt:    s.ConfirmedAt,
	}
	for _, peer := range s.Peers {
		domains[peer.Place] = domains[peer.Place].with(peer)
	}
	var sorted []Domain
	for _, place := range slices.Sorted(maps.Keys(domains)) {
		sorted = append(sorted, domains[place])
	}
	return sorted
}

func (d Domain) with(peer PeerStatus) Domain {
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
