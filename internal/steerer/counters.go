package steerer

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
)

// moveCounters counts the outcomes of the attempts to send a service's requests during a
// move. Counting takes no lock.
type moveCounters struct {
	// newVersion is the name of the version that traffic moves to.
	newVersion string
	// routes holds a *routeCounters for each route, by the route's name.
	routes sync.Map
}

// routeCounters counts the attempts of one route at the new and at the old versions.
type routeCounters struct {
	newAttempts atomic.Int64
	newFailures atomic.Int64
	oldAttempts atomic.Int64
	oldFailures atomic.Int64
}

// count adds the outcome of one attempt.
func (c *moveCounters) count(attempt receiver.Attempt) {
	failed, isEvidence := classify(attempt)
	if !isEvidence {
		return
	}
	route := attempt.Admission.Route.Declared.Name
	found, known := c.routes.Load(route)
	if !known {
		found, _ = c.routes.LoadOrStore(route, &routeCounters{})
	}
	counters := found.(*routeCounters)
	attempts, failures := &counters.oldAttempts, &counters.oldFailures
	if attempt.Upstream.Version() == c.newVersion {
		attempts, failures = &counters.newAttempts, &counters.newFailures
	}
	if failed {
		failures.Add(1)
	}
	attempts.Add(1)
}

// slowFactor is the multiple of its route's objective beyond which an answer counts as
// a failure of the version.
const slowFactor = 3

// classify reports whether an attempt failed through a fault of the version, and whether
// it is evidence about the version at all. An attempt that the instance or the caller
// ended is not.
func classify(attempt receiver.Attempt) (failed, isEvidence bool) {
	if attempt.Err == nil {
		objective := time.Duration(attempt.Admission.Route.Declared.ObjectiveMillis) * time.Millisecond
		slow := objective > 0 && attempt.EndedAt.Sub(attempt.SentAt) > slowFactor*objective
		return slow || attempt.Status >= http.StatusInternalServerError, true
	}
	var refusal *arbiter.Refusal
	if !errors.As(attempt.Err, &refusal) {
		return true, true
	}
	switch refusal.Reason {
	case arbiter.UpstreamBroken:
		return true, true
	case arbiter.DeadlineExceeded:
		// A deadline that the caller has set earlier than the route's says nothing about
		// the version.
		return true, !attempt.Admission.DeadlineFromCaller
	default:
		return false, false
	}
}

// evidence returns the counts so far, one entry for each route.
func (c *moveCounters) evidence() []mover.Evidence {
	var all []mover.Evidence
	c.routes.Range(func(route, found any) bool {
		counters := found.(*routeCounters)
		all = append(all, mover.Evidence{
			Route: route.(string),
			New: mover.Count{
				Requests: int(counters.newAttempts.Load()),
				Failures: int(counters.newFailures.Load()),
			},
			Old: mover.Count{
				Requests: int(counters.oldAttempts.Load()),
				Failures: int(counters.oldFailures.Load()),
			},
		})
		return true
	})
	return mover.Merge(all)
}
