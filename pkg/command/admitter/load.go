package admitter

import (
	"math"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
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

// RecordLoad records the load that the upstream tells in its answer to a request that still
// holds its slot. The load in a refusal of the request is left to RecordRefusal.
func (u *Upstream) RecordLoad(report registrar.Report, now time.Time) {
	if !report.HasLoad {
		return
	}
	u.toldLoads.add(report, u.declared.Load().Slots)
	u.recordSlowdown(report, now)
	others := float64(max(report.Load.Total()-u.slots.InUse(), 0))
	if previous := u.othersRequests.Load(); previous != nil {
		others = (others + previous.decayedAt(now)) / 2
	}
	u.storeObservation(others, now)
}

// recordShed records that the upstream had no capacity for a request that still holds its
// slot. The load that it tells then replaces what was known before, because the upstream
// has refused the request for it.
func (u *Upstream) recordShed(report registrar.Report, now time.Time) {
	u.toldLoads.add(report, u.declared.Load().Slots)
	u.recordSlowdown(report, now)
	others := assumedShedLoad * float64(u.declared.Load().Slots)
	if report.HasLoad {
		// The upstream does not count the request that it has shed.
		others = float64(max(report.Load.Total()+1-u.slots.InUse(), 0))
	}
	u.storeObservation(others, now)
}

// storeObservation replaces the estimate of the requests that other instances have at the
// upstream.
func (u *Upstream) storeObservation(others float64, now time.Time) {
	u.othersRequests.Store(&loadObservation{
		requests:   others,
		observedAt: now,
	})
}

const (
	// observationHalfLife is the time after which half of the requests that were
	// observed at an upstream are assumed to have ended.
	observationHalfLife = time.Second
	// assumedShedLoad is the number of requests that other instances are assumed to have
	// at an upstream that has just shed a request and does not tell its load, as a multiple
	// of its slots.
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
