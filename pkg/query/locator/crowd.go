package locator

import (
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// crowdCells is the number of counters of a Crowd.
	crowdCells = 4096
	// crowdWindowSeconds is how long look-ups are counted together, in seconds.
	crowdWindowSeconds = 4
	// crowdLookups is the number of look-ups in a window from which an address stands for
	// several callers. One caller repeats a look-up every two seconds for each of a few hosts,
	// mostly at other instances.
	crowdLookups = 12
)

// Crowd tells addresses that many callers share, as behind a proxy or a translator of
// addresses, by the rate of their look-ups at this instance. If a draw by address named all
// of them the same few instances, these would get the load of a whole failure domain. It is
// safe for concurrent use, takes no lock and does not allocate. The zero value is ready.
type Crowd struct {
	// cells holds counters by the hash of the address: the number of the window in the upper
	// 32 bits, then 16 bits each for the count of the window before and that of the window.
	cells [crowdCells]atomic.Uint64
}

// Record counts a look-up, and reports whether several callers share its address.
func (c *Crowd) Record(caller netip.Addr, now time.Time) bool {
	cell := &c.cells[hashAddress(caller)%crowdCells]
	window := uint32(now.Unix() / crowdWindowSeconds)
	for {
		before := cell.Load()
		earlier, count := countsAt(before, window)
		count = min(count+1, 1<<16-1)
		after := uint64(window)<<32 | uint64(earlier)<<16 | uint64(count)
		if before == after || cell.CompareAndSwap(before, after) {
			return max(earlier, count) >= crowdLookups
		}
	}
}

// countsAt returns the counts of the window before and of the window that a cell holds.
func countsAt(cell uint64, window uint32) (earlier, count uint32) {
	earlier, count = uint32(cell>>16)&(1<<16-1), uint32(cell)&(1<<16-1)
	switch window - uint32(cell>>32) {
	case 0:
		return earlier, count
	case 1:
		return count, 0
	default:
		return 0, 0
	}
}
