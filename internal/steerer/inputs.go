package steerer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// planInputs holds everything that the plan is computed from. It is immutable.
type planInputs struct {
	// declaration has revision 0 until the first one is received.
	declaration declarer.Declaration
	// places are the failure domains in the settings.
	places []declarer.Place
	// registrations are sorted by the names of their upstreams.
	registrations []registrar.Registration
	moves         []declarer.Move
	// verdicts are the verdicts on registered versions.
	verdicts mover.Verdicts
	// evacuatedPlaces are the names of the evacuated failure domains.
	evacuatedPlaces []string
	// evacuationEndedAt is when the evacuation of each failure domain ended, by its
	// name. Upstreams there may be cold before they report it.
	evacuationEndedAt map[string]time.Time
	// seats holds the seat of this instance, or nothing while the roster does not list it.
	seats []splitter.Seat
}

// withDeclaration returns a copy with another declaration.
func (i planInputs) withDeclaration(declaration declarer.Declaration) planInputs {
	i.declaration = declaration
	return i
}

// withRegistrations returns a copy with other registrations.
func (i planInputs) withRegistrations(registrations []registrar.Registration) planInputs {
	i.registrations = registrations
	return i
}

// withVerdicts returns a copy with other verdicts on versions, without those on versions that
// have had no upstreams for long.
func (i planInputs) withVerdicts(verdicts mover.Verdicts, now time.Time) planInputs {
	i.verdicts = verdicts.WithRegistered(i.registeredIDs(), now)
	return i
}

// registeredIDs returns the versions that have registered upstreams.
func (i planInputs) registeredIDs() map[mover.VersionID]bool {
	registered := map[mover.VersionID]bool{}
	for _, registration := range i.registrations {
		registered[mover.VersionID{
			Service: registration.Service,
			Version: registration.Version,
		}] = true
	}
	return registered
}

// withheldVersions returns the names of the versions that must get no requests.
func (i planInputs) withheldVersions() []string {
	return i.versionsByVerdict(mover.Verdict.Withheld)
}

// unjudgedVersions returns the names of the withheld versions that were not rolled back.
func (i planInputs) unjudgedVersions() []string {
	return i.versionsByVerdict(func(verdict mover.Verdict) bool { return verdict.State == mover.Running })
}

// versionsByVerdict returns the names of the versions whose verdicts are selected.
func (i planInputs) versionsByVerdict(selects func(mover.Verdict) bool) []string {
	var names []string
	for _, verdict := range i.verdicts.All() {
		if selects(verdict) {
			names = append(names, versionName(verdict.Service, verdict.Version))
		}
	}
	return names
}

// withMoves returns a copy with other moves.
func (i planInputs) withMoves(moves []declarer.Move) planInputs {
	i.moves = moves
	return i
}

// withEvacuatedPlaces returns a copy with other evacuated failure domains. The
// evacuations that are missing from places end at now.
func (i planInputs) withEvacuatedPlaces(places []string, now time.Time) planInputs {
	endedAt := maps.Clone(i.evacuationEndedAt)
	if endedAt == nil {
		endedAt = map[string]time.Time{}
	}
	for _, place := range i.evacuatedPlaces {
		if !slices.Contains(places, place) {
			endedAt[place] = now
		}
	}
	i.evacuationEndedAt = endedAt
	i.evacuatedPlaces = places
	return i
}

// withSeats returns a copy with other seats.
func (i planInputs) withSeats(seats []splitter.Seat) planInputs {
	i.seats = seats
	return i
}

// configurationSet returns the declared objects together with the failure domains,
// moves and registered versions, in the form that the plan needs.
func (i planInputs) configurationSet() declarer.Set {
	places := make([]declarer.Place, 0, len(i.places))
	for _, place := range i.places {
		places = append(places, place.WithEvacuated(slices.Contains(i.evacuatedPlaces, place.Name)))
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
		WithVersions(i.registeredVersions()).
		WithWithheld(i.withheldVersions()...).
		WithUnjudged(i.unjudgedVersions()...)
}

// registeredVersions returns the versions of all declared services for which upstreams
// are registered.
func (i planInputs) registeredVersions() declarer.Table[declarer.Version] {
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
		if endedAt, found := i.evacuationEndedAt[upstream.Place]; found {
			upstream.ColdUntil = later(upstream.ColdUntil, endedAt.Add(time.Duration(service.ColdMillis)*time.Millisecond))
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

// versionName returns a name for a service's version that is unique among the versions
// of all services.
func versionName(service, version string) string {
	return service + "@" + version
}

// mergeRegistrations returns the listed registrations, and those previous ones that are
// not listed any more, are kept by the name of their upstream and were not leaving.
func mergeRegistrations(previous, listed []registrar.Registration, keeps func(upstream string) bool) []registrar.Registration {
	merged := slices.Clone(listed)
	for _, registration := range previous {
		name := registration.Upstream.Name
		if registration.Upstream.Leaving || containsUpstream(listed, name) || !keeps(name) {
			continue
		}
		merged = append(merged, registration)
	}
	slices.SortStableFunc(merged, compareUpstreamNames)
	return merged
}

// containsUpstream reports whether registrations, which are sorted by the names of
// their upstreams, include that of an upstream.
func containsUpstream(registrations []registrar.Registration, upstream string) bool {
	_, found := slices.BinarySearchFunc(registrations, upstream, func(row registrar.Registration, wanted string) int {
		return strings.Compare(row.Upstream.Name, wanted)
	})
	return found
}

func compareUpstreamNames(a, b registrar.Registration) int {
	return strings.Compare(a.Upstream.Name, b.Upstream.Name)
}
