package locator

import "slices"

const (
	// pageBits is how many lower bits of an IPv4 address a page covers.
	pageBits = 16
	// pages is how many pages cover all IPv4 addresses.
	pages = 1 << (32 - pageBits)
)

// paged is a partition of the IPv4 addresses that takes 4 bytes a range: a page
// is found by the upper half of an address, the range in it by the lower half.
//
// Invariant: page p holds the ranges index[p] to index[p+1]-1; the first of them
// starts at 0; lows is rising within a page and as long as sites.
type paged struct {
	index []uint32
	lows  []uint16
	sites []uint16
}

// newPaged cuts ranges at the borders of pages.
func newPaged(whole ranges[uint32]) paged {
	out := paged{
		index: make([]uint32, 0, pages+1),
		lows:  make([]uint16, 0, len(whole.starts)+pages),
		sites: make([]uint16, 0, len(whole.starts)+pages),
	}
	site := NoSite
	at := 0
	for page := range uint32(pages) {
		first := page << pageBits
		out.index = append(out.index, uint32(len(out.lows)))
		if at == len(whole.starts) || whole.starts[at] != first {
			out.add(0, site)
		}
		for at < len(whole.starts) && whole.starts[at]>>pageBits == page {
			site = whole.sites[at]
			out.add(uint16(whole.starts[at]), site)
			at++
		}
	}
	out.index = append(out.index, uint32(len(out.lows)))
	return out
}

func (p *paged) add(low, site uint16) {
	p.lows = append(p.lows, low)
	p.sites = append(p.sites, site)
}

func (p *paged) find(address uint32) uint16 {
	page := address >> pageBits
	from, to := p.index[page], p.index[page+1]
	at, found := slices.BinarySearch(p.lows[from:to], uint16(address))
	if !found {
		at--
	}
	return p.sites[from+uint32(at)]
}
