// Package steerer runs an entry instance whose objects come from a platform that
// keeps the operators' declaration whole, and where upstreams register themselves.
package steerer

import (
	"context"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Platform is a platform in this project's terms. An adapter makes one.
type Platform struct {
	// Store holds all that the feeds name.
	Store storer.Store
	// Declarations holds the operators' declaration in one object.
	Declarations Feed[declarer.Declaration]
	// Registrations holds an object for each upstream, under its name.
	Registrations Feed[registrar.Registration]
	// Moves holds the moves that operators ask for. From is empty: a move is away
	// from all other versions of its service.
	Moves Feed[Order]
	// Report tells the platform how far a move has come, if the order has not changed
	// since a revision.
	Report func(ctx context.Context, move declarer.Move, state mover.State, revision uint64) error
	// Evacuations holds an object for each evacuated place, under the place's name.
	Evacuations Feed[Evacuation]
	// Members holds an object for each entry instance, under its name.
	Members Feed[registrar.Member]
	// Translator speaks to callers and upstreams.
	Translator translator.Translator
	// Lookups returns the front end for look-ups, and Readiness that for whether the
	// instance takes requests.
	Lookups   func(locate Locate) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Feed is where objects of one kind are stored, and how.
type Feed[T any] struct {
	// Prefix starts the names of the objects in the store.
	Prefix string
	Codec  handler.Codec[T]
	// PauseMillis is the time between an answer with changes and the next watch, in
	// milliseconds. Changes in quick succession then come in one answer.
	PauseMillis int
}

// Order is a move that an operator asks for.
type Order struct {
	Move declarer.Move
	// State is what was reported of it last; empty before the first report.
	State mover.State
}

// Evacuation asks that nothing more be sent to the upstreams of a place.
type Evacuation struct{}

// Locate answers a caller who asks for a host from a place. It returns false while
// no instance can be named.
type Locate func(host, place string) (Located, bool)

// Located names entry instances that are equally good for a caller.
type Located struct {
	// Addresses are those of the callers' listeners.
	Addresses []string
	// ValidUntil is the instant after which the caller asks again.
	ValidUntil time.Time
}
