// Package declarer holds the objects that operators declare: places, services,
// teams, keys, versions and moves. All are immutable values.
package declarer

import (
	"fmt"
	"slices"
)

// Kind names a kind of object.
type Kind string

// The kinds of objects.
const (
	KindPlace   Kind = "Place"
	KindService Kind = "Service"
	KindTeam    Kind = "Team"
	KindKey     Kind = "Key"
	KindVersion Kind = "Version"
	KindMove    Kind = "Move"
	KindRoute   Kind = "Route"
)

// Kinds lists all kinds in the order in which they are printed.
func Kinds() []Kind {
	return []Kind{KindPlace, KindService, KindTeam, KindKey, KindVersion, KindMove, KindRoute}
}

// ParseKind returns the kind of that name.
func ParseKind(name string) (Kind, error) {
	kind := Kind(name)
	if slices.Contains(Kinds(), kind) {
		return kind, nil
	}
	return "", fmt.Errorf("kind %q: want one of %v", name, Kinds())
}

// Set is one whole declaration: every object that is, or is to be, in force.
// The zero value is empty.
type Set struct {
	Places   Table[Place]
	Services Table[Service]
	Teams    Table[Team]
	Keys     Table[Key]
	Versions Table[Version]
	Moves    Table[Move]
	Routes   Table[Route]
}

// WithPlace returns a set with the place added or replaced.
func (s Set) WithPlace(place Place) Set {
	s.Places = s.Places.With(place)
	return s
}

// WithService returns a set with the service added or replaced.
func (s Set) WithService(service Service) Set {
	s.Services = s.Services.With(service)
	return s
}

// WithTeam returns a set with the team added or replaced.
func (s Set) WithTeam(team Team) Set {
	s.Teams = s.Teams.With(team)
	return s
}

// WithKey returns a set with the key added or replaced.
func (s Set) WithKey(key Key) Set {
	s.Keys = s.Keys.With(key)
	return s
}

// WithVersion returns a set with the version added or replaced.
func (s Set) WithVersion(version Version) Set {
	s.Versions = s.Versions.With(version)
	return s
}

// WithMove returns a set with the move added or replaced.
func (s Set) WithMove(move Move) Set {
	s.Moves = s.Moves.With(move)
	return s
}

// WithRoute returns a set with the route added or replaced.
func (s Set) WithRoute(route Route) Set {
	s.Routes = s.Routes.With(route)
	return s
}

// WithVersions returns a set with other versions.
func (s Set) WithVersions(versions Table[Version]) Set {
	s.Versions = versions
	return s
}

// WithMoves returns a set with other moves.
func (s Set) WithMoves(moves Table[Move]) Set {
	s.Moves = moves
	return s
}

// WithPlaces returns a set with other places.
func (s Set) WithPlaces(places Table[Place]) Set {
	s.Places = places
	return s
}

// WithAll returns a set in which every object of other is added or replaced.
func (s Set) WithAll(other Set) Set {
	return s.Document().WithDocument(other.Document()).Set()
}

// Without returns a set that lacks the named object, and says whether it was
// there.
func (s Set) Without(kind Kind, name string) (Set, bool) {
	before := s.Len()
	switch kind {
	case KindPlace:
		s.Places = s.Places.Without(name)
	case KindService:
		s.Services = s.Services.Without(name)
	case KindTeam:
		s.Teams = s.Teams.Without(name)
	case KindKey:
		s.Keys = s.Keys.Without(name)
	case KindVersion:
		s.Versions = s.Versions.Without(name)
	case KindMove:
		s.Moves = s.Moves.Without(name)
	case KindRoute:
		s.Routes = s.Routes.Without(name)
	}
	return s, s.Len() != before
}

// Len returns how many objects there are of all kinds.
func (s Set) Len() int {
	return s.Places.Len() + s.Services.Len() + s.Teams.Len() +
		s.Keys.Len() + s.Versions.Len() + s.Moves.Len() + s.Routes.Len()
}

// Seats returns how many entry instances all places together have room for.
func (s Set) Seats() int {
	total := 0
	for place := range s.Places.All() {
		total += place.Seats
	}
	return total
}
