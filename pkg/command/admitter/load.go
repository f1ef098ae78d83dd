package admitter

import (
	"math"
	"time"
)

// loadAt returns the estimated number of requests at the upstream relative to its
// slots.
func (u *Upstream) loadAt(now time.Time) float64 {
	others := 0.0
	if observation := u.othersRequests.Load(); observation != nil {
		others = observation.decayedAt(now)
	}
	return (float64(u.slots.InUse()) + others) / float64(u.declared.Load().Slots)
}

// ObserveLoad records how many requests run and wait at the upstream according to one of
// its answers. The answered request still holds its slot.
func (u *Upstream) ObserveLoad(running, waiting int, now time.Time) {
	others := float64(max(running+waiting-u.slots.InUse(), 0))
	if previous := u.othersRequests.Load(); previous != nil {
		others = (others + previous.decayedAt(now)) / 2
	}
	u.othersRequests.Store(&loadObservation{
		requests:   others,
		observedAt: now,
	})
}

// recordShed records that the upstream had no capacity for a request.
func (u *Upstream) recordShed(now time.Time) {
	u.othersRequests.Store(&loadObservation{
		requests:   assumedShedLoad * float64(u.declared.Load().Slots),
		observedAt: now,
	})
}

const (
	// observationHalfLife is the time after which half of the requests that were
	// observed at an upstream are assumed to have ended.
	observationHalfLife = time.Second
	// assumedShedLoad is the number of requests that other instances are assumed to have
	// at an upstream that has just shed a request, as a multiple of its slots.
	assumedShedLoad = 4
)

// loadObservation is an estimate of how many requests all other instances have at an
// upstream.
type loadObservation struct {
	// requests is the estimate at the time of the observation.
	requests float64
	// observedAt is the time of the observation.
	observedAt time.Time
}

// decayedAt returns how many of the estimated requests are assumed to remain.
func (o loadObservation) decayedAt(now time.Time) float64 {
	halfLives := now.Sub(o.observedAt).Seconds() / observationHalfLife.Seconds()
	return o.requests * math.Exp2(-max(halfLives, 0))
}
