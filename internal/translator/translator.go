// Package translator reads the metadata of requests and answers from HTTP headers and
// writes it there. It decides which headers an upstream and a caller see, and with which
// status a refusal is answered. It takes part in the decision to refuse only by reporting
// which requests it cannot read, which ones expose a key, and which answers must not be
// passed on. A deployment whose callers and upstreams use other headers implements its own
// Translator.
package translator

import (
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// CallerMetadata is the metadata that a caller sends in the headers of its request.
type CallerMetadata struct {
	// ID identifies the request in answers and logs; empty if the caller sets none.
	ID string
	// Object identifies the object that the request concerns; may be empty.
	Object string
	// Deadline is the deadline that the caller sets, or zero.
	Deadline time.Time
}

// UpstreamMetadata is the metadata that an upstream receives in the headers of a request.
type UpstreamMetadata struct {
	// Team is the team that the request runs for; empty on a route open to all.
	Team string
	// Upstream is the name of the intended upstream. An upstream that receives another
	// name than its own must not run the request: it has taken over the address. Native
	// does not send the name.
	Upstream string
	// Deadline ends the request; never zero.
	Deadline time.Time
}

// Translator reads and writes the headers of one kind of deployment. Implementations
// are immutable and safe for concurrent use.
type Translator interface {
	// ReadMetadata reads the metadata that a caller sends with a request. Its refusals
	// have the verdict NotRun.
	ReadMetadata(header http.Header, now time.Time) (CallerMetadata, *arbiter.Refusal)
	// WriteMetadata writes the metadata for an upstream. It overwrites or removes
	// headers of the caller's with the same meaning.
	WriteMetadata(header http.Header, metadata UpstreamMetadata, now time.Time)
	// CheckAnswer returns the reason not to pass an answer on, or nil if there is none:
	// the upstream did not run the request, or the answer belongs to another request.
	CheckAnswer(response *http.Response) *arbiter.Refusal
	// ReadReport reads what an upstream tells of itself in an answer that arrived at the
	// time now. What it cannot read counts as not told.
	ReadReport(response *http.Response, now time.Time) registrar.Report
	// RewriteAnswer rewrites the header of an answer before it is sent to the caller.
	RewriteAnswer(header http.Header)
	// RefusalStatus returns the HTTP status with which WriteRefusal answers.
	RefusalStatus(refusal *arbiter.Refusal) int
	// WriteRefusal writes the answer to a request that was refused or has failed.
	WriteRefusal(w http.ResponseWriter, request *http.Request, refusal *arbiter.Refusal, now time.Time)
	// DetectsMismatches reports whether CheckAnswer detects that an answer is not to the
	// request with this header. If so, connections are reused for it even if it is not
	// idempotent. Otherwise such a request gets a connection of its own.
	DetectsMismatches(request http.Header) bool
}

// headersNotForwarded lists the headers that are never forwarded: those that concern one
// connection only (RFC 9110, section 7.6.1), and Authorization, because an upstream must
// not see the caller's key.
var headersNotForwarded = []string{
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
