// Package redirector decides how HTTP clients of this program treat redirects.
package redirector

import "net/http"

// FollowNone makes a client return a redirect as the answer. It is meant for
// http.Client.CheckRedirect.
func FollowNone(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
