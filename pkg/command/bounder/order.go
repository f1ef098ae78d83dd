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

// FreshMillis is how long a connection does not give way after its phase has begun, in
// milliseconds. A caller that keeps to the limits sends its request with the first packet,
// which may not have been read yet.
const FreshMillis = 250

// MayClose reports whether a connection may be closed in favour of another one.
func (w Waiting) MayClose(now time.Time) bool {
	return now.Sub(w.Since) >= FreshMillis*time.Millisecond
}
