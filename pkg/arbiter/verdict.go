// Package arbiter defines the verdicts on whether a request has run, derives them from
// the progress of an attempt, and says which requests may be sent again after them. It
// also defines the errors that carry a verdict. Whether a request really is sent again is
// decided by package retrier.
//
// Every refusal and every failure in this project carries a Verdict. A caller may send
// a request that is not idempotent again only after NotRun, so NotRun is used only
// where it is proved.
package arbiter

import "errors"

// Verdict says whether a request may have run at an upstream.
//
// The zero value is MayHaveRun, so that a field that was not set never claims that a
// request did not run.
type Verdict uint8

const (
	// MayHaveRun means that it is not known whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request is proved not to have run.
	NotRun
	// Ran means that an upstream answered the request, even with a 5xx status, unless that
	// answer counts as a failed attempt (see UpstreamFailed).
	Ran
)

// verdictNames are the names by which messages and headers carry a verdict.
var verdictNames = [...]string{
	MayHaveRun: "MayHaveRun",
	NotRun:     "NotRun",
	Ran:        "Ran",
}

// String returns the name that messages and headers use. A value that is not a verdict
// has the name of MayHaveRun.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[MayHaveRun]
	}
	return verdictNames[v]
}

// MarshalText returns the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText reads a verdict's name. An unknown name becomes MayHaveRun, which
// claims nothing about the request.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = ParseVerdict(string(text))
	return nil
}

// ParseVerdict returns the verdict of that name, and MayHaveRun for an unknown name.
func ParseVerdict(name string) Verdict {
	switch name {
	case verdictNames[NotRun]:
		return NotRun
	case verdictNames[Ran]:
		return Ran
	default:
		return MayHaveRun
	}
}

// MayRepeat reports whether a request with this verdict may be sent again: any request
// after NotRun, only an idempotent one after MayHaveRun, and none after Ran.
func (v Verdict) MayRepeat(idempotent bool) bool {
	if v == NotRun {
		return true
	}
	return idempotent && v == MayHaveRun
}

// VerdictOf returns the verdict of the first Refusal in err's chain, and MayHaveRun if
// there is none.
func VerdictOf(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}
