package checker

import (
	"fmt"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxTimeoutMillis bounds a request's time limit, in milliseconds: one hour.
const maxTimeoutMillis = 3_600_000

func (p *pass) services() {
	owners := map[string]string{}
	for service := range p.set.Services.All() {
		o := p.object(declarer.KindService, service.Name)
		p.hosts(o, service, owners)
		p.serviceVersion(o, service)
		limit := service.TimeoutMillis
		o.require(limit >= 0 && limit <= maxTimeoutMillis, "TimeoutMillis", limit, "0 to 3600000")
		p.routes(o, service)
	}
}

func (p *pass) hosts(o object, service declarer.Service, owners map[string]string) {
	for i, host := range service.HostNames() {
		field := fmt.Sprintf("Hosts[%d]", i)
		lower := host != "" && host == strings.ToLower(host) && !strings.ContainsAny(host, ":/ ")
		o.require(lower, field, host, "a host name in lower case, without port")
		owner, taken := owners[host]
		o.require(!taken, field, host, "not yet led to Service "+owner)
		owners[host] = service.Name
	}
}

func (p *pass) serviceVersion(o object, service declarer.Service) {
	version, found := p.set.Versions.Get(service.Version)
	o.require(found, "Version", service.Version, "the name of a declared Version")
	if found {
		o.require(version.Service == service.Name, "Version", service.Version, "a version of this service")
	}
}

func (p *pass) routes(o object, service declarer.Service) {
	seen := map[string]bool{}
	for i, route := range service.Routes {
		field := fmt.Sprintf("Routes[%d].", i)
		slash := strings.HasPrefix(route.Prefix, "/")
		o.require(slash, field+"Prefix", route.Prefix, "starts with /")
		o.require(!seen[route.Prefix], field+"Prefix", route.Prefix, "declared once in a service")
		seen[route.Prefix] = true
		o.require(validIdempotence(route.Idempotence), field+"Idempotence", route.Idempotence,
			"ByMethod, Always or Never")
	}
}

func validIdempotence(way declarer.Idempotence) bool {
	switch way {
	case "", declarer.ByMethod, declarer.Always, declarer.Never:
		return true
	default:
		return false
	}
}
