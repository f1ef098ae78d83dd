// Package translator puts what concerns a request into HTTP headers and reads it
// from there. A deployment whose callers and upstreams use other headers has a
// Translator of its own.
package translator

import (
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// Asked is what a caller says about its request, beside the request itself.
type Asked struct {
	// ID names the request in answers and logs; empty if the caller names none.
	ID string
	// Object names what the request is about, or is empty.
	Object string
	// Deadline is the caller's own, or zero.
	Deadline time.Time
}

// Told is what an upstream is told about a request.
type Told struct {
	// Team is the team that the request runs for; empty on a route open to all.
	Team string
	// Upstream names the upstream that is meant. Another one that has its address
	// now does not run the request.
	Upstream string
	// Deadline ends the request; never zero.
	Deadline time.Time
}

// Load is what an upstream says of itself.
type Load struct {
	// Running and Waiting count requests of all instances.
	Running int
	Waiting int
}

// Translator knows the headers of one kind of deployment. Implementations are
// immutable and safe for many goroutines.
type Translator interface {
	// Ask reads what a caller says. A refusal is NotRun.
	Ask(header http.Header, now time.Time) (Asked, *arbiter.Refusal)
	// Tell sets what an upstream is told. No header of the caller's that means the
	// same is left.
	Tell(header http.Header, told Told, now time.Time)
	// Examine returns why an answer is not to be passed on, or nil: the upstream did
	// not run the request, or the answer is not the request's own.
	Examine(response *http.Response) *arbiter.Refusal
	// Load reads what an upstream says of its load, and returns false if it says
	// nothing.
	Load(header http.Header) (Load, bool)
	// Pass changes the header of an answer on its way to the caller.
	Pass(header http.Header)
	// Refuse answers a caller whose request was refused or has failed.
	Refuse(w http.ResponseWriter, request *http.Request, refusal *arbiter.Refusal, now time.Time)
	// NamesAnswers says that Examine finds an answer to another request. Then
	// connections are used for many requests of any kind.
	NamesAnswers() bool
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). The keys of
// callers are among them: they end here.
var hopHeaders = []string{
	"Authorization",
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}
