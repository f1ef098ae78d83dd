package locator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
)

// NoSite is the site of a client that no declared block contains.
const NoSite = ^uint16(0)

// Block assigns a block of client addresses to a site.
type Block struct {
	// Prefix holds the addresses of the block.
	Prefix netip.Prefix
	// Site is the number of the site, which is below NoSite.
	Site uint16
}

// Blocks maps client addresses to sites by longest prefix match. It is immutable. Of IPv6
// addresses only the upper 64 bits count.
type Blocks struct {
	ipv4 pageTable
	ipv6 ranges[uint64]
}

// ranges partitions all values of N into ranges, each of which has a site.
//
// Invariant: starts is ascending and as long as sites. A number belongs to the range with
// the highest start that is not above it. A number below the first start has NoSite.
type ranges[N uint32 | uint64] struct {
	starts []N
	sites  []uint16
}

// NewBlocks returns the lookup table of the given blocks.
func NewBlocks(blocks []Block) *Blocks {
	var ipv4 []span[uint32]
	var ipv6 []span[uint64]
	for _, block := range blocks {
		prefix := block.Prefix.Masked()
		if prefix.Addr().Is4() {
			ipv4 = append(ipv4, ipv4Span(prefix, block.Site))
		} else {
			ipv6 = append(ipv6, ipv6Span(prefix, block.Site))
		}
	}
	return &Blocks{
		ipv4: newPageTable(flatten(ipv4)),
		ipv6: flatten(ipv6),
	}
}

// Site returns the site of a client address, or NoSite if no block contains the address.
func (b *Blocks) Site(client netip.Addr) uint16 {
	client = client.Unmap()
	if client.Is4() {
		raw := client.As4()
		return b.ipv4.find(binary.BigEndian.Uint32(raw[:]))
	}
	if !client.Is6() {
		return NoSite
	}
	raw := client.As16()
	return b.ipv6.find(binary.BigEndian.Uint64(raw[:8]))
}

// Len returns the number of ranges in the table.
func (b *Blocks) Len() int {
	return len(b.ipv4.starts) + len(b.ipv6.starts)
}

func (r ranges[N]) find(number N) uint16 {
	i, found := slices.BinarySearch(r.starts, number)
	if found {
		return r.sites[i]
	}
	if i == 0 {
		return NoSite
	}
	return r.sites[i-1]
}

// span is a block as an interval of numbers, both ends included.
type span[N uint32 | uint64] struct {
	first N
	last  N
	// bits is the length of the prefix. Of two spans that overlap, the one with the
	// longer prefix lies within the other.
	bits int
	site uint16
}

func ipv4Span(prefix netip.Prefix, site uint16) span[uint32] {
	raw := prefix.Addr().As4()
	first := binary.BigEndian.Uint32(raw[:])
	return span[uint32]{
		first: first,
		last:  first | uint32(uint64(1)<<(32-prefix.Bits())-1),
		bits:  prefix.Bits(),
		site:  site,
	}
}

func ipv6Span(prefix netip.Prefix, site uint16) span[uint64] {
	raw := prefix.Addr().As16()
	first := binary.BigEndian.Uint64(raw[:8])
	bits := min(prefix.Bits(), 64)
	host := ^uint64(0)
	if bits > 0 {
		host = uint64(1)<<(64-bits) - 1
	}
	return span[uint64]{
		first: first,
		last:  first | host,
		bits:  bits,
		site:  site,
	}
}

// flatten converts nested spans into ranges. Each range has the site of the longest prefix
// that contains it.
func flatten[N uint32 | uint64](spans []span[N]) ranges[N] {
	slices.SortFunc(spans, func(a, b span[N]) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.bits, b.bits))
	})
	var out ranges[N]
	var open []span[N]
	for _, next := range spans {
		open = out.closeBelow(open, next.first)
		out.addRange(next.first, next.site)
		open = append(open, next)
	}
	out.closeAll(open)
	return ranges[N]{
		starts: slices.Clone(out.starts),
		sites:  slices.Clone(out.sites),
	}
}

// closeBelow ends the open spans that lie wholly below a number, and returns those that
// stay open.
func (r *ranges[N]) closeBelow(open []span[N], below N) []span[N] {
	for len(open) > 0 && open[len(open)-1].last < below {
		open = r.closeInnermost(open)
	}
	return open
}

func (r *ranges[N]) closeAll(open []span[N]) {
	for len(open) > 0 {
		open = r.closeInnermost(open)
	}
}

// closeInnermost ends the innermost open span. The range that follows belongs to the span
// around it.
func (r *ranges[N]) closeInnermost(open []span[N]) []span[N] {
	ended := open[len(open)-1]
	open = open[:len(open)-1]
	following := ended.last + 1
	if following == 0 {
		// The span ends at the highest value of N, so that no range follows.
		return open
	}
	site := NoSite
	if len(open) > 0 {
		site = open[len(open)-1].site
	}
	r.addRange(following, site)
	return open
}

// addRange starts a range. It replaces a range that starts at the same number. A range
// with the site of the range before it is merged with that one.
func (r *ranges[N]) addRange(start N, site uint16) {
	last := len(r.starts) - 1
	if last >= 0 && r.starts[last] == start {
		r.starts = r.starts[:last]
		r.sites = r.sites[:last]
		last--
	}
	if last >= 0 && r.sites[last] == site {
		return
	}
	r.starts = append(r.starts, start)
	r.sites = append(r.sites, site)
}
