package steerer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/receiver"
)

const (
	// slowMedians is the multiple of the old versions' median duration beyond which an
	// attempt is slow. An upstream that does not know an object yet may take three times as
	// long as one that does.
	slowMedians = 5
	// slowObjectives is the multiple of the route's objective beyond which an attempt is
	// slow.
	slowObjectives = 3
	// leastTimeLeft is the fraction of a route's limit that an attempt must have before its
	// deadline for its duration to be compared.
	leastTimeLeft = 0.9
)

// attemptTiming compares the duration of one attempt with a limit. It waits for the limit
// also when the attempt ends earlier, so that slow attempts are not counted later than
// fast ones. The nil value compares nothing.
type attemptTiming struct {
	// result is the result of the attempt.
	result atomic.Int32
}

// time begins to compare the duration of an attempt, unless it says nothing about the
// version.
func (c *moveCounters) time(attempt receiver.Attempt, route *routeCounters, counters *versionCounters) *attemptTiming {
	from := c.timedFrom.Load()
	if from == 0 || attempt.SentAt.UnixNano() < from || attempt.Upstream.IsCold(attempt.SentAt) {
		return nil
	}
	limit, found := route.slowAfter(attempt)
	if !found {
		return nil
	}
	timing := &attemptTiming{}
	time.AfterFunc(limit, func() { timing.count(counters) })
	return timing
}

// end records the result of the attempt.
func (t *attemptTiming) end(result result) {
	if t != nil {
		t.result.Store(int32(result))
	}
}

// count counts the attempt once its limit has passed. An error says nothing about how long
// answers take.
func (t *attemptTiming) count(counters *versionCounters) {
	switch result(t.result.Load()) {
	case inProgress, expired:
		counters.slow.Add(1)
		counters.timed.Add(1)
	case answered:
		counters.timed.Add(1)
	}
}

// slowAfter returns the time after which an attempt is slow: the route's timeout, or less by
// its objective or by how long the old versions take. It returns false if the attempt must
// end before it.
func (r *routeCounters) slowAfter(attempt receiver.Attempt) (time.Duration, bool) {
	declared := attempt.Admission.Route.Declared
	limit := time.Duration(declared.EffectiveTimeoutMillis()) * time.Millisecond
	if declared.ObjectiveMillis > 0 {
		limit = min(limit, slowObjectives*time.Duration(declared.ObjectiveMillis)*time.Millisecond)
	}
	if median, known := r.oldDurations.median(); known {
		limit = min(limit, slowMedians*median)
	}
	left := attempt.Admission.Deadline.Sub(attempt.SentAt)
	if float64(left) < leastTimeLeft*float64(limit) {
		return 0, false
	}
	return min(limit, left), true
}

// recentDurations holds the latest durations that were added. Adding and reading take no
// lock.
type recentDurations struct {
	// durations is a ring, in nanoseconds; 0 where nothing has been added yet.
	durations [31]atomic.Int64
	// added counts the durations that have been added.
	added atomic.Uint64
	// cachedMedian is the median at cachedAt added durations, in nanoseconds.
	cachedMedian atomic.Int64
	cachedAt     atomic.Uint64
}

const (
	// minMedianDurations is how many durations must have been added for their median to be
	// known.
	minMedianDurations = 8
	// medianInterval is how many durations are added between two calculations of the median.
	medianInterval = 8
)

func (d *recentDurations) add(duration time.Duration) {
	index := d.added.Add(1) - 1
	d.durations[index%uint64(len(d.durations))].Store(int64(duration))
}

// median returns the median of the latest durations, or false while there are too few.
func (d *recentDurations) median() (time.Duration, bool) {
	added := d.added.Load()
	if added < minMedianDurations {
		return 0, false
	}
	if cachedAt := d.cachedAt.Load(); cachedAt == 0 || added-cachedAt >= medianInterval {
		d.cachedMedian.Store(int64(d.calculateMedian()))
		d.cachedAt.Store(added)
	}
	return time.Duration(d.cachedMedian.Load()), true
}

func (d *recentDurations) calculateMedian() time.Duration {
	known := make([]int64, 0, len(d.durations))
	for i := range d.durations {
		if duration := d.durations[i].Load(); duration > 0 {
			known = append(known, duration)
		}
	}
	slices.Sort(known)
	return time.Duration(known[len(known)/2])
}
