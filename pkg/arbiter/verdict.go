// Package arbiter says whether a request may have run.
//
// Every refusal and every failure in this project carries a Verdict. A caller
// may send a non-idempotent request again only after NotRun, so NotRun is said
// only where it is proved.
package arbiter

import "errors"

// Verdict says whether a request may have run at an upstream.
//
// The zero value is MayHaveRun, so that a forgotten field never promises that
// a request did not run.
type Verdict uint8

const (
	// MayHaveRun means that nobody can tell whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request is proved not to have run.
	NotRun
	// Ran means that an upstream answered the request.
	Ran
)

var verdictNames = [...]string{
	MayHaveRun: "MayHaveRun",
	NotRun:     "NotRun",
	Ran:        "Ran",
}

// String returns the name that messages and headers use.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[MayHaveRun]
	}
	return verdictNames[v]
}

// MarshalText writes the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText reads a verdict's name. A name that it does not know becomes
// MayHaveRun, which promises nothing.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = Parse(string(text))
	return nil
}

// Parse returns the verdict of that name, or MayHaveRun.
func Parse(name string) Verdict {
	switch name {
	case verdictNames[NotRun]:
		return NotRun
	case verdictNames[Ran]:
		return Ran
	default:
		return MayHaveRun
	}
}

// MayRepeat says whether a request with this verdict may be sent again.
// A request that is not idempotent may be repeated only after NotRun.
func (v Verdict) MayRepeat(idempotent bool) bool {
	if v == NotRun {
		return true
	}
	return idempotent && v == MayHaveRun
}

// Of returns the verdict that err carries, and MayHaveRun for an error that
// carries none.
func Of(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}
