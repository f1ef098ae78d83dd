package translator

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// The headers that this project defines.
const (
	// HeaderPrefix is the prefix of all these headers. Headers with this prefix are
	// not forwarded from callers to upstreams.
	HeaderPrefix = "Hemlockport-"
	// HeaderVerdict tells a caller whether the request may have run. An upstream
	// that sheds a request sets it to NotRun, with status 503.
	HeaderVerdict = HeaderPrefix + "Verdict"
	// HeaderReason tells a caller why the request was refused or has failed.
	HeaderReason = HeaderPrefix + "Reason"
	// HeaderTeam tells an upstream which team the request runs for.
	HeaderTeam = HeaderPrefix + "Team"
	// HeaderTimeoutMillis is the time remaining until the deadline, in milliseconds.
	// The caller sends it to the instance, and the instance to the upstream. It is a
	// duration and not a point in time because their clocks need not agree.
	HeaderTimeoutMillis = HeaderPrefix + "Timeout-Millis"
)

// Native is the Translator for the headers that this project defines.
type Native struct{}

var _ Translator = Native{}

// ReadMetadata reads the time remaining until the caller's deadline.
func (Native) ReadMetadata(header http.Header, now time.Time) (CallerMetadata, *arbiter.Refusal) {
	text := header.Get(HeaderTimeoutMillis)
	if text == "" {
		return CallerMetadata{}, nil
	}
	remaining, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return CallerMetadata{}, arbiter.Refuse(arbiter.RequestMalformed, HeaderTimeoutMillis+": want whole milliseconds")
	}
	return CallerMetadata{
		Deadline: now.Add(time.Duration(remaining) * time.Millisecond),
	}, nil
}

// WriteMetadata sets the team and the time remaining until the deadline. It removes all
// other headers with HeaderPrefix.
func (Native) WriteMetadata(header http.Header, metadata UpstreamMetadata, now time.Time) {
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
	if metadata.Team != "" {
		header.Set(HeaderTeam, metadata.Team)
	}
	remaining := max(metadata.Deadline.Sub(now).Milliseconds(), 0)
	header.Set(HeaderTimeoutMillis, strconv.FormatInt(remaining, 10))
}

// CheckAnswer returns a refusal for a request that the upstream has shed, with status 503 and
// the verdict NotRun, and for a success that has this verdict. It passes all other answers,
// whatever their status: callers go by the verdict. An upstream that is an instance too
// refuses requests with many statuses.
func (Native) CheckAnswer(response *http.Response) *arbiter.Refusal {
	sheds := response.StatusCode == http.StatusServiceUnavailable
	succeeds := response.StatusCode < http.StatusMultipleChoices
	hasNotRun := arbiter.ParseVerdict(response.Header.Get(HeaderVerdict)) == arbiter.NotRun
	claims := arbiter.AnswerClaims{
		StatesNotRun: hasNotRun && (sheds || succeeds),
		Refuses:      sheds,
	}
	refusal := claims.Refusal()
	if refusal == nil {
		return nil
	}
	return refusal.WithRetryAt(parseRetryAfter(response.Header))
}

func parseRetryAfter(header http.Header) time.Time {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(seconds) * time.Second)
}

// ReadReport returns an empty report, because upstreams that use these headers tell nothing
// of themselves.
func (Native) ReadReport(*http.Response, time.Time) registrar.Report {
	return registrar.Report{}
}

// RewriteAnswer removes the upstream's headers with HeaderPrefix and sets the verdict
// to Ran.
func (Native) RewriteAnswer(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
	header.Set(HeaderVerdict, arbiter.Ran.String())
}

// DetectsMismatches returns false, because answers do not identify their request.
func (Native) DetectsMismatches(http.Header) bool {
	return false
}

// RefusalBody is the body of an answer to a refused or failed request.
type RefusalBody struct {
	// Verdict says whether the request may have run.
	Verdict arbiter.Verdict
	// Reason is one of the reasons of package arbiter.
	Reason arbiter.Reason
	// Detail is a description in one line, meant for people.
	Detail string
	// RetryAt is the earliest time for a retry; zero if none is known.
	RetryAt time.Time `json:",omitzero"`
}

// RefusalStatus returns the status of a refusal.
func (Native) RefusalStatus(refusal *arbiter.Refusal) int {
	return StatusOf(refusal)
}

// WriteRefusal writes the verdict and the reason as headers, and a RefusalBody.
func (n Native) WriteRefusal(w http.ResponseWriter, _ *http.Request, refusal *arbiter.Refusal, now time.Time) {
	body, err := encoder.JSON[RefusalBody]{}.Encode(RefusalBody{
		Verdict: refusal.Verdict,
		Reason:  refusal.Reason,
		Detail:  refusal.Detail,
		RetryAt: refusal.RetryAt.UTC(),
	})
	if err != nil {
		body = nil
	}
	status := n.RefusalStatus(refusal)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderVerdict, refusal.Verdict.String())
	header.Set(HeaderReason, string(refusal.Reason))
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if !refusal.RetryAt.IsZero() {
		seconds := math.Ceil(refusal.RetryAt.Sub(now).Seconds())
		header.Set("Retry-After", strconv.Itoa(max(int(seconds), 1)))
	}
	w.WriteHeader(status)
	w.Write(body)
}
