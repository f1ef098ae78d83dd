package translator

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// The headers of this project.
const (
	// HeaderPrefix starts them all. Callers cannot set any towards upstreams.
	HeaderPrefix = "Hemlockport-"
	// HeaderVerdict tells a caller whether the request may have run. An upstream
	// that sheds a request sets it to NotRun, with status 503.
	HeaderVerdict = HeaderPrefix + "Verdict"
	// HeaderReason tells a caller why the request was refused.
	HeaderReason = HeaderPrefix + "Reason"
	// HeaderTeam tells an upstream which team the request runs for.
	HeaderTeam = HeaderPrefix + "Team"
	// HeaderTimeoutMillis is what is left until the deadline, in milliseconds. It
	// goes from the caller to us and from us to the upstream, as time left and not
	// as an instant, because the clocks of the two need not agree.
	HeaderTimeoutMillis = HeaderPrefix + "Timeout-Millis"
)

// Own speaks this project's own headers.
type Own struct{}

var _ Translator = Own{}

// Ask reads the time left.
func (Own) Ask(header http.Header, now time.Time) (Asked, *arbiter.Refusal) {
	text := header.Get(HeaderTimeoutMillis)
	if text == "" {
		return Asked{}, nil
	}
	left, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return Asked{}, arbiter.Refuse(arbiter.RequestMalformed, HeaderTimeoutMillis+": want whole milliseconds")
	}
	return Asked{
		Deadline: now.Add(time.Duration(left) * time.Millisecond),
	}, nil
}

// Tell names the team and the time left.
func (Own) Tell(header http.Header, told Told, now time.Time) {
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
	if told.Team != "" {
		header.Set(HeaderTeam, told.Team)
	}
	left := max(told.Deadline.Sub(now).Milliseconds(), 0)
	header.Set(HeaderTimeoutMillis, strconv.FormatInt(left, 10))
}

// Examine finds requests that were shed.
func (Own) Examine(response *http.Response) *arbiter.Refusal {
	shed := response.StatusCode == http.StatusServiceUnavailable &&
		arbiter.Parse(response.Header.Get(HeaderVerdict)) == arbiter.NotRun
	if !shed {
		return nil
	}
	return arbiter.Refuse(arbiter.UpstreamShed, "the upstream has shed the request").
		WithRetryAt(retryAt(response.Header))
}

func retryAt(header http.Header) time.Time {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(seconds) * time.Second)
}

// Load returns false: the project's own upstreams tell their load when probed.
func (Own) Load(http.Header) (Load, bool) {
	return Load{}, false
}

// Pass tells the caller that the request ran.
func (Own) Pass(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
	header.Set(HeaderVerdict, arbiter.Ran.String())
}

// NamesAnswers returns false: answers carry no name.
func (Own) NamesAnswers() bool {
	return false
}

// Refused is the body of a refusal.
type Refused struct {
	// Verdict says whether the request may have run.
	Verdict arbiter.Verdict
	// Reason is one of the reasons of package arbiter.
	Reason arbiter.Reason
	// Detail is one line for a person.
	Detail string
	// RetryAt is the earliest instant for another try, if one is known.
	RetryAt time.Time `json:",omitzero"`
}

// Refuse answers with the verdict, the reason and a body for people.
func (Own) Refuse(w http.ResponseWriter, _ *http.Request, refusal *arbiter.Refusal, now time.Time) {
	body, err := encoder.JSON[Refused]{}.Encode(Refused{
		Verdict: refusal.Verdict,
		Reason:  refusal.Reason,
		Detail:  refusal.Detail,
		RetryAt: refusal.RetryAt.UTC(),
	})
	if err != nil {
		body = nil
	}
	status := StatusOf(refusal.Reason)
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
