package declarer

import "time"

// Move asks for a service's traffic to go from one version to another by a
// deadline, or to be taken back.
type Move struct {
	// Name is unique among moves.
	Name string
	// Service is the service whose traffic moves. No two moves name the same.
	Service string
	// From and To are different versions of the service.
	From string
	To   string
	// Deadline is the instant by which the move is done or taken back.
	Deadline time.Time
	// Share is the part of the objects that requests are about, from 0 to 1, whose
	// requests To serves. It is the progress of a move that is being carried out, and
	// never declared by hand.
	Share float64 `toml:",omitempty"`
	// CanaryPercent is the share of requests on the new version at first; above 0
	// and at most 100.
	CanaryPercent float64
}

// ObjectName returns the move's name.
func (m Move) ObjectName() string {
	return m.Name
}

// WithShare returns a copy with another share.
func (m Move) WithShare(share float64) Move {
	m.Share = share
	return m
}

// WithDeadline returns a copy with another deadline.
func (m Move) WithDeadline(deadline time.Time) Move {
	m.Deadline = deadline
	return m
}
