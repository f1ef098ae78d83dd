// Package detector decides whether an instance is saturated: whether its processor is used up,
// so that its own timers fire late. It takes time as an argument and does no I/O.
package detector

import "time"

const (
	// saturatedFrom is the smoothed lateness of timers from which an instance counts as
	// saturated. A process that has used up its part of the processor is stopped for up to
	// 100 ms at a time.
	saturatedFrom = 40 * time.Millisecond
	// saturatedUntil is the smoothed lateness below which it does not any more. The distance
	// to saturatedFrom keeps a state from alternating.
	saturatedUntil = 10 * time.Millisecond
	// minStateTime is how long a state lasts at least. Callers repeat look-ups every two
	// seconds, so that a change shows its effect only after that.
	minStateTime = 4 * time.Second
	// maxSample bounds one sample: a machine that was paused once is not saturated.
	maxSample = 200 * time.Millisecond
	// sampleDivisor is how many samples the smoothing covers, about.
	sampleDivisor = 8
)

// Saturation is the state of an instance. It is immutable; the zero value is that of an
// instance that is not saturated.
type Saturation struct {
	saturated bool
	// changedAt is when the state last changed; zero before the first change.
	changedAt time.Time
	// lateness is the smoothed lateness of timers.
	lateness time.Duration
}

// IsSaturated reports whether the instance is saturated.
func (s Saturation) IsSaturated() bool {
	return s.saturated
}

// Lateness returns the smoothed lateness of timers.
func (s Saturation) Lateness() time.Duration {
	return s.lateness
}

// WithSample returns the state after a timer has fired late by a time.
func (s Saturation) WithSample(late time.Duration, now time.Time) Saturation {
	late = min(max(late, 0), maxSample)
	s.lateness += (late - s.lateness) / sampleDivisor
	if now.Sub(s.changedAt) < minStateTime {
		return s
	}
	saturated := s.lateness >= saturatedFrom || s.saturated && s.lateness >= saturatedUntil
	if saturated != s.saturated {
		s.saturated = saturated
		s.changedAt = now
	}
	return s
}
