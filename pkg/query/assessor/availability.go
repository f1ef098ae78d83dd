// Package assessor decides from the results of calls whether the platform's store answers an
// instance. It makes no calls; the caller passes it their results.
package assessor

import "time"

// doubtTime is how long the store may leave all calls without an answer after a failed one before
// that counts as an outage. After a failure the caller reads again within 50 ms, so a store that
// answers does so well before. A watch that is cut off while it waits is thus no outage.
const doubtTime = 500 * time.Millisecond

// Availability is what an instance knows of the store's answers to it. It is immutable; the zero
// value is that of a store that answers.
type Availability struct {
	// failedAt is when the first call since the last answer failed; zero if none has.
	failedAt time.Time
	// lost is set during an outage, which began at failedAt.
	lost bool
}

// WithFailure returns the availability after a call that has failed at a time.
func (a Availability) WithFailure(now time.Time) Availability {
	if a.failedAt.IsZero() {
		a.failedAt = now
	}
	return a.WithTime(now)
}

// WithTime returns the availability at a time: an outage if a call has failed and none has been
// answered for doubtTime since.
func (a Availability) WithTime(now time.Time) Availability {
	if !a.failedAt.IsZero() && now.Sub(a.failedAt) >= doubtTime {
		a.lost = true
	}
	return a
}

// WithAnswer returns the availability after an answer to any call.
func (a Availability) WithAnswer() Availability {
	return Availability{}
}

// LostSince returns when the present outage began, or the zero time if there is none.
func (a Availability) LostSince() time.Time {
	if !a.lost {
		return time.Time{}
	}
	return a.failedAt
}
