package declarer

import "time"

// Move is a canary rollout of a version: it asks for a service's traffic to be
// shifted from one version to another by a deadline, or else to be shifted back.
type Move struct {
	// Name is unique among moves.
	Name string
	// Service is the name of the service whose traffic is shifted. No two moves name
	// the same service.
	Service string
	// From and To are the names of two different versions of the service: the one that
	// loses the traffic and the one that gets it.
	From string
	To   string
	// Deadline is the instant by which To serves all of the traffic or none of it.
	Deadline time.Time
	// Share is the progress of the move. Each request is about an object, and all
	// requests about one object go to the same version. Share is the fraction, from 0 to
	// 1, of the objects whose requests go to To. The instances that carry out the move
	// set it; it is never declared by hand.
	Share float64 `toml:",omitempty"`
	// CanaryPercent is the percentage of requests that To serves at the start of the
	// move; above 0 and at most 100. While Share is less, To has upstreams in use for that
	// many. The instances that carry out a move may raise it.
	CanaryPercent float64
}

// ObjectName returns the move's name.
func (m Move) ObjectName() string {
	return m.Name
}

// WithShare returns a copy with that share.
func (m Move) WithShare(share float64) Move {
	m.Share = share
	return m
}

// WithCanaryPercent returns a copy with that percentage.
func (m Move) WithCanaryPercent(percent float64) Move {
	m.CanaryPercent = percent
	return m
}

// WithDeadline returns a copy with that deadline.
func (m Move) WithDeadline(deadline time.Time) Move {
	m.Deadline = deadline
	return m
}
