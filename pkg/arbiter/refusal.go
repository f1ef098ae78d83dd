package arbiter

import (
	"errors"
	"fmt"
	"time"
)

// Reason is the machine-readable cause for which a request was refused or failed.
type Reason string

// The reasons of refusals.
const (
	// UnknownService means that no route has the request's host name and path.
	UnknownService Reason = "UnknownService"
	// KeyMissing means that the request needs a key and carries none in the right form.
	KeyMissing Reason = "KeyMissing"
	// KeyUnknown means that the key is not declared.
	KeyUnknown Reason = "KeyUnknown"
	// KeyWithdrawn means that the key was declared and has been withdrawn.
	KeyWithdrawn Reason = "KeyWithdrawn"
	// KeyMoved means that the key has moved to another team before the request was sent.
	KeyMoved Reason = "KeyMoved"
	// KeyExposed means that the key also appears in a part of the request that is passed
	// on to an upstream.
	KeyExposed Reason = "KeyExposed"
	// KeyUnconfirmed means that the instance has not been able to confirm its
	// configuration for so long that it can no longer tell whether the key still works.
	KeyUnconfirmed Reason = "KeyUnconfirmed"
	// TeamNotAllowed means that the key's team may not use the service.
	TeamNotAllowed Reason = "TeamNotAllowed"
	// TeamOverRate means that the team's rate limit is used up.
	TeamOverRate Reason = "TeamOverRate"
	// NoRoom means that no upstream has a free slot.
	NoRoom Reason = "NoRoom"
	// NotReady means that the instance has no configuration yet.
	NotReady Reason = "NotReady"
	// InstanceFull means that the instance has too many requests in flight.
	InstanceFull Reason = "InstanceFull"
	// InstanceStopping means that the instance drains and an answer is not expected before it
	// stops.
	InstanceStopping Reason = "InstanceStopping"
	// RequestMalformed means that the request is not well formed or not supported.
	RequestMalformed Reason = "RequestMalformed"
	// RequestTruncated means that the request's body ended early or came too slowly.
	RequestTruncated Reason = "RequestTruncated"
	// DeadlineExceeded means that the deadline passed before the request was sent or its
	// answer could be passed on.
	DeadlineExceeded Reason = "DeadlineExceeded"
	// CallerGone means that the caller disconnected before an answer could be passed on.
	CallerGone Reason = "CallerGone"
	// RequestAborted means that the instance stopped before the upstream answered.
	RequestAborted Reason = "RequestAborted"
	// UpstreamUnreached means that no connection to the upstream could be made.
	UpstreamUnreached Reason = "UpstreamUnreached"
	// ConnectionEnded means that the connection kept to an upstream had ended before a byte
	// of the request was sent. It shows nothing about the upstream: idle connections end.
	ConnectionEnded Reason = "ConnectionEnded"
	// UpstreamShed means that the upstream shed the request: it has no capacity and has
	// not run it.
	UpstreamShed Reason = "UpstreamShed"
	// UpstreamBroken means that the upstream broke the connection, or that its answer is
	// not valid.
	UpstreamBroken Reason = "UpstreamBroken"
	// AnswerMalformed means that the upstream's answer is none by the grammar of its protocol.
	// What it says about the request counts for nothing.
	AnswerMalformed Reason = "AnswerMalformed"
	// UpstreamFailed means that an upstream answered with a 5xx status and a later attempt
	// got no answer.
	UpstreamFailed Reason = "UpstreamFailed"
	// UpstreamReplaced means that another upstream has the address now, or with the verdict
	// MayHaveRun that an answer says so without a proof.
	UpstreamReplaced Reason = "UpstreamReplaced"
	// NotRunUnproved means that the upstream's answer says that the request has not run, and
	// does not prove it.
	NotRunUnproved Reason = "NotRunUnproved"
	// BodyRead means that the request was not sent again because an earlier attempt has read a
	// part of its body, which is not kept.
	BodyRead Reason = "BodyRead"
	// AnswerBroken means that the answer could not be completed after its header had been
	// written, because the upstream or the caller failed. If a part of the answer has been
	// sent, the caller does not receive this reason: its connection or stream is aborted.
	AnswerBroken Reason = "AnswerBroken"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		UnknownService,
		KeyMissing,
		KeyUnknown,
		KeyWithdrawn,
		KeyMoved,
		KeyExposed,
		KeyUnconfirmed,
		TeamNotAllowed,
		TeamOverRate,
		NoRoom,
		NotReady,
		InstanceFull,
		InstanceStopping,
		RequestMalformed,
		RequestTruncated,
		DeadlineExceeded,
		CallerGone,
		RequestAborted,
		UpstreamUnreached,
		ConnectionEnded,
		UpstreamShed,
		UpstreamBroken,
		AnswerMalformed,
		UpstreamFailed,
		UpstreamReplaced,
		NotRunUnproved,
		BodyRead,
		AnswerBroken,
	}
}

// Refusal is the error with which a request ends: Refuse makes one for a request that did
// not run, and Fail one for a request that may have run. Both are called refusals.
// Treat a Refusal as immutable: the With methods return changed copies.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is why the request was refused or failed; never empty.
	Reason Reason
	// Detail explains the refusal to a person in one line. It never contains a key.
	Detail string
	// RetryAt is the earliest time at which a retry is worthwhile; zero if none is known.
	RetryAt time.Time
	// cause is the error that led to this one, or nil. It does not leave the process.
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

// Fail returns a refusal for the failure of a request that may have run.
func Fail(reason Reason, detail string) *Refusal {
	return &Refusal{
		Verdict: MayHaveRun,
		Reason:  reason,
		Detail:  detail,
	}
}

// WithRetryAt returns a copy with that time as the earliest for a retry.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	next := *r
	next.RetryAt = at
	return &next
}

// WithCause returns a copy that wraps err as its cause.
func (r *Refusal) WithCause(err error) *Refusal {
	next := *r
	next.cause = err
	return &next
}

// WithVerdict returns a copy with that verdict.
func (r *Refusal) WithVerdict(verdict Verdict) *Refusal {
	next := *r
	next.Verdict = verdict
	return &next
}

// IsUnsent reports whether an attempt failed before a byte of the request was sent, for a
// reason that shows nothing about the upstream.
func IsUnsent(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Verdict == NotRun && refusal.Reason == ConnectionEnded
}

// Error returns the reason, verdict, detail and cause in one line.
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
