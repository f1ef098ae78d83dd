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

// PathLookup answers look-ups on the callers' listener:
// GET PathLookup?service=NAME[&client=IP].
const PathLookup = "/.hemlockport/lookup"

// Located is the answer to a look-up.
type Located struct {
	// Entries are the entry instances to use, the best first.
	Entries []locator.Entry
	// ValidUntil is the instant after which the caller asks again.
	ValidUntil time.Time
	// Revision is the revision of the configuration.
	Revision uint64
}

// Lookups answers look-ups over HTTP.
type Lookups struct {
	locators *holder.Cell[locator.Locator]
	count    func()
}

// NewLookups returns the front end of a cell of locators. It calls count for each
// answer.
func NewLookups(locators *holder.Cell[locator.Locator], count func()) *Lookups {
	return &Lookups{
		locators: locators,
		count:    count,
	}
}

// ServeHTTP answers one look-up.
func (l *Lookups) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	now := time.Now()
	located, refusal := l.locate(request, now)
	if refusal != nil {
		translator.Own{}.Refuse(w, request, refusal, now)
		return
	}
	l.count()
	body, err := encoder.JSON[Located]{}.Encode(located)
	if err != nil {
		translator.Own{}.Refuse(w, request, arbiter.Refuse(arbiter.NotReady, err.Error()), now)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", fmt.Sprintf("max-age=%d", int(located.ValidUntil.Sub(now).Seconds())))
	w.Write(body)
}

func (l *Lookups) locate(request *http.Request, now time.Time) (Located, *arbiter.Refusal) {
	current := l.locators.Load()
	if current == nil {
		refusal := arbiter.Refuse(arbiter.NotReady, "no configuration is in force yet")
		return Located{}, refusal.WithRetryAt(now.Add(time.Second))
	}
	query := request.URL.Query()
	client, err := clientOf(request, query.Get("client"))
	if err != nil {
		return Located{}, arbiter.Refuse(arbiter.RequestMalformed, "client: want an IP number")
	}
	answer, found := current.Locate(locator.Question{
		Service: query.Get("service"),
		Client:  client,
		Now:     now,
		Random:  rand.Uint64(),
	})
	if !found {
		return Located{}, arbiter.Refuse(arbiter.UnknownService, "service: want the name of a declared service")
	}
	return Located{
		Entries:    answer.Entries,
		ValidUntil: answer.ValidUntil.UTC(),
		Revision:   answer.Revision,
	}, nil
}

// clientOf returns the client asked about: the one named, or who asks.
func clientOf(request *http.Request, named string) (netip.Addr, error) {
	if named != "" {
		return netip.ParseAddr(named)
	}
	from, err := netip.ParseAddrPort(request.RemoteAddr)
	return from.Addr(), err
}
