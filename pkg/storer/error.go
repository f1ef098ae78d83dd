package storer

import (
	"errors"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// The errors that callers of a store tell apart.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object has changed")
	ErrCompacted   = errors.New("changes are no longer known")
	ErrTooLarge    = errors.New("value is too large")
	ErrUnavailable = errors.New("store is unavailable")
)

// Error is a failed call to a store.
type Error struct {
	// Call names the call and the object.
	Call string
	// Verdict says whether the call may have taken effect.
	Verdict arbiter.Verdict
	// Err is the cause; one of this package's errors is in its chain.
	Err error
}

// Error describes the failure in one line.
func (e *Error) Error() string {
	return e.Call + " (" + e.Verdict.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Unmade returns the error of a call that was not made.
func Unmade(call string, err error) error {
	return &Error{
		Call:    call,
		Verdict: arbiter.NotRun,
		Err:     errors.Join(ErrUnavailable, err),
	}
}

// Settled says whether a write's outcome is known. After an unsettled write the
// object is read again.
func Settled(err error) bool {
	if err == nil {
		return true
	}
	var failed *Error
	return errors.As(err, &failed) && failed.Verdict == arbiter.NotRun
}
