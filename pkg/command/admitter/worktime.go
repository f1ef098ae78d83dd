package admitter

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// workQuantile is the part of the answers that take less than the work time: those from
	// upstreams that know the object and have a free slot are the fastest.
	workQuantile = 0.25
	// workStep is the relative change of the work time with each answer.
	workStep = 0.05
)

// workTime estimates how long the work on a request of one service takes at an upstream that
// knows its object, by a quantile of the durations of answers that each answer moves by a
// step. Successive plans share it. It is safe for concurrent use, and a request takes no lock.
type workTime struct {
	// bits is the time in seconds in the form of math.Float64bits; 0 before the first answer.
	bits atomic.Uint64
}

// seconds returns the work time, or 0 while it is unknown.
func (w *workTime) seconds() float64 {
	return math.Float64frombits(w.bits.Load())
}

// record records the duration of an answer.
func (w *workTime) record(took time.Duration) {
	if took <= 0 {
		return
	}
	for {
		before := w.bits.Load()
		after := math.Float64bits(nextWorkTime(math.Float64frombits(before), took.Seconds()))
		if w.bits.CompareAndSwap(before, after) {
			return
		}
	}
}

// nextWorkTime returns the work time after an answer that took some seconds. The steps up and
// down balance where workQuantile of the answers are faster.
func nextWorkTime(before, took float64) float64 {
	switch {
	case before == 0:
		return took
	case took < before:
		return before * (1 - workStep*(1-workQuantile))
	default:
		return before * (1 + workStep*workQuantile)
	}
}

// RecordDuration records how long an attempt took that was answered with success.
func (a Admission) RecordDuration(took time.Duration) {
	if work, found := a.currentPlan().workTimes[a.Service]; found {
		work.record(took)
	}
}
