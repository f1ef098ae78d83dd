package checker

import (
	"fmt"
	"net/netip"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxSeats is the highest number of seats of one failure domain. A seat is the right to
// one part of every limit, held by one incarnation of an entry instance.
const maxSeats = 10_000

func (p *pass) checkPlaces() {
	owners := map[netip.Prefix]string{}
	for place := range p.set.Places.All() {
		o := p.checkObject(declarer.KindPlace, place.Name)
		o.require(validName(place.Region), "Region", place.Region, nameRule)
		o.require(place.Seats >= 1 && place.Seats <= maxSeats, "Seats", place.Seats, "1 to 10000")
		p.checkClientBlocks(o, place, owners)
		p.checkLinks(o, place)
	}
}

func (p *pass) checkClientBlocks(o objectCheck, place declarer.Place, owners map[netip.Prefix]string) {
	for i, block := range place.ClientBlocks {
		field := fmt.Sprintf("ClientBlocks[%d]", i)
		prefix, err := netip.ParsePrefix(block)
		if err != nil || prefix != prefix.Masked() {
			o.require(false, field, block, "an IP prefix in CIDR form with no bit set after the prefix")
			continue
		}
		owner, taken := owners[prefix]
		o.require(!taken, field, block, "not already declared in Place "+owner)
		owners[prefix] = place.Name
	}
}

func (p *pass) checkLinks(o objectCheck, place declarer.Place) {
	linked := map[string]bool{}
	for i, link := range place.Links {
		field := fmt.Sprintf("Links[%d].", i)
		o.require(p.regionExists(link.Region), field+"Region", link.Region, "the region of a declared Place")
		o.require(link.Region != place.Region, field+"Region", link.Region, "a region other than that of the Place")
		o.require(!linked[link.Region], field+"Region", link.Region, "a region that no other link of the Place names")
		o.require(link.LatencyMillis >= 0, field+"LatencyMillis", link.LatencyMillis, "0 or more")
		o.require(link.BytesPerSecond >= 0, field+"BytesPerSecond", link.BytesPerSecond, "0 or more")
		linked[link.Region] = true
	}
}

// regionExists reports whether a failure domain is declared in a region.
func (p *pass) regionExists(region string) bool {
	for place := range p.set.Places.All() {
		if place.Region == region {
			return true
		}
	}
	return false
}
