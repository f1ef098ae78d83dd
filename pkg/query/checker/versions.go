package checker

import (
	"fmt"
	"net/netip"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// maxSlots bounds the requests that one upstream works on at once.
	maxSlots = 100_000
	// maxConnections bounds the open connections to one upstream.
	maxConnections = 100_000
)

func (p *pass) versions() {
	owners := map[string]string{}
	for version := range p.set.Versions.All() {
		o := p.object(declarer.KindVersion, version.Name)
		_, found := p.set.Services.Get(version.Service)
		o.require(found, "Service", version.Service, "the name of a declared Service")
		o.require(len(version.Upstreams) > 0, "Upstreams", len(version.Upstreams), "at least one")
		p.upstreams(o, version, owners)
	}
}

func (p *pass) upstreams(o object, version declarer.Version, owners map[string]string) {
	names := map[string]bool{}
	for i, upstream := range version.Upstreams {
		field := fmt.Sprintf("Upstreams[%d].", i)
		o.require(validName(upstream.Name), field+"Name", upstream.Name, nameRule)
		o.require(!names[upstream.Name], field+"Name", upstream.Name, "unique in the version")
		names[upstream.Name] = true
		_, found := p.set.Places.Get(upstream.Place)
		o.require(found, field+"Place", upstream.Place, "the name of a declared Place")
		_, err := netip.ParseAddrPort(upstream.Address)
		o.require(err == nil, field+"Address", upstream.Address, "an IP number and a port")
		owner, taken := owners[upstream.Address]
		o.require(!taken, field+"Address", upstream.Address, "not yet used by Version "+owner)
		owners[upstream.Address] = version.Name
		o.require(upstream.Slots >= 1 && upstream.Slots <= maxSlots, field+"Slots", upstream.Slots, "1 to 100000")
		open := upstream.Connections
		o.require(open >= 0 && open <= maxConnections, field+"Connections", open, "0 to 100000")
	}
}

func (p *pass) moves() {
	owners := map[string]string{}
	for move := range p.set.Moves.All() {
		o := p.object(declarer.KindMove, move.Name)
		_, found := p.set.Services.Get(move.Service)
		o.require(found, "Service", move.Service, "the name of a declared Service")
		owner, taken := owners[move.Service]
		o.require(!taken, "Service", move.Service, "not yet moved by Move "+owner)
		owners[move.Service] = move.Name
		p.moveVersion(o, "From", move.From, move.Service)
		p.moveVersion(o, "To", move.To, move.Service)
		o.require(move.From != move.To, "To", move.To, "another version than From")
		o.require(!move.Deadline.IsZero(), "Deadline", move.Deadline, "an instant")
		percent := move.CanaryPercent
		o.require(percent > 0 && percent <= 100, "CanaryPercent", percent, "above 0 and at most 100")
	}
}

func (p *pass) moveVersion(o object, field, name, service string) {
	version, found := p.set.Versions.Get(name)
	o.require(found && version.Service == service, field, name, "a declared version of the service")
}
