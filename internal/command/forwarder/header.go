package forwarder

import (
	"net/http"
	"strings"
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

// strip removes the headers of a message that do not go on beyond this hop.
func strip(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
}

// CarriesKey says whether a key stands anywhere but in the Authorization header,
// from where it would reach an upstream.
func CarriesKey(request *http.Request, key string) bool {
	if strings.Contains(request.RequestURI, key) || strings.Contains(request.Host, key) {
		return true
	}
	for name, values := range request.Header {
		if name == "Authorization" {
			continue
		}
		for _, value := range values {
			if strings.Contains(value, key) {
				return true
			}
		}
	}
	return false
}
