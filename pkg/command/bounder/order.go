package bounder

import "time"

// Phase is what a connection that may be closed early does.
type Phase int

// The phases, in the order in which connections are closed when there are too many.
const (
	// Unused is a connection that has sent nothing so far.
	Unused Phase = iota
	// Idle is a connection without a request since the last one.
	Idle
	// Reading is a connection of which a head has arrived in part.
	Reading
)

// Waiting is a connection on which no request runs.
type Waiting struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
}

// ClosesBefore reports whether a connection is closed before another one: by their phases
// and, in the same phase, the one that has been in it for longer. A head that arrives slowly
// is thus closed before one that has just begun.
func (w Waiting) ClosesBefore(other Waiting) bool {
	if w.Phase != other.Phase {
		return w.Phase < other.Phase
	}
	return w.Since.Before(other.Since)
}
