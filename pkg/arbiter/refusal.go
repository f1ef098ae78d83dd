package arbiter

import (
	"fmt"
	"time"
)

// Reason names why a request was refused or failed.
type Reason string

// The reasons a caller can be given.
const (
	UnknownService    Reason = "UnknownService"
	KeyMissing        Reason = "KeyMissing"
	KeyUnknown        Reason = "KeyUnknown"
	KeyWithdrawn      Reason = "KeyWithdrawn"
	KeyExposed        Reason = "KeyExposed"
	KeyUnconfirmed    Reason = "KeyUnconfirmed"
	TeamNotAllowed    Reason = "TeamNotAllowed"
	TeamOverRate      Reason = "TeamOverRate"
	NoRoom            Reason = "NoRoom"
	NotReady          Reason = "NotReady"
	InstanceFull      Reason = "InstanceFull"
	RequestMalformed  Reason = "RequestMalformed"
	RequestTruncated  Reason = "RequestTruncated"
	DeadlineExceeded  Reason = "DeadlineExceeded"
	CallerGone        Reason = "CallerGone"
	UpstreamUnreached Reason = "UpstreamUnreached"
	UpstreamShed      Reason = "UpstreamShed"
	UpstreamBroken    Reason = "UpstreamBroken"
	UpstreamFailed    Reason = "UpstreamFailed"
	UpstreamReplaced  Reason = "UpstreamReplaced"
	AnswerBroken      Reason = "AnswerBroken"
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{
		UnknownService,
		KeyMissing,
		KeyUnknown,
		KeyWithdrawn,
		KeyExposed,
		KeyUnconfirmed,
		TeamNotAllowed,
		TeamOverRate,
		NoRoom,
		NotReady,
		InstanceFull,
		RequestMalformed,
		RequestTruncated,
		DeadlineExceeded,
		CallerGone,
		UpstreamUnreached,
		UpstreamShed,
		UpstreamBroken,
		UpstreamFailed,
		UpstreamReplaced,
		AnswerBroken,
	}
}

// Refusal is the error that ends a request. Treat it as immutable: the With
// methods return changed copies.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is never empty.
	Reason Reason
	// Detail is one line for a person. It never holds a key.
	Detail string
	// RetryAt is the earliest instant at which another try is worth while. The
	// zero time says that none is known.
	RetryAt time.Time
	// cause is the error below this one, or nil. It stays in the process.
	cause error
}

// Refuse returns a refusal of a request that is proved not to have run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{
		Verdict: NotRun,
		Reason:  reason,
		Detail:  detail,
	}
}

// Doubt returns the failure of a request that may have run.
func Doubt(reason Reason, detail string) *Refusal {
	return &Refusal{
		Verdict: MayHaveRun,
		Reason:  reason,
		Detail:  detail,
	}
}

// WithRetryAt returns a copy that names the earliest instant for another try.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	next := *r
	next.RetryAt = at
	return &next
}

// WithCause returns a copy that wraps err.
func (r *Refusal) WithCause(err error) *Refusal {
	next := *r
	next.cause = err
	return &next
}

// WithVerdict returns a copy with another verdict.
func (r *Refusal) WithVerdict(verdict Verdict) *Refusal {
	next := *r
	next.Verdict = verdict
	return &next
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string {
	if r.cause == nil {
		return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
	}
	return fmt.Sprintf("%s (%s): %s: %v", r.Reason, r.Verdict, r.Detail, r.cause)
}

// Unwrap returns the wrapped cause, or nil.
func (r *Refusal) Unwrap() error {
	return r.cause
}
