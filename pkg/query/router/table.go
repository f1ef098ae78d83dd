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
	// hosts holds the routes of each host under their prefixes. The empty prefix
	// stands for all other paths of the host.
	hosts map[string]map[string]*Route
	// keys holds each key under its hash, the withdrawn ones too.
	keys map[declarer.KeyHash]*Key
}

// Route is a route as requests see it: one that is declared, or a part of a
// service that is named by its host.
type Route struct {
	// Declared is the operator's object, or what follows from the service's.
	Declared declarer.Route
	// weight is the sum of the backends' weights; above 0.
	weight uint64
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
		hosts:    indexRoutes(set),
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

// Route returns the route of a host, which may carry a port, with the longest
// prefix that begins a path. Prefixes match whole segments.
func (t *Table) Route(host, path string) (*Route, bool) {
	routes, found := t.hosts[host]
	if !found {
		routes, found = t.hosts[strings.ToLower(stripPort(host))]
	}
	if !found {
		return nil, false
	}
	return longest(routes, path)
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

// Service returns the service for a request. Random numbers spread evenly give
// each backend its share.
func (r *Route) Service(random uint64) string {
	at := random % r.weight
	for _, backend := range r.Declared.Backends {
		weight := uint64(backend.Weight)
		if at < weight {
			return backend.Service
		}
		at -= weight
	}
	return ""
}

// Idempotent says whether a request with that method is idempotent.
func (r *Route) Idempotent(method string) bool {
	switch r.Declared.Idempotence {
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

// longest returns the route with the longest prefix that begins a path.
func longest(routes map[string]*Route, path string) (*Route, bool) {
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

func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

func indexRoutes(set declarer.Set) map[string]map[string]*Route {
	hosts := map[string]map[string]*Route{}
	for service := range set.Services.All() {
		for _, host := range service.HostNames() {
			add(hosts, wholeHost(service, host))
			for _, rule := range service.Routes {
				add(hosts, wholeHost(service, host).with(rule))
			}
		}
	}
	for route := range set.Routes.All() {
		add(hosts, newRoute(route))
	}
	return hosts
}

// add files a route that has somewhere to go.
func add(hosts map[string]map[string]*Route, route *Route) {
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

// wholeHost returns the route of all paths of a host that names a service.
func wholeHost(service declarer.Service, host string) *Route {
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

// with returns a copy for the part of a service that a rule names.
func (r *Route) with(rule declarer.PathRule) *Route {
	next := *r
	next.Declared.Prefix = rule.Prefix
	next.Declared.Open = rule.Open
	next.Declared.Idempotence = rule.Idempotence
	return &next
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
