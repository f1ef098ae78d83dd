package translator

import (
	"net/http"
	"strings"
)

// StripNotForwarded removes the headers that must not be forwarded: the hop-by-hop headers,
// those that the Connection header names, and Authorization with the caller's key.
func StripNotForwarded(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range headersNotForwarded {
		delete(header, name)
	}
}

// CarriesKey reports whether the request target, the host or a header other than
// Authorization contains the key, and would expose it to an upstream.
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
