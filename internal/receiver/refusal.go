package receiver

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

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

// statuses gives each reason its HTTP status; others have 502.
var statuses = map[arbiter.Reason]int{
	arbiter.UnknownService:   http.StatusNotFound,
	arbiter.KeyMissing:       http.StatusUnauthorized,
	arbiter.KeyUnknown:       http.StatusUnauthorized,
	arbiter.KeyWithdrawn:     http.StatusUnauthorized,
	arbiter.KeyExposed:       http.StatusBadRequest,
	arbiter.KeyUnconfirmed:   http.StatusServiceUnavailable,
	arbiter.TeamNotAllowed:   http.StatusForbidden,
	arbiter.TeamOverRate:     http.StatusTooManyRequests,
	arbiter.NoRoom:           http.StatusServiceUnavailable,
	arbiter.NotReady:         http.StatusServiceUnavailable,
	arbiter.InstanceFull:     http.StatusServiceUnavailable,
	arbiter.RequestMalformed: http.StatusBadRequest,
	arbiter.RequestTruncated: http.StatusBadRequest,
	arbiter.DeadlineExceeded: http.StatusGatewayTimeout,
	arbiter.UpstreamShed:     http.StatusServiceUnavailable,
}

// StatusOf returns the HTTP status of a reason.
func StatusOf(reason arbiter.Reason) int {
	status, found := statuses[reason]
	if !found {
		return http.StatusBadGateway
	}
	return status
}

// writeRefusal answers a caller whose request was refused or failed.
func writeRefusal(w http.ResponseWriter, refusal *arbiter.Refusal, now time.Time) {
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
	header.Set(forwarder.HeaderVerdict, refusal.Verdict.String())
	header.Set(forwarder.HeaderReason, string(refusal.Reason))
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
