package checker

import (
	"fmt"
	"net/netip"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxSeats bounds the entry instances of one place.
const maxSeats = 10_000

func (p *pass) places() {
	owners := map[netip.Prefix]string{}
	for place := range p.set.Places.All() {
		o := p.object(declarer.KindPlace, place.Name)
		o.require(validName(place.Region), "Region", place.Region, nameRule)
		o.require(place.Seats >= 1 && place.Seats <= maxSeats, "Seats", place.Seats, "1 to 10000")
		p.clientBlocks(o, place, owners)
		p.links(o, place)
	}
}

func (p *pass) clientBlocks(o object, place declarer.Place, owners map[netip.Prefix]string) {
	for i, block := range place.ClientBlocks {
		field := fmt.Sprintf("ClientBlocks[%d]", i)
		prefix, err := netip.ParsePrefix(block)
		if err != nil || prefix != prefix.Masked() {
			o.require(false, field, block, "an IP prefix in CIDR form with no bit set after the prefix")
			continue
		}
		owner, taken := owners[prefix]
		o.require(!taken, field, block, "not yet declared in Place "+owner)
		owners[prefix] = place.Name
	}
}

func (p *pass) links(o object, place declarer.Place) {
	linked := map[string]bool{}
	for i, link := range place.Links {
		field := fmt.Sprintf("Links[%d].", i)
		o.require(p.regionExists(link.Region), field+"Region", link.Region, "the region of some place")
		o.require(link.Region != place.Region, field+"Region", link.Region, "another region than the place's own")
		o.require(!linked[link.Region], field+"Region", link.Region, "at most one link to a region")
		o.require(link.LatencyMillis >= 0, field+"LatencyMillis", link.LatencyMillis, "0 or more")
		o.require(link.BytesPerSecond >= 0, field+"BytesPerSecond", link.BytesPerSecond, "0 or more")
		linked[link.Region] = true
	}
}

func (p *pass) regionExists(region string) bool {
	for place := range p.set.Places.All() {
		if place.Region == region {
			return true
		}
	}
	return false
}
