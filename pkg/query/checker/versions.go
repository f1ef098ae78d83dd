package checker

import (
	"fmt"
	"net/netip"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// maxSlots is the highest number of requests that one upstream may process at once.
	maxSlots = 100_000
	// maxConnections is the highest number of open connections to one upstream.
	maxConnections = 100_000
)

func (s *setCheck) checkVersions() {
	owners := map[string]string{}
	for version := range s.set.Versions.All() {
		o := s.checkObject(declarer.KindVersion, version.Name)
		_, found := s.set.Services.Get(version.Service)
		o.require(found, "Service", version.Service, "the name of a declared Service")
		o.require(len(version.Upstreams) > 0, "Upstreams", len(version.Upstreams), "at least one")
		s.checkUpstreams(o, version, owners)
	}
}

func (s *setCheck) checkUpstreams(o objectCheck, version declarer.Version, owners map[string]string) {
	names := map[string]bool{}
	for i, upstream := range version.Upstreams {
		field := fmt.Sprintf("Upstreams[%d].", i)
		o.require(validName(upstream.Name), field+"Name", upstream.Name, nameRule)
		o.require(!names[upstream.Name], field+"Name", upstream.Name, "a name that no other upstream of the Version has")
		names[upstream.Name] = true
		_, found := s.set.Places.Get(upstream.Place)
		o.require(found, field+"Place", upstream.Place, "the name of a declared Place")
		_, err := netip.ParseAddrPort(upstream.Address)
		o.require(err == nil, field+"Address", upstream.Address, "an IP address and a port")
		owner, taken := owners[upstream.Address]
		o.require(!taken, field+"Address", upstream.Address, "an address other than those of Version "+owner)
		owners[upstream.Address] = version.Name
		o.require(upstream.Slots >= 1 && upstream.Slots <= maxSlots, field+"Slots", upstream.Slots, "1 to 100000")
		connections := upstream.Connections
		o.require(connections >= 0 && connections <= maxConnections, field+"Connections", connections, "0 to 100000")
	}
}

// checkMoves checks the moves. A move is the canary rollout of a version of a service.
func (s *setCheck) checkMoves() {
	owners := map[string]string{}
	for move := range s.set.Moves.All() {
		o := s.checkObject(declarer.KindMove, move.Name)
		_, found := s.set.Services.Get(move.Service)
		o.require(found, "Service", move.Service, "the name of a declared Service")
		owner, taken := owners[move.Service]
		o.require(!taken, "Service", move.Service, "a Service other than that of Move "+owner)
		owners[move.Service] = move.Name
		s.checkMoveVersion(o, "From", move.From, move.Service)
		s.checkMoveVersion(o, "To", move.To, move.Service)
		o.require(move.From != move.To, "To", move.To, "a Version other than From")
		o.require(!move.Deadline.IsZero(), "Deadline", move.Deadline, "a date and time")
		percent := move.CanaryPercent
		o.require(percent > 0 && percent <= 100, "CanaryPercent", percent, "above 0 and at most 100")
	}
}

func (s *setCheck) checkMoveVersion(o objectCheck, field, name, service string) {
	version, found := s.set.Versions.Get(name)
	o.require(found && version.Service == service, field, name, "a declared Version of the Service")
}
