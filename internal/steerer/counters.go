package steerer

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
)

// moveCounters counts the outcomes and the durations of the attempts to send a service's
// requests during a move. Counting takes no lock.
type moveCounters struct {
	// newVersion is the name of the version that traffic moves to.
	newVersion string
	// routes holds a *routeCounters for each route, by the route's name.
	routes sync.Map
	// positions counts the attempts by the position of their object.
	positions positionCounters
	// timedFrom is the time from which the durations of attempts that begin are compared, in
	// nanoseconds since the Unix epoch; 0 while none are.
	timedFrom atomic.Int64
}

// routeCounters counts the attempts of one route at the new and at the old versions.
type routeCounters struct {
	newVersion  versionCounters
	oldVersions versionCounters
	// oldDurations holds the durations of the latest answers of the old versions.
	oldDurations recentDurations
}

// versionCounters holds the fields of a mover.Count.
type versionCounters struct {
	sent     atomic.Int64
	requests atomic.Int64
	failures atomic.Int64
	timed    atomic.Int64
	slow     atomic.Int64
}

func (c *versionCounters) count() mover.Count {
	return mover.Count{
		Sent:     int(c.sent.Load()),
		Requests: int(c.requests.Load()),
		Failures: int(c.failures.Load()),
		Timed:    int(c.timed.Load()),
		Slow:     int(c.slow.Load()),
	}
}

// timeFrom sets the time from which the durations of attempts that begin are compared.
func (c *moveCounters) timeFrom(from time.Time) {
	c.timedFrom.Store(from.UnixNano())
}

// begin counts an attempt that begins, and returns the function to call with the attempt
// when it has ended.
func (c *moveCounters) begin(attempt receiver.Attempt) func(receiver.Attempt) {
	route := c.routeOf(attempt)
	c.positions.add(positionOf(attempt))
	isNew := attempt.Upstream.Version() == c.newVersion
	counters := &route.oldVersions
	if isNew {
		counters = &route.newVersion
	}
	counters.sent.Add(1)
	timing := c.time(attempt, route, counters)
	return func(ended receiver.Attempt) {
		result := classify(ended)
		timing.end(result)
		counters.countResult(result)
		if result == answered && !isNew {
			route.oldDurations.add(ended.EndedAt.Sub(ended.SentAt))
		}
	}
}

func (c *moveCounters) routeOf(attempt receiver.Attempt) *routeCounters {
	name := attempt.Admission.Route.Declared.Name
	found, known := c.routes.Load(name)
	if !known {
		found, _ = c.routes.LoadOrStore(name, &routeCounters{})
	}
	return found.(*routeCounters)
}

// positionOf returns the position of the attempt's object. An attempt without an object goes
// to either version at random.
func positionOf(attempt receiver.Attempt) float64 {
	if position, found := attempt.Admission.ObjectPosition(); found {
		return position
	}
	return rand.Float64()
}

// result is what the end of an attempt shows about the version that served it.
type result int32

const (
	// inProgress is the result of an attempt that has not ended.
	inProgress result = iota
	// answered is the result of an attempt that was answered without an error.
	answered
	// failed is the result of an attempt that failed through a fault of the version.
	failed
	// expired is the result of an attempt that was not answered in its route's time.
	expired
	// unrelated is the result of an attempt that says nothing about the version: the
	// instance or the caller ended it.
	unrelated
)

// classify returns the result of an attempt that has ended.
func classify(attempt receiver.Attempt) result {
	if attempt.Err == nil {
		return classifyStatus(attempt)
	}
	var refusal *arbiter.Refusal
	if !errors.As(attempt.Err, &refusal) {
		return failed
	}
	switch refusal.Reason {
	case arbiter.UpstreamBroken, arbiter.AnswerMalformed, arbiter.NotRunUnproved:
		return failed
	case arbiter.UpstreamReplaced:
		if refusal.Verdict == arbiter.NotRun {
			return unrelated
		}
		return failed
	case arbiter.DeadlineExceeded:
		return expiredUnlessByCaller(attempt)
	default:
		return unrelated
	}
}

func classifyStatus(attempt receiver.Attempt) result {
	switch {
	case attempt.Status == http.StatusGatewayTimeout:
		return expiredUnlessByCaller(attempt)
	case attempt.Status >= http.StatusInternalServerError:
		return failed
	default:
		return answered
	}
}

// expiredUnlessByCaller returns the result of an attempt that ended at its deadline. A
// deadline that the caller has set earlier than the route's says nothing about the version.
func expiredUnlessByCaller(attempt receiver.Attempt) result {
	if attempt.Admission.DeadlineFromCaller {
		return unrelated
	}
	return expired
}

// countResult counts an attempt that was answered or has failed. How many are not answered
// in time is counted by the attempts' timing.
func (c *versionCounters) countResult(result result) {
	switch result {
	case failed:
		c.failures.Add(1)
		c.requests.Add(1)
	case answered:
		c.requests.Add(1)
	}
}

// evidence returns the counts so far, one entry for each route.
func (c *moveCounters) evidence() []mover.Evidence {
	var all []mover.Evidence
	c.routes.Range(func(route, found any) bool {
		counters := found.(*routeCounters)
		all = append(all, mover.Evidence{
			Route: route.(string),
			New:   counters.newVersion.count(),
			Old:   counters.oldVersions.count(),
		})
		return true
	})
	return mover.Merge(all)
}
