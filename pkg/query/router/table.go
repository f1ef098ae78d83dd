// Package router turns a declared set into an immutable table that answers, for
// one request, which service, route and team it belongs to.
package router

import (
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Table answers for one revision of the configuration. It is immutable and safe
// for many goroutines; its queries make no allocation.
type Table struct {
	// revision is never zero.
	revision uint64
	// set is the declaration that the table was made from.
	set declarer.Set
	// services holds each service under each of its hosts.
	services map[string]*Service
	// keys holds each key under its hash, the withdrawn ones too.
	keys map[declarer.KeyHash]*Key
}

// Service is a service as requests see it.
type Service struct {
	// Declared is the operator's object.
	Declared declarer.Service
	// routes are sorted by falling length of prefix.
	routes []declarer.Route
}

// Key is a key as requests see it.
type Key struct {
	// Declared is the operator's object.
	Declared declarer.Key
	// Team owns the key.
	Team declarer.Team
	// hash is the parsed form of Declared.Hash.
	hash declarer.KeyHash
}

// New returns the table of a set that the checker accepts.
func New(revision uint64, set declarer.Set) *Table {
	return &Table{
		revision: revision,
		set:      set,
		services: indexServices(set),
		keys:     indexKeys(set),
	}
}

// RevisionNumber returns the revision of the configuration.
func (t *Table) RevisionNumber() uint64 {
	return t.revision
}

// Set returns the declaration that the table was made from.
func (t *Table) Set() declarer.Set {
	return t.set
}

// Service returns the service of a host, which may carry a port.
func (t *Table) Service(host string) (*Service, bool) {
	service, found := t.services[host]
	if found {
		return service, true
	}
	service, found = t.services[strings.ToLower(stripPort(host))]
	return service, found
}

// Key returns the key with that hash. A withdrawn key is returned too.
func (t *Table) Key(hash declarer.KeyHash) (*Key, bool) {
	key, found := t.keys[hash]
	if !found {
		return nil, false
	}
	// The map finds by hash; the full comparison takes the same time for every
	// key, so that timing tells nothing about a stored hash.
	if subtle.ConstantTimeCompare(key.hash[:], hash[:]) != 1 {
		return nil, false
	}
	return key, true
}

// Hash returns the hash of the key.
func (k *Key) Hash() declarer.KeyHash {
	return k.hash
}

// MayUse says whether the key's team may use a service.
func (k *Key) MayUse(service string) bool {
	if len(k.Team.Services) == 0 {
		return true
	}
	return slices.Contains(k.Team.Services, service)
}

// Route returns the route with the longest prefix of path.
func (s *Service) Route(path string) declarer.Route {
	for _, route := range s.routes {
		if matches(route.Prefix, path) {
			return route
		}
	}
	return declarer.Route{}
}

// Idempotent says whether a request with that method is idempotent on a route.
func Idempotent(route declarer.Route, method string) bool {
	switch route.Idempotence {
	case declarer.Always:
		return true
	case declarer.Never:
		return false
	}
	// RFC 9110, section 9.2.2.
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// matches says whether prefix covers whole segments at the start of path.
func matches(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	if !found {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")
}

func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

func indexServices(set declarer.Set) map[string]*Service {
	services := map[string]*Service{}
	for declared := range set.Services.All() {
		service := &Service{
			Declared: declared,
			routes:   byFallingLength(declared.Routes),
		}
		for _, host := range declared.HostNames() {
			services[host] = service
		}
	}
	return services
}

func byFallingLength(routes []declarer.Route) []declarer.Route {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b declarer.Route) int {
		return len(b.Prefix) - len(a.Prefix)
	})
	return sorted
}

func indexKeys(set declarer.Set) map[declarer.KeyHash]*Key {
	keys := map[declarer.KeyHash]*Key{}
	for declared := range set.Keys.All() {
		hash, valid := declarer.ParseKeyHash(declared.Hash)
		team, found := set.Teams.Get(declared.Team)
		if !valid || !found {
			continue
		}
		keys[hash] = &Key{
			Declared: declared,
			Team:     team,
			hash:     hash,
		}
	}
	return keys
}
