// Package balancer decides which part of a region's requests may run in the other regions. It
// knows the demand and the slots of each service by region, and moves the part steadily, so that
// only a bounded part of the requests changes its region within seconds. It takes time as an
// argument and does no I/O; the messages between instances are sent by its caller.
package balancer

import "time"

// Demand is what some instances ask of one service. It is immutable.
type Demand struct {
	// PerSecond is the rate of requests.
	PerSecond float64
	// Slope is the change of the rate, in requests per second and second.
	Slope float64
	// InUse is the number of slots that the requests take.
	InUse float64
}

// Plus returns the demand of the instances of both.
func (d Demand) Plus(other Demand) Demand {
	return Demand{
		PerSecond: d.PerSecond + other.PerSecond,
		Slope:     d.Slope + other.Slope,
		InUse:     d.InUse + other.InUse,
	}
}

// aheadLimit bounds a forecast: it is at most this multiple of the present rate, and at least
// the present rate divided by it. A straight line overshoots where traffic begins or ends.
const aheadLimit = 1.6

// Ahead returns the rate that is expected after a time, by the slope.
func (d Demand) Ahead(after time.Duration) float64 {
	expected := d.PerSecond + d.Slope*after.Seconds()
	return min(max(expected, d.PerSecond/aheadLimit), d.PerSecond*aheadLimit)
}

const (
	// levelWeight, slopeWeight and useWeight are the weights of a new sample in the level, the
	// slope and the slots in use. Over a wave of 36 s the level lags by less than a second.
	levelWeight = 0.5
	slopeWeight = 0.125
	useWeight   = 0.25
	// maxSampleTime is the time between two samples from which on a trend begins anew, because
	// the instance was paused.
	maxSampleTime = 5 * time.Second
)

// Trend estimates a demand from samples, by exponential smoothing of its level and its slope
// (Holt, 1957). The estimates of several instances add up to that of all. It is immutable; the
// zero value has seen no sample.
type Trend struct {
	// count is the number of requests so far, at sampledAt.
	count     uint64
	sampledAt time.Time
	demand    Demand
	// rounds is the number of samples that the demand is based on.
	rounds int
}

// Demand returns the estimate.
func (t Trend) Demand() Demand {
	return t.demand
}

// WithSample returns the trend after a sample: the number of requests since the start, and the
// slots that are in use.
func (t Trend) WithSample(count uint64, inUse float64, now time.Time) Trend {
	elapsed := now.Sub(t.sampledAt)
	if t.sampledAt.IsZero() || elapsed > maxSampleTime || count < t.count {
		return Trend{
			count:     count,
			sampledAt: now,
		}
	}
	if elapsed <= 0 {
		return t
	}
	rate := float64(count-t.count) / elapsed.Seconds()
	t.count = count
	t.sampledAt = now
	t.rounds++
	if t.rounds == 1 {
		t.demand = Demand{
			PerSecond: rate,
			InUse:     inUse,
		}
		return t
	}
	expected := t.demand.PerSecond + t.demand.Slope*elapsed.Seconds()
	surprise := rate - expected
	t.demand.PerSecond = max(expected+levelWeight*surprise, 0)
	t.demand.Slope += slopeWeight * surprise / elapsed.Seconds()
	t.demand.InUse += useWeight * (inUse - t.demand.InUse)
	return t
}
