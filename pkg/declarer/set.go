// Package declarer defines the objects that operators declare: failure domains
// (Place), services, teams, keys, versions, moves and routes. All of them are immutable
// values. The package does not check them: package checker does so for declarations that
// operators send to an instance. A declaration that the platform itself keeps is used
// without such a check.
//
// A Set holds the objects for lookups, a Document is the form of a set that is encoded,
// and a Declaration is a set with its revision. A Bundle of package publisher is a
// document with its revision. The configuration is the set by which an instance serves
// requests.
package declarer

import (
	"fmt"
	"slices"
)

// Kind is a kind of declared object.
type Kind string

// The kinds, in the order of Kinds.
const (
	KindPlace   Kind = "Place"
	KindService Kind = "Service"
	KindTeam    Kind = "Team"
	KindKey     Kind = "Key"
	KindVersion Kind = "Version"
	KindMove    Kind = "Move"
	KindRoute   Kind = "Route"
)

// Kinds returns all kinds in the order in which they are printed.
func Kinds() []Kind {
	return []Kind{KindPlace, KindService, KindTeam, KindKey, KindVersion, KindMove, KindRoute}
}

// ParseKind returns the kind of that name, and an error if there is none.
func ParseKind(name string) (Kind, error) {
	kind := Kind(name)
	if slices.Contains(Kinds(), kind) {
		return kind, nil
	}
	return "", fmt.Errorf("unknown kind %q: want one of %v", name, Kinds())
}

// Set holds all objects of one declaration. It is published and replaced as a whole. The
// zero value is empty.
type Set struct {
	Places   Table[Place]
	Services Table[Service]
	Teams    Table[Team]
	Keys     Table[Key]
	Versions Table[Version]
	Moves    Table[Move]
	Routes   Table[Route]
	// withheld holds the names of the versions that get no requests, except as the targets of
	// moves, because earlier moves to them were rolled back. They are never declared by hand.
	withheld []string
}

// WithWithheld returns a set in which exactly the named versions are withheld.
func (s Set) WithWithheld(versions ...string) Set {
	s.withheld = versions
	return s
}

// IsWithheld reports whether the named version is withheld.
func (s Set) IsWithheld(version string) bool {
	return slices.Contains(s.withheld, version)
}

// WithPlace returns a set with the failure domain added or replaced.
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

// WithVersions returns a set with those versions only.
func (s Set) WithVersions(versions Table[Version]) Set {
	s.Versions = versions
	return s
}

// WithMoves returns a set with those moves only.
func (s Set) WithMoves(moves Table[Move]) Set {
	s.Moves = moves
	return s
}

// WithPlaces returns a set with those failure domains only.
func (s Set) WithPlaces(places Table[Place]) Set {
	s.Places = places
	return s
}

// WithAll returns a set with every object of other added or replaced.
func (s Set) WithAll(other Set) Set {
	return s.Document().WithDocument(other.Document()).Set()
}

// Without returns a set without the named object, and whether the object was in s.
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

// Len returns the number of objects of all kinds.
func (s Set) Len() int {
	return s.Places.Len() + s.Services.Len() + s.Teams.Len() +
		s.Keys.Len() + s.Versions.Len() + s.Moves.Len() + s.Routes.Len()
}

// Seats returns the number of seats of all failure domains together.
func (s Set) Seats() int {
	total := 0
	for place := range s.Places.All() {
		total += place.Seats
	}
	return total
}
