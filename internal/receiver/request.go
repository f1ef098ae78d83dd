package receiver

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// readRequest extracts from an HTTP request what admission needs, and records the
// request's ID in outcome.
func (r *Receiver) readRequest(
	request *http.Request,
	outcome *Outcome,
	now time.Time,
) (admitter.Request, *arbiter.Refusal) {
	admissionRequest := admitter.Request{
		Host:        request.Host,
		Path:        request.URL.Path,
		EscapedPath: request.URL.RawPath,
		Method:      request.Method,
		Random:      rand.Uint64(),
		Now:         now,
		ArrivedAt:   outcome.Arrived,
	}
	metadata, refusal := r.translator.ReadMetadata(request.Header, outcome.Arrived)
	outcome.ID = metadata.ID
	if refusal != nil {
		return admissionRequest, refusal
	}
	admissionRequest.Object = metadata.Object
	admissionRequest.Deadline = metadata.Deadline
	if request.Method == http.MethodConnect || request.Header.Get("Upgrade") != "" {
		return admissionRequest, arbiter.Refuse(arbiter.RequestMalformed, "CONNECT and Upgrade are not served")
	}
	admissionRequest.Key, refusal = bearerKey(request)
	return admissionRequest, refusal
}

// IsUnsafe reports whether a request must not run beside others of its connection, because
// its route does not allow that it is repeated.
func (r *Receiver) IsUnsafe(request *http.Request) bool {
	if r.lookupHandler != nil && request.URL.Path == PathLookup {
		return false
	}
	return !r.admitter.IsIdempotent(request.Host, request.URL.Path, request.Method)
}

// bearerKey returns the key from the Authorization header, or "" if there is no such
// header. It refuses a key that also appears elsewhere in the request.
func bearerKey(request *http.Request) (string, *arbiter.Refusal) {
	values := request.Header["Authorization"]
	if len(values) == 0 {
		return "", nil
	}
	const scheme = "bearer "
	value := values[0]
	if len(values) > 1 || len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", arbiter.Refuse(arbiter.KeyMissing, "show one key as Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(value[len(scheme):])
	if key == "" {
		return "", arbiter.Refuse(arbiter.KeyMissing, "show a key as Authorization: Bearer KEY")
	}
	if translator.CarriesKey(request, key) {
		return "", arbiter.Refuse(arbiter.KeyExposed, "the key also stands where an upstream would see it")
	}
	return key, nil
}
