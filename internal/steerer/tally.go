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

// tally counts what comes of a service's requests while it moves. Counting takes no
// lock.
type tally struct {
	// to names the new version.
	to string
	// routes holds a *routeTally under each route's name.
	routes sync.Map
}

// routeTally counts the requests of one route.
type routeTally struct {
	newRequests atomic.Int64
	newFailures atomic.Int64
	oldRequests atomic.Int64
	oldFailures atomic.Int64
}

// count takes in one sending.
func (t *tally) count(sending receiver.Sending) {
	failed, counts := judge(sending)
	if !counts {
		return
	}
	route := sending.Admission.Route.Declared.Name
	found, known := t.routes.Load(route)
	if !known {
		found, _ = t.routes.LoadOrStore(route, &routeTally{})
	}
	one := found.(*routeTally)
	requests, failures := &one.oldRequests, &one.oldFailures
	if sending.Upstream.Version() == t.to {
		requests, failures = &one.newRequests, &one.newFailures
	}
	if failed {
		failures.Add(1)
	}
	requests.Add(1)
}

// slowObjectives is how many times its route's objective an answer takes that counts
// as a failure of the version.
const slowObjectives = 3

// judge says whether a sending failed by the version's fault, and whether it says
// anything about the version at all.
func judge(sending receiver.Sending) (failed, counts bool) {
	if sending.Err == nil {
		objective := time.Duration(sending.Admission.Route.Declared.ObjectiveMillis) * time.Millisecond
		slow := objective > 0 && sending.EndedAt.Sub(sending.SentAt) > slowObjectives*objective
		return slow || sending.Status >= http.StatusInternalServerError, true
	}
	var refusal *arbiter.Refusal
	if !errors.As(sending.Err, &refusal) {
		return true, true
	}
	switch refusal.Reason {
	case arbiter.UpstreamBroken:
		return true, true
	case arbiter.DeadlineExceeded:
		return true, !sending.Admission.Hurried
	default:
		return false, false
	}
}

// evidence returns the counts so far.
func (t *tally) evidence() []mover.Evidence {
	var all []mover.Evidence
	t.routes.Range(func(route, found any) bool {
		one := found.(*routeTally)
		all = append(all, mover.Evidence{
			Route: route.(string),
			New: mover.Count{
				Requests: int(one.newRequests.Load()),
				Failures: int(one.newFailures.Load()),
			},
			Old: mover.Count{
				Requests: int(one.oldRequests.Load()),
				Failures: int(one.oldFailures.Load()),
			},
		})
		return true
	})
	return mover.Merge(all)
}
