package checker

import (
	"fmt"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxWeight is the highest weight of one backend.
const maxWeight = 1_000_000

func (s *setCheck) checkRoutes() {
	owners := map[string]string{}
	for route := range s.set.Routes.All() {
		o := s.checkObject(declarer.KindRoute, route.Name)
		validHost := route.Host != "" && route.Host == strings.ToLower(route.Host) && !strings.ContainsAny(route.Host, ":/ ")
		o.require(validHost, "Host", route.Host, "a host name in lower case, without port")
		o.require(strings.HasPrefix(route.Prefix, "/"), "Prefix", route.Prefix, "a path that starts with /")
		owner, taken := owners[route.Host+route.Prefix]
		o.require(!taken, "Prefix", route.Prefix, "a prefix other than that of the same host in Route "+owner)
		owners[route.Host+route.Prefix] = route.Name
		o.require(validIdempotence(route.Idempotence), "Idempotence", route.Idempotence, "ByMethod, Always or Never")
		timeoutMillis := route.TimeoutMillis
		o.require(timeoutMillis >= 0 && timeoutMillis <= maxTimeoutMillis, "TimeoutMillis", timeoutMillis, "0 to 3600000")
		objective := route.ObjectiveMillis
		o.require(objective >= 0 && objective <= maxTimeoutMillis, "ObjectiveMillis", objective, "0 to 3600000")
		o.require(route.Attempts >= 0, "Attempts", route.Attempts, "0 or more")
		o.require(route.Priority >= 0, "Priority", route.Priority, "0 or more")
		s.checkBackends(o, route)
		s.checkHomes(o, route.Homes)
	}
}

func (s *setCheck) checkBackends(o objectCheck, route declarer.Route) {
	o.require(len(route.Backends) > 0, "Backends", len(route.Backends), "at least one")
	seen := map[string]bool{}
	for i, backend := range route.Backends {
		field := fmt.Sprintf("Backends[%d].", i)
		_, found := s.set.Services.Get(backend.Service)
		o.require(found, field+"Service", backend.Service, "the name of a declared Service")
		o.require(!seen[backend.Service], field+"Service", backend.Service, "a Service that no other backend of the Route names")
		seen[backend.Service] = true
		o.require(backend.Weight >= 1 && backend.Weight <= maxWeight, field+"Weight", backend.Weight, "1 to 1000000")
	}
}

// checkHomes checks the regions in which requests may run.
func (s *setCheck) checkHomes(o objectCheck, regions []string) {
	for i, region := range regions {
		o.require(s.regionExists(region), fmt.Sprintf("Homes[%d]", i), region, "the region of a declared Place")
	}
}
