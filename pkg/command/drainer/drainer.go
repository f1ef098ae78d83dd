// Package drainer decides which requests an instance still sends to upstreams while it
// drains: those that are expected to be answered before the drain ends. It does no I/O;
// the order of the steps of a drain is that of its caller.
package drainer

import (
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/estimator"
)

// Schedule says when an instance that drains takes its steps.
//
// Invariant: End is not before ServeUntil.
type Schedule struct {
	// ServeUntil is when the instance stops accepting requests.
	ServeUntil time.Time
	// End is when the requests that still run are aborted.
	End time.Time
	// CloseBy is when all connections are closed, whether or not the callers have closed
	// theirs. It is zero if the process is not killed.
	CloseBy time.Time
}

// NewSchedule returns the schedule of a drain that begins now: requests are accepted for
// graceMillis and finished for limitMillis after that, both in milliseconds.
func NewSchedule(now time.Time, graceMillis, limitMillis int) Schedule {
	serveUntil := now.Add(time.Duration(graceMillis) * time.Millisecond)
	return Schedule{
		ServeUntil: serveUntil,
		End:        serveUntil.Add(time.Duration(limitMillis) * time.Millisecond),
	}
}

// endReserve is how long before the kill a drain ends: a third of it each for the answers to
// aborted requests, for closing their connections and for the end of the process. If the kill
// is soon, it is half of the time until then.
const endReserve = 600 * time.Millisecond

// WithKill returns a copy whose steps come early enough for a drain that has begun at a time
// and whose process is killed killSeconds after that: End is endReserve before the kill at the
// latest, and ServeUntil is halfway to End at the latest. If killSeconds is 0, the process is
// not killed.
func (s Schedule) WithKill(begun time.Time, killSeconds float64) Schedule {
	if killSeconds == 0 {
		return s
	}
	untilKill := time.Duration(killSeconds * float64(time.Second))
	reserve := min(endReserve, untilKill/2)
	untilEnd := untilKill - reserve
	if end := begun.Add(untilEnd); end.Before(s.End) {
		s.End = end
	}
	if halfway := begun.Add(untilEnd / 2); halfway.Before(s.ServeUntil) {
		s.ServeUntil = halfway
	}
	s.CloseBy = begun.Add(untilKill - reserve/3)
	return s
}

// Drainer decides whether a request is sent to an upstream. It is safe for concurrent use
// and takes no lock.
type Drainer struct {
	// schedule is nil until the drain begins.
	schedule  atomic.Pointer[Schedule]
	durations *estimator.Estimator
}

// New returns the drainer of an instance that does not drain.
func New(now time.Time) *Drainer {
	return &Drainer{
		durations: estimator.New(now),
	}
}

// Begin begins the drain.
func (d *Drainer) Begin(schedule Schedule) {
	d.schedule.Store(&schedule)
}

// Record counts how long an attempt to send a request on a route took, whether it was
// answered, failed or was given up.
func (d *Drainer) Record(route string, took time.Duration, now time.Time) {
	d.durations.Record(route, took, now)
}

// Request is what the decision on one attempt to send a request depends on.
type Request struct {
	// Route is the name of the request's route.
	Route string
	// Arrived is when the request came in, and Deadline is when it ends at the latest.
	Arrived  time.Time
	Deadline time.Time
}

// Check returns a refusal with the verdict NotRun if the request must not be sent to an
// upstream now, because the instance drains and the answer is not expected before the drain
// ends. An answer is expected within the time that recent attempts on the route have rarely
// exceeded or, if there are too few of them, at the request's deadline. The caller can
// repeat the request at another instance immediately.
func (d *Drainer) Check(request Request, now time.Time) *arbiter.Refusal {
	schedule := d.schedule.Load()
	if schedule == nil {
		return nil
	}
	if request.Arrived.After(schedule.ServeUntil) {
		return errStopping.WithRetryAt(now)
	}
	if !request.Deadline.After(schedule.End) {
		return nil
	}
	expected, found := d.durations.Estimate(request.Route, now)
	if !found || now.Add(expected).After(schedule.End) {
		return errStopping.WithRetryAt(now)
	}
	return nil
}

var errStopping = arbiter.Refuse(arbiter.InstanceStopping, "the instance stops before an upstream is expected to answer")
