package locator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
)

// NoSite stands for a client block that no site is declared for.
const NoSite = ^uint16(0)

// Block is a client block and the number of its site.
type Block struct {
	Prefix netip.Prefix
	Site   uint16
}

// Blocks maps client addresses to the site of the longest prefix that holds
// them. It is immutable. IPv6 addresses count by their upper 64 bits.
type Blocks struct {
	four paged
	six  ranges[uint64]
}

// ranges is a partition of the whole number line.
//
// Invariant: starts is rising and as long as sites; a number belongs to the last
// start that is not above it, and to NoSite below the first.
type ranges[N uint32 | uint64] struct {
	starts []N
	sites  []uint16
}

// NewBlocks returns the table of the given blocks.
func NewBlocks(blocks []Block) *Blocks {
	var four []span[uint32]
	var six []span[uint64]
	for _, block := range blocks {
		prefix := block.Prefix.Masked()
		if prefix.Addr().Is4() {
			four = append(four, span4(prefix, block.Site))
		} else {
			six = append(six, span6(prefix, block.Site))
		}
	}
	return &Blocks{
		four: newPaged(flatten(four)),
		six:  flatten(six),
	}
}

// Site returns the site of an address, or NoSite.
func (b *Blocks) Site(client netip.Addr) uint16 {
	client = client.Unmap()
	if client.Is4() {
		raw := client.As4()
		return b.four.find(binary.BigEndian.Uint32(raw[:]))
	}
	if !client.Is6() {
		return NoSite
	}
	raw := client.As16()
	return b.six.find(binary.BigEndian.Uint64(raw[:8]))
}

// Len returns how many ranges the table holds.
func (b *Blocks) Len() int {
	return len(b.four.lows) + len(b.six.starts)
}

func (r ranges[N]) find(number N) uint16 {
	at, found := slices.BinarySearch(r.starts, number)
	if found {
		return r.sites[at]
	}
	if at == 0 {
		return NoSite
	}
	return r.sites[at-1]
}

// span is a block as numbers, both ends included.
type span[N uint32 | uint64] struct {
	first N
	last  N
	// bits is the length of the prefix; a longer one lies inside a shorter.
	bits int
	site uint16
}

func span4(prefix netip.Prefix, site uint16) span[uint32] {
	raw := prefix.Addr().As4()
	first := binary.BigEndian.Uint32(raw[:])
	return span[uint32]{
		first: first,
		last:  first | uint32(uint64(1)<<(32-prefix.Bits())-1),
		bits:  prefix.Bits(),
		site:  site,
	}
}

func span6(prefix netip.Prefix, site uint16) span[uint64] {
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

// flatten cuts nested spans into ranges, in which the longest prefix wins.
func flatten[N uint32 | uint64](spans []span[N]) ranges[N] {
	slices.SortFunc(spans, func(a, b span[N]) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.bits, b.bits))
	})
	var out ranges[N]
	var open []span[N]
	for _, next := range spans {
		open = out.close(open, next.first)
		out.add(next.first, next.site)
		open = append(open, next)
	}
	out.closeAll(open)
	return ranges[N]{
		starts: slices.Clone(out.starts),
		sites:  slices.Clone(out.sites),
	}
}

// close ends the open spans that lie wholly below a number.
func (r *ranges[N]) close(open []span[N], below N) []span[N] {
	for len(open) > 0 && open[len(open)-1].last < below {
		open = r.pop(open)
	}
	return open
}

func (r *ranges[N]) closeAll(open []span[N]) {
	for len(open) > 0 {
		open = r.pop(open)
	}
}

// pop ends the innermost open span; what follows belongs to the one around it.
func (r *ranges[N]) pop(open []span[N]) []span[N] {
	ended := open[len(open)-1]
	open = open[:len(open)-1]
	following := ended.last + 1
	if following == 0 {
		// The span reaches to the end of the number line.
		return open
	}
	site := NoSite
	if len(open) > 0 {
		site = open[len(open)-1].site
	}
	r.add(following, site)
	return open
}

// add starts a range. One that starts at the same number replaces it; one of the
// same site as the range before is joined to it.
func (r *ranges[N]) add(start N, site uint16) {
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
