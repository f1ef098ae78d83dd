package checker

import (
	"fmt"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxTimeoutMillis is the longest timeout of a request, in milliseconds: one hour.
const maxTimeoutMillis = 3_600_000

func (s *setCheck) checkServices() {
	owners := map[string]string{}
	for service := range s.set.Services.All() {
		o := s.checkObject(declarer.KindService, service.Name)
		s.checkHosts(o, service, owners)
		s.checkServiceVersion(o, service)
		timeoutMillis := service.TimeoutMillis
		o.require(timeoutMillis >= 0 && timeoutMillis <= maxTimeoutMillis, "TimeoutMillis", timeoutMillis, "0 to 3600000")
		s.checkPathRules(o, service)
	}
}

func (s *setCheck) checkHosts(o objectCheck, service declarer.Service, owners map[string]string) {
	for i, host := range service.HostNames() {
		field := fmt.Sprintf("Hosts[%d]", i)
		validHost := host != "" && host == strings.ToLower(host) && !strings.ContainsAny(host, ":/ ")
		o.require(validHost, field, host, "a host name in lower case, without port")
		owner, taken := owners[host]
		o.require(!taken, field, host, "a host name other than those of Service "+owner)
		owners[host] = service.Name
	}
}

func (s *setCheck) checkServiceVersion(o objectCheck, service declarer.Service) {
	version, found := s.set.Versions.Get(service.Version)
	o.require(found, "Version", service.Version, "the name of a declared Version")
	if found {
		o.require(version.Service == service.Name, "Version", service.Version, "a Version of this Service")
	}
}

func (s *setCheck) checkPathRules(o objectCheck, service declarer.Service) {
	seen := map[string]bool{}
	for i, route := range service.Routes {
		field := fmt.Sprintf("Routes[%d].", i)
		absolute := strings.HasPrefix(route.Prefix, "/")
		o.require(absolute, field+"Prefix", route.Prefix, "a path that starts with /")
		o.require(!seen[route.Prefix], field+"Prefix", route.Prefix, "a prefix that no other rule of the Service has")
		seen[route.Prefix] = true
		o.require(validIdempotence(route.Idempotence), field+"Idempotence", route.Idempotence,
			"ByMethod, Always or Never")
	}
}

func validIdempotence(idempotence declarer.Idempotence) bool {
	switch idempotence {
	case "", declarer.ByMethod, declarer.Always, declarer.Never:
		return true
	default:
		return false
	}
}
