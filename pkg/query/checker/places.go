package checker

import (
	"fmt"
	"net/netip"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxSeats is the highest number of seats of one failure domain. A seat is the right to
// one part of every limit, held by one incarnation of an entry instance.
const maxSeats = 10_000

func (s *setCheck) checkPlaces() {
	owners := map[netip.Prefix]string{}
	for place := range s.set.Places.All() {
		o := s.checkObject(declarer.KindPlace, place.Name)
		o.require(validName(place.Region), "Region", place.Region, nameRule)
		o.require(place.Seats >= 1 && place.Seats <= maxSeats, "Seats", place.Seats, "1 to 10000")
		s.checkClientBlocks(o, place, owners)
		s.checkLinks(o, place)
	}
}

func (s *setCheck) checkClientBlocks(o objectCheck, place declarer.Place, owners map[netip.Prefix]string) {
	for i, block := range place.ClientBlocks {
		field := fmt.Sprintf("ClientBlocks[%d]", i)
		prefix, err := netip.ParsePrefix(block)
		if err != nil || prefix != prefix.Masked() {
			o.require(false, field, block, "an IP prefix in CIDR form with no bit set after the prefix")
			continue
		}
		owner, taken := owners[prefix]
		o.require(!taken, field, block, "a prefix other than those of Place "+owner)
		owners[prefix] = place.Name
	}
}

func (s *setCheck) checkLinks(o objectCheck, place declarer.Place) {
	linked := map[string]bool{}
	for i, link := range place.Links {
		field := fmt.Sprintf("Links[%d].", i)
		o.require(s.regionExists(link.Region), field+"Region", link.Region, "the region of a declared Place")
		o.require(link.Region != place.Region, field+"Region", link.Region, "a region other than that of the Place")
		o.require(!linked[link.Region], field+"Region", link.Region, "a region that no other link of the Place names")
		o.require(link.LatencyMillis >= 0, field+"LatencyMillis", link.LatencyMillis, "0 or more")
		o.require(link.BytesPerSecond >= 0, field+"BytesPerSecond", link.BytesPerSecond, "0 or more")
		linked[link.Region] = true
	}
}

// regionExists reports whether a failure domain is declared in a region.
func (s *setCheck) regionExists(region string) bool {
	for place := range s.set.Places.All() {
		if place.Region == region {
			return true
		}
	}
	return false
}
