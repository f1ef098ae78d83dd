package steerer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// inputs are all that the plan follows from. They are immutable.
type inputs struct {
	// declaration has revision 0 before the first.
	declaration declarer.Declaration
	// places are those of the settings.
	places []declarer.Place
	// registrations are in the order of their upstreams' names.
	registrations []registrar.Registration
	moves         []declarer.Move
	// evacuated are names of places.
	evacuated []string
	// returnedAt holds, for each place whose evacuation has ended, when that was: its
	// upstreams may be cold before they have said so.
	returnedAt map[string]time.Time
	// seats are this instance's parts of all limits.
	seats []splitter.Seat
}

// withDeclaration returns inputs with another declaration.
func (i inputs) withDeclaration(declaration declarer.Declaration) inputs {
	i.declaration = declaration
	return i
}

// withRegistrations returns inputs with other registrations.
func (i inputs) withRegistrations(registrations []registrar.Registration) inputs {
	i.registrations = registrations
	return i
}

// withMoves returns inputs with other moves.
func (i inputs) withMoves(moves []declarer.Move) inputs {
	i.moves = moves
	return i
}

// withEvacuated returns inputs with other evacuated places.
func (i inputs) withEvacuated(places []string, now time.Time) inputs {
	returned := maps.Clone(i.returnedAt)
	if returned == nil {
		returned = map[string]time.Time{}
	}
	for _, place := range i.evacuated {
		if !slices.Contains(places, place) {
			returned[place] = now
		}
	}
	i.returnedAt = returned
	i.evacuated = places
	return i
}

// withSeats returns inputs with other seats.
func (i inputs) withSeats(seats []splitter.Seat) inputs {
	i.seats = seats
	return i
}

// set returns the whole declaration as the plan needs it.
func (i inputs) set() declarer.Set {
	places := make([]declarer.Place, 0, len(i.places))
	for _, place := range i.places {
		places = append(places, place.WithEvacuated(slices.Contains(i.evacuated, place.Name)))
	}
	moves := make([]declarer.Move, 0, len(i.moves))
	for _, move := range i.moves {
		move.To = versionName(move.Service, move.To)
		moves = append(moves, move)
	}
	set := i.declaration.Set
	return set.
		WithPlaces(declarer.NewTable(places...)).
		WithMoves(declarer.NewTable(moves...)).
		WithVersions(i.versions())
}

// versions returns the versions of all services that upstreams have registered.
func (i inputs) versions() declarer.Table[declarer.Version] {
	byName := map[string]declarer.Version{}
	for _, registration := range i.registrations {
		service, found := i.declaration.Set.Services.Get(registration.Service)
		if !found {
			continue
		}
		name := versionName(registration.Service, registration.Version)
		version := byName[name]
		version.Name = name
		version.Service = registration.Service
		upstream := registration.Upstream
		upstream.Connections = service.Connections
		upstream.ColdPerSecond = service.ColdPerSecond
		upstream.ColdMillis = service.ColdMillis
		if returned, found := i.returnedAt[upstream.Place]; found {
			upstream.ColdUntil = later(upstream.ColdUntil, returned.Add(time.Duration(service.ColdMillis)*time.Millisecond))
		}
		version.Upstreams = append(version.Upstreams, upstream)
		byName[name] = version
	}
	versions := make([]declarer.Version, 0, len(byName))
	for _, version := range byName {
		versions = append(versions, version)
	}
	return declarer.NewTable(versions...)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// versionName names a service's version among those of all services.
func versionName(service, version string) string {
	return service + "@" + version
}

// merge returns the registrations after, and those before that are missing there
// and were not leaving.
func merge(before, after []registrar.Registration) []registrar.Registration {
	merged := slices.Clone(after)
	for _, registration := range before {
		if registration.Upstream.Leaving || contains(after, registration.Upstream.Name) {
			continue
		}
		merged = append(merged, registration)
	}
	slices.SortStableFunc(merged, byUpstream)
	return merged
}

// contains says whether registrations, in the order of names, hold that of an
// upstream.
func contains(registrations []registrar.Registration, upstream string) bool {
	_, found := slices.BinarySearchFunc(registrations, upstream, func(row registrar.Registration, wanted string) int {
		return strings.Compare(row.Upstream.Name, wanted)
	})
	return found
}

func byUpstream(a, b registrar.Registration) int {
	return strings.Compare(a.Upstream.Name, b.Upstream.Name)
}
