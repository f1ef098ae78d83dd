package locator

import "slices"

const (
	// pageBits is the number of low bits of an IPv4 address that a page covers.
	pageBits = 16
	// pages is the number of pages that cover all IPv4 addresses.
	pages = 1 << (32 - pageBits)
)

// pageTable partitions the IPv4 addresses into ranges and takes 4 bytes for each range.
// The upper half of an address selects a page, and the lower half the range in that page.
//
// Invariant: page p holds the ranges index[p] to index[p+1]-1, and the first of them
// starts at 0. starts holds the lower half of each range's first address; it ascends
// within a page and is as long as sites.
type pageTable struct {
	index  []uint32
	starts []uint16
	sites  []uint16
}

// newPageTable returns the table of the given ranges. It splits them at page boundaries.
func newPageTable(whole ranges[uint32]) pageTable {
	table := pageTable{
		index:  make([]uint32, 0, pages+1),
		starts: make([]uint16, 0, len(whole.starts)+pages),
		sites:  make([]uint16, 0, len(whole.starts)+pages),
	}
	site := NoSite
	next := 0
	for page := range uint32(pages) {
		first := page << pageBits
		table.index = append(table.index, uint32(len(table.starts)))
		if next == len(whole.starts) || whole.starts[next] != first {
			table.addRange(0, site)
		}
		for next < len(whole.starts) && whole.starts[next]>>pageBits == page {
			site = whole.sites[next]
			table.addRange(uint16(whole.starts[next]), site)
			next++
		}
	}
	table.index = append(table.index, uint32(len(table.starts)))
	return table
}

func (p *pageTable) addRange(start, site uint16) {
	p.starts = append(p.starts, start)
	p.sites = append(p.sites, site)
}

func (p *pageTable) find(address uint32) uint16 {
	page := address >> pageBits
	from, to := p.index[page], p.index[page+1]
	i, found := slices.BinarySearch(p.starts[from:to], uint16(address))
	if !found {
		i--
	}
	return p.sites[from+uint32(i)]
}
