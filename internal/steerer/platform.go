// Package steerer runs an entry instance on an external platform, such as that of
// configurer.AdapterThimblegate; package server runs one on this project's own. The
// platform keeps the operators' declaration, which is its configuration, in one object,
// and upstreams register themselves there. The instance keeps a local copy of each of the
// platform's collections, computes the plan from them, and exchanges its demand and the
// progress of moves with the other instances. This package decides which instances watch
// the platform, removes the entries of dead ones, and reports moves. The formats of the
// platform are left to its adapter, which creates a Platform.
//
// A move is a canary rollout of a version: it shifts a service's traffic step by step
// to a new version, and rolls it back (state TakenBack) if that version fails.
//
// An instance's entry is its object in the collection of instances. Nobody claims a seat
// here: the roster is the list of the entries, and a seat is the position of an instance
// in it. By seat only the rate that a cold upstream can handle is split; the teams'
// limits are split by demand (package apportioner).
package steerer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/usagereporter"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Platform describes an external platform in the terms of this project. Each platform
// has an adapter that creates it.
type Platform struct {
	// Store holds the objects of all collections below.
	Store storer.Store
	// Declarations holds the operators' declaration as a single object.
	Declarations Collection[declarer.Declaration]
	// Registrations holds one object for each upstream, under the upstream's name.
	Registrations Collection[registrar.Registration]
	// Moves holds the moves that operators request. Their From is empty: a move shifts
	// traffic away from all other versions of its service.
	Moves Collection[MoveOrder]
	// ReportMove writes the state of a move to the platform, unless the order has changed
	// since the given revision of the store.
	ReportMove func(ctx context.Context, move declarer.Move, state mover.State, revision uint64) error
	// VerdictPrefix is the common prefix of the names of the objects in Store that hold the
	// verdicts on versions.
	VerdictPrefix string
	// ReservationPrefix is that of the objects that hold what is reserved for removed instances.
	ReservationPrefix string
	// Evacuations holds one object for each evacuated failure domain, under the name of
	// the failure domain.
	Evacuations Collection[Evacuation]
	// Members holds one object for each entry instance, under the instance's name.
	Members Collection[registrar.Member]
	// UsageDuty is the platform's name of the duty to report the usage of teams, UsageRecord
	// the object that says who holds it, and NewUsageCaller returns the function that makes
	// its calls to an address.
	UsageDuty      string
	UsageRecord    usagereporter.RecordStore
	NewUsageCaller func(address string) (usagereporter.CallFunc, error)
	// Translator translates the messages of callers and upstreams.
	Translator translator.Translator
	// NewLookupHandler returns the HTTP handler for lookups, and NewReadinessHandler
	// the one that reports whether the instance accepts requests.
	NewLookupHandler    func(locate LocateFunc) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

// Collection describes a collection: the objects of one kind in the store.
type Collection[T any] struct {
	// Prefix is the common prefix of the objects' names in the store.
	Prefix string
	Codec  handler.Codec[T]
	// PauseMillis is the delay between a watch response with changes and the next watch,
	// in milliseconds. It batches changes in quick succession into one response.
	PauseMillis int
}

// MoveOrder is a move that an operator has requested.
type MoveOrder struct {
	Move declarer.Move
	// State is the state last reported to the platform; empty before the first report.
	State mover.State
}

// Evacuation is the value of an object that evacuates a failure domain: the upstreams
// there get no more requests.
type Evacuation struct{}

// Lookup is the question of a caller which entry instances it should use.
type Lookup struct {
	// Host is the host name that the caller's requests are for.
	Host string
	// Place is the failure domain that the caller names as its own.
	Place string
	// Caller is the address that the question came from; the zero value if it is not known.
	Caller netip.Addr
}

// LocateFunc returns the entry instances that a caller should use. It returns false while no
// instance is available.
type LocateFunc func(question Lookup) (LookupResult, bool)

// LookupResult lists entry instances that are equally suitable for a caller.
type LookupResult struct {
	// Addresses are the addresses of the instances' listeners for callers.
	Addresses []string
	// ValidUntil is the time after which the caller must look up again.
	ValidUntil time.Time
}
