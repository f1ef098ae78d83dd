package translator

import (
	"net/http"
	"strings"
)

// Strip removes the headers of a message that do not go on beyond this hop.
func Strip(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
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
