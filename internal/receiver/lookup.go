package receiver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
)

// PathLookup is the path of look-ups on the callers' listener, with a query such as
// ?service=NAME&client=IP. The parameter client is optional.
const PathLookup = "/.hemlockport/lookup"

// LookupAnswer is the encoded answer to a look-up.
type LookupAnswer struct {
	// Entries are the entry instances (those that accept callers' requests) to use, in
	// order of preference.
	Entries []locator.Entry
	// ValidUntil is the time after which the caller must repeat the look-up.
	ValidUntil time.Time
	// Revision is the configuration's revision that the answer was computed from.
	Revision uint64
}

// LookupHandler is the HTTP handler for look-ups.
type LookupHandler struct {
	locators *holder.Cell[locator.Locator]
	// lookupSucceeded is called for each successful look-up.
	lookupSucceeded func()
}

// NewLookupHandler returns a handler that answers from the locator that the cell
// currently holds. It calls lookupSucceeded for each successful look-up.
func NewLookupHandler(locators *holder.Cell[locator.Locator], lookupSucceeded func()) *LookupHandler {
	return &LookupHandler{
		locators:        locators,
		lookupSucceeded: lookupSucceeded,
	}
}

// ServeHTTP serves one look-up.
func (l *LookupHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	now := time.Now()
	answer, refusal := l.locate(request, now)
	if refusal != nil {
		translator.Native{}.WriteRefusal(w, request, refusal, now)
		return
	}
	l.lookupSucceeded()
	body, err := encoder.JSON[LookupAnswer]{}.Encode(answer)
	if err != nil {
		translator.Native{}.WriteRefusal(w, request, arbiter.Refuse(arbiter.NotReady, err.Error()), now)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", fmt.Sprintf("max-age=%d", int(answer.ValidUntil.Sub(now).Seconds())))
	w.Write(body)
}

// locate answers a look-up, or returns why it can't.
func (l *LookupHandler) locate(request *http.Request, now time.Time) (LookupAnswer, *arbiter.Refusal) {
	current := l.locators.Load()
	if current == nil {
		refusal := arbiter.Refuse(arbiter.NotReady, "no configuration is in force yet")
		return LookupAnswer{}, refusal.WithRetryAt(now.Add(time.Second))
	}
	query := request.URL.Query()
	client, err := clientOf(request, query.Get("client"))
	if err != nil {
		return LookupAnswer{}, arbiter.Refuse(arbiter.RequestMalformed, "client: want an IP number")
	}
	answer, found := current.Locate(locator.Question{
		Service: query.Get("service"),
		Client:  client,
		Now:     now,
		Random:  rand.Uint64(),
	})
	if !found {
		return LookupAnswer{}, arbiter.Refuse(arbiter.UnknownService, "service: want the name of a declared service")
	}
	return LookupAnswer{
		Entries:    answer.Entries,
		ValidUntil: answer.ValidUntil.UTC(),
		Revision:   answer.Revision,
	}, nil
}

// clientOf returns the address of the client that the look-up is for: the explicit
// one if the query names it, else the remote address of the request.
func clientOf(request *http.Request, explicit string) (netip.Addr, error) {
	if explicit != "" {
		return netip.ParseAddr(explicit)
	}
	remote, err := netip.ParseAddrPort(request.RemoteAddr)
	return remote.Addr(), err
}
