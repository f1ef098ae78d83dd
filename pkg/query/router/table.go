// Package router compiles the declared configuration into an immutable table that finds
// the route, the service and the team of a request by its host, path and key. Package
// admitter decides whether the request may run, and at which upstream. Package checker
// decides whether a declaration is valid.
package router

import (
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Table is the routing table of one revision of the configuration. It is immutable and
// safe for concurrent use. Its queries don't allocate, except for a host that is not in
// lower case.
type Table struct {
	// revision is the store's revision of the configuration; 0 only in the table of an
	// instance that has no configuration yet.
	revision uint64
	// set is the declaration that the table was compiled from.
	set declarer.Set
	// hosts maps each host to its routes by prefix. The empty prefix matches all paths
	// of the host that no other prefix matches.
	hosts map[string]map[string]*Route
	// keys holds all keys by their hash, including withdrawn ones.
	keys map[declarer.KeyHash]*Key
}

// Route is a compiled route. It comes from a declared route, or from a service whose
// host names lead to it directly.
type Route struct {
	// Declared is the operator's route, or the route derived from the service.
	Declared declarer.Route
	// weight is the sum of the backends' weights. It is above 0 for a route in a table, so
	// that Service does not divide by zero.
	weight uint64
}

// Key is a declared key together with the team that owns it.
type Key struct {
	// Declared is the operator's key object.
	Declared declarer.Key
	// Team owns the key.
	Team declarer.Team
	// hash is Declared.Hash in parsed form.
	hash declarer.KeyHash
}

// New returns the routing table of a set. Package checker must have accepted the set.
func New(revision uint64, set declarer.Set) *Table {
	return &Table{
		revision: revision,
		set:      set,
		hosts:    indexRoutes(set),
		keys:     indexKeys(set),
	}
}

// RevisionNumber returns the store's revision of the configuration, or 0 before the first
// one.
func (t *Table) RevisionNumber() uint64 {
	return t.revision
}

// Set returns the declaration that the table was compiled from.
func (t *Table) Set() declarer.Set {
	return t.set
}

// Route returns the route of a host with the longest prefix that matches a path. The
// host may carry a port. Prefixes match whole path segments.
func (t *Table) Route(host, path string) (*Route, bool) {
	routes, found := t.hosts[host]
	if !found {
		routes, found = t.hosts[strings.ToLower(stripPort(host))]
	}
	if !found {
		return nil, false
	}
	return longestPrefix(routes, path)
}

// Key returns the key with a hash, even if the key is withdrawn.
func (t *Table) Key(hash declarer.KeyHash) (*Key, bool) {
	key, found := t.keys[hash]
	if !found {
		return nil, false
	}
	// The map finds the entry by its hash. The full comparison takes the same time for
	// every key, so that its timing reveals nothing about a stored hash.
	if subtle.ConstantTimeCompare(key.hash[:], hash[:]) != 1 {
		return nil, false
	}
	return key, true
}

// Hash returns the hash of the key.
func (k *Key) Hash() declarer.KeyHash {
	return k.hash
}

// MayUse reports whether the key's team may use a service. A team without a list of
// services may use all of them.
func (k *Key) MayUse(service string) bool {
	if len(k.Team.Services) == 0 {
		return true
	}
	return slices.Contains(k.Team.Services, service)
}

// Service returns the service for a request. Uniformly distributed random numbers give
// each backend requests in proportion to its weight.
func (r *Route) Service(random uint64) string {
	point := random % r.weight
	for _, backend := range r.Declared.Backends {
		weight := uint64(backend.Weight)
		if point < weight {
			return backend.Service
		}
		point -= weight
	}
	return ""
}

// Idempotent reports whether a request with this method may be repeated after MayHaveRun.
// The route's declaration decides that, or else RFC 9110.
func (r *Route) Idempotent(method string) bool {
	switch r.Declared.Idempotence {
	case declarer.Always:
		return true
	case declarer.Never:
		return false
	}
	// RFC 9110, section 9.2.2 lists the idempotent methods.
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// longestPrefix returns the route with the longest prefix that matches a path. It tries
// the whole path first, and then, for each slash from the end, the path up to the slash,
// with and without it.
func longestPrefix(routes map[string]*Route, path string) (*Route, bool) {
	if route, found := routes[path]; found {
		return route, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found := routes[path[:end+1]]; found {
			return route, true
		}
		if route, found := routes[path[:end]]; found {
			return route, true
		}
	}
	return nil, false
}

// stripPort returns a host without its port. A host that ends with a bracket is an IPv6
// address without port.
func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

// indexRoutes returns the routes of all services and the declared routes, by host and
// prefix.
func indexRoutes(set declarer.Set) map[string]map[string]*Route {
	hosts := map[string]map[string]*Route{}
	for service := range set.Services.All() {
		for _, host := range service.HostNames() {
			addRoute(hosts, hostRoute(service, host))
			for _, rule := range service.Routes {
				addRoute(hosts, hostRoute(service, host).withRule(rule))
			}
		}
	}
	for route := range set.Routes.All() {
		addRoute(hosts, newRoute(route))
	}
	return hosts
}

// addRoute indexes a route by its host and prefix. It leaves out a route whose backends
// have no weight, so that the route doesn't hide one with a shorter prefix.
func addRoute(hosts map[string]map[string]*Route, route *Route) {
	if route.weight == 0 {
		return
	}
	host := route.Declared.Host
	if hosts[host] == nil {
		hosts[host] = map[string]*Route{}
	}
	hosts[host][route.Declared.Prefix] = route
}

func newRoute(declared declarer.Route) *Route {
	route := &Route{
		Declared: declared,
	}
	for _, backend := range declared.Backends {
		route.weight += uint64(max(backend.Weight, 0))
	}
	return route
}

// hostRoute returns the route for all paths of a host that leads to a service.
func hostRoute(service declarer.Service, host string) *Route {
	return newRoute(declarer.Route{
		Name:          service.Name,
		Host:          host,
		TimeoutMillis: service.TimeoutMillis,
		Backends: []declarer.Backend{
			{
				Service: service.Name,
				Weight:  1,
			},
		},
	})
}

// withRule returns a copy of the route that a path rule of the service refines.
func (r *Route) withRule(rule declarer.PathRule) *Route {
	refined := *r
	refined.Declared.Prefix = rule.Prefix
	refined.Declared.Open = rule.Open
	refined.Declared.Idempotence = rule.Idempotence
	return &refined
}

// indexKeys returns the keys of a set by their hash. It leaves out keys with an invalid
// hash or an undeclared team.
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
