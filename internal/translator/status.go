package translator

import (
	"net/http"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// statusByReason maps reasons to HTTP statuses. All other reasons have status 502: failures
// of upstreams, and CallerGone, whose status no caller reads.
var statusByReason = map[arbiter.Reason]int{
	arbiter.UnknownService:   http.StatusNotFound,
	arbiter.KeyMissing:       http.StatusUnauthorized,
	arbiter.KeyUnknown:       http.StatusUnauthorized,
	arbiter.KeyWithdrawn:     http.StatusUnauthorized,
	arbiter.KeyMoved:         http.StatusServiceUnavailable,
	arbiter.KeyExposed:       http.StatusBadRequest,
	arbiter.KeyUnconfirmed:   http.StatusServiceUnavailable,
	arbiter.TeamNotAllowed:   http.StatusForbidden,
	arbiter.TeamOverRate:     http.StatusTooManyRequests,
	arbiter.NoRoom:           http.StatusServiceUnavailable,
	arbiter.NotReady:         http.StatusServiceUnavailable,
	arbiter.InstanceFull:     http.StatusServiceUnavailable,
	arbiter.InstanceStopping: http.StatusServiceUnavailable,
	arbiter.RequestMalformed: http.StatusBadRequest,
	arbiter.RequestTruncated: http.StatusBadRequest,
	arbiter.DeadlineExceeded: http.StatusGatewayTimeout,
	arbiter.UpstreamShed:     http.StatusServiceUnavailable,
}

// StatusOf returns the HTTP status of a refusal: that of its reason, unless this is one with
// which clients send a request again and the request may have run.
func StatusOf(refusal *arbiter.Refusal) int {
	status, found := statusByReason[refusal.Reason]
	if !found || refusal.Verdict != arbiter.NotRun && invitesRetry(status) {
		return http.StatusBadGateway
	}
	return status
}

// invitesRetry reports whether clients take a status for the statement that the request has
// not run.
func invitesRetry(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
