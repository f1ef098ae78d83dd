package storer

import (
	"errors"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// The errors that callers of a store distinguish.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of a write does not hold.
	ErrConflict = errors.New("condition on the object's revision does not hold")
	// ErrCompacted means that the store no longer knows the changes after the revision
	// of a watch. The objects are to be listed again.
	ErrCompacted = errors.New("changes have been compacted")
	// ErrEarlierEra means that an answer is from an earlier era than one before it, so that
	// it says nothing about the store's present state.
	ErrEarlierEra = errors.New("answer is from an earlier era of the store")
	// ErrTooLarge means that a value is larger than the store accepts.
	ErrTooLarge = errors.New("value is too large")
	// ErrUnavailable means that the store did not answer, or cannot serve the call now.
	ErrUnavailable = errors.New("store is unavailable")
)

// Error is the error of a failed call to a store.
type Error struct {
	// Call names the call and its object or prefix, such as "get Seats/derby/0".
	Call string
	// Verdict says whether the call may have taken effect.
	Verdict arbiter.Verdict
	// Err is the cause. One of this package's errors is in its chain.
	Err error
}

// Error returns the call, the verdict and the cause in one line.
func (e *Error) Error() string {
	return e.Call + " (" + e.Verdict.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotSent returns the error of a call that was not sent to the store because of err.
func NotSent(call string, err error) error {
	return &Error{
		Call:    call,
		Verdict: arbiter.NotRun,
		Err:     errors.Join(ErrUnavailable, err),
	}
}

// OutcomeKnown reports whether it is known what a write did that returned err: it took
// effect if err is nil, and did not if err is an *Error with the verdict arbiter.NotRun.
// For any other error it returns false, and the caller reads the object again.
func OutcomeKnown(err error) bool {
	if err == nil {
		return true
	}
	var failed *Error
	return errors.As(err, &failed) && failed.Verdict == arbiter.NotRun
}
