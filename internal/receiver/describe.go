package receiver

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// describe reads from a message what the decision needs.
func (r *Receiver) describe(request *http.Request, outcome *Outcome) (admitter.Request, *arbiter.Refusal) {
	decision := admitter.Request{
		Host:        request.Host,
		Path:        request.URL.Path,
		EscapedPath: request.URL.RawPath,
		Method:      request.Method,
		Random:      rand.Uint64(),
		Now:         outcome.Arrived,
	}
	asked, refusal := r.translator.Ask(request.Header, outcome.Arrived)
	outcome.ID = asked.ID
	if refusal != nil {
		return decision, refusal
	}
	decision.Object = asked.Object
	decision.Deadline = asked.Deadline
	if request.Method == http.MethodConnect || request.Header.Get("Upgrade") != "" {
		return decision, arbiter.Refuse(arbiter.RequestMalformed, "CONNECT and Upgrade are not served")
	}
	decision.Key, refusal = keyOf(request)
	return decision, refusal
}

// keyOf returns the key that a caller shows, or "".
func keyOf(request *http.Request) (string, *arbiter.Refusal) {
	lines := request.Header["Authorization"]
	if len(lines) == 0 {
		return "", nil
	}
	const scheme = "bearer "
	line := lines[0]
	if len(lines) > 1 || len(line) <= len(scheme) || !strings.EqualFold(line[:len(scheme)], scheme) {
		return "", arbiter.Refuse(arbiter.KeyMissing, "show one key as Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(line[len(scheme):])
	if key == "" {
		return "", arbiter.Refuse(arbiter.KeyMissing, "show a key as Authorization: Bearer KEY")
	}
	if translator.CarriesKey(request, key) {
		return "", arbiter.Refuse(arbiter.KeyExposed, "the key also stands where an upstream would see it")
	}
	return key, nil
}
