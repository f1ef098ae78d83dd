package receiver

import (
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// Outcome describes how one request ended, and which configuration and plan were
// applied to it.
type Outcome struct {
	// ID identifies the request; empty if the caller set none.
	ID string
	// Arrived is when the request came in, and Ended when it was finished.
	Arrived time.Time
	Ended   time.Time
	// The fields from Deadline to Generation are set if the request was admitted or
	// refused because of its team's rate; after any other refusal of the admission they
	// are zero. Team is empty on an open route as well. Revision is the revision of the
	// configuration and Generation the generation of the plan that were applied.
	Deadline   time.Time
	Route      string
	Service    string
	Team       string
	Revision   uint64
	Generation uint64
	// Upstream is the name of the upstream of the last attempt; empty if there was none.
	// Placement says what its choice was based on.
	Upstream  string
	Placement admitter.Placement
	// Attempts is the number of attempts.
	Attempts int
	// LoadBound is the service's load bound if an attempt found no upstream with room for
	// the request, or 0 (see admitter.Admission.LoadBound).
	LoadBound float64
	// Refused describes the choices of the request if an attempt found no upstream with room
	// for it (see admitter.Admission.RefusalAt).
	Refused admitter.Placement
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Objective is the time until which an answer is worth most; zero if the route has none.
	Objective time.Time
	// AnswerLoad is the load of the upstream, in requests for each slot, when it had answered; 0
	// if there was no answer.
	AnswerLoad float64
	// Queue is what the queue did with the request.
	Queue QueueOutcome
	// Status is the HTTP status of the upstream's answer that was passed on, or 0 if there was
	// none.
	Status int
	// History says whether the attempts allow the verdict NotRun.
	History arbiter.History
	// Failures are the attempts that failed, in their order.
	Failures []FailedAttempt
	// CallerStatus is the HTTP status that the caller is sent, or 0 if its connection is
	// aborted.
	CallerStatus int
	// Refusal is why the request failed, or nil.
	Refusal *arbiter.Refusal
}

// recordAdmission copies what the admission determined. An admission without a plan was
// refused for another reason than the team's rate, and holds nothing to copy.
func (o *Outcome) recordAdmission(admission admitter.Admission) {
	if admission.Plan == nil {
		return
	}
	o.Deadline = admission.Deadline
	o.Route = admission.Route.Declared.Name
	o.Service = admission.Service
	o.Team = admission.Team()
	o.Priority = admission.Priority()
	o.Objective = admission.Objective(o.Arrived)
	o.Revision = admission.Plan.Table().RevisionNumber()
	o.Generation = admission.Plan.RevisionNumber()
}

// recordAttempt records that an attempt is about to send the request to an upstream.
func (o *Outcome) recordAttempt(upstream *admitter.Upstream, placement admitter.Placement) {
	o.Upstream = upstream.Declared().Name
	o.Placement = placement
	o.Attempts++
	o.History = o.History.WithAttempt()
}

// FailedAttempt describes an attempt that failed, and what that says about the request.
type FailedAttempt struct {
	// Upstream is the name of the upstream.
	Upstream string
	// SentAt is when the attempt began, and EndedAt when it failed.
	SentAt  time.Time
	EndedAt time.Time
	// Status is the HTTP status of the upstream's answer, or 0 if there was none.
	Status int
	// Reason is why the attempt failed. After the verdict NotRun it also tells the proof: no
	// byte was sent, or the upstream's answer says so.
	Reason arbiter.Reason
	// Verdict says whether the request may have run in this attempt.
	Verdict arbiter.Verdict
	// Detail says what was wrong with a malformed answer; empty after any other failure. Its
	// length is bounded, and the bytes of the answer in it are escaped.
	Detail string
}

// recordFailure records an attempt that has failed with err. The status is that of the
// upstream's answer, or 0.
func (o *Outcome) recordFailure(upstream *admitter.Upstream, status int, sentAt time.Time, err error) {
	failure := FailedAttempt{
		Upstream: upstream.Declared().Name,
		SentAt:   sentAt,
		EndedAt:  time.Now(),
		Status:   status,
		Verdict:  arbiter.VerdictOf(err),
	}
	var refusal *arbiter.Refusal
	if errors.As(err, &refusal) {
		failure.Reason = refusal.Reason
	}
	var malformed *inspector.MalformedError
	if errors.As(err, &malformed) {
		failure.Detail = malformed.Error()
	}
	o.Failures = append(o.Failures, failure)
	o.History = o.History.WithResult(failure.Verdict)
}

// Attempt describes one attempt to send a request to an upstream. Until it has ended, the
// fields from EndedAt on are zero.
type Attempt struct {
	Admission admitter.Admission
	Upstream  *admitter.Upstream
	// SentAt is when the attempt began, and EndedAt when the answer's header arrived
	// or the attempt failed.
	SentAt  time.Time
	EndedAt time.Time
	// Status is the HTTP status of the answer, also of one that is not passed on, or 0 if there
	// was none.
	Status int
	// Err is why there is no answer, or nil.
	Err error
}
