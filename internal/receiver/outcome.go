package receiver

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// Outcome is how one request ended, and what decided it.
type Outcome struct {
	// ID names the request; empty if its caller names none.
	ID string
	// Arrived and Ended are instants.
	Arrived time.Time
	Ended   time.Time
	// Deadline is zero for a request that was not admitted.
	Deadline time.Time
	// Route, Service and Team are empty as far as the request did not get so far.
	Route   string
	Service string
	Team    string
	// Revision is that of the configuration that decided.
	Revision uint64
	// Generation is that of the plan that decided.
	Generation uint64
	// Upstream is the last one that the request was sent to, and Attempts is to how
	// many it was sent.
	Upstream string
	Attempts int
	// Status is that of the upstream's answer, or 0.
	Status int
	// Refusal is why the request failed, or nil.
	Refusal *arbiter.Refusal
}

// admitted takes in what an admission says.
func (o *Outcome) admitted(admission admitter.Admission) {
	if admission.Plan == nil {
		return
	}
	o.Deadline = admission.Deadline
	o.Route = admission.Route.Declared.Name
	o.Service = admission.Service
	o.Team = admission.Team()
	o.Revision = admission.Plan.Table().RevisionNumber()
	o.Generation = admission.Plan.RevisionNumber()
}

// sent takes in that the request is sent to an upstream.
func (o *Outcome) sent(upstream *admitter.Upstream) {
	o.Upstream = upstream.Declared().Name
	o.Attempts++
}

// Sending is how one sending to an upstream ended.
type Sending struct {
	Admission admitter.Admission
	Upstream  *admitter.Upstream
	// SentAt and EndedAt are instants; EndedAt is that of the answer's header.
	SentAt  time.Time
	EndedAt time.Time
	// Status is that of the answer, or 0.
	Status int
	// Err is why there is no answer, or nil.
	Err error
}
