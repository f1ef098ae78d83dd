package meter

import (
	"maps"
	"slices"
	"sync/atomic"
)

// Counter counts the requests that one instance sends, by window and team. It is safe for
// concurrent use and takes no lock.
type Counter struct {
	// slots holds the counts of window k at k modulo Retained.
	slots [Retained]atomic.Pointer[counterWindow]
}

// counterWindow holds the counts of a window.
type counterWindow struct {
	window int64
	// teams is replaced when a team has its first request.
	teams atomic.Pointer[map[string]*atomic.Int64]
}

// Begin counts a request and returns its count, from which the caller subtracts the request if
// it has not run. It returns nil if the window is no longer kept.
func (c *Counter) Begin(window int64, team string) *atomic.Int64 {
	found := c.slot(window)
	if found == nil {
		return nil
	}
	count := found.count(team)
	count.Add(1)
	return count
}

// slot returns the counts of a window, or nil if a later one has taken their place.
func (c *Counter) slot(window int64) *counterWindow {
	slot := &c.slots[uint64(window)%Retained]
	for {
		found := slot.Load()
		if found != nil && found.window >= window {
			if found.window > window {
				return nil
			}
			return found
		}
		next := &counterWindow{
			window: window,
		}
		next.teams.Store(&map[string]*atomic.Int64{})
		if slot.CompareAndSwap(found, next) {
			return next
		}
	}
}

func (w *counterWindow) count(team string) *atomic.Int64 {
	for {
		teams := w.teams.Load()
		if count, found := (*teams)[team]; found {
			return count
		}
		next := maps.Clone(*teams)
		count := &atomic.Int64{}
		next[team] = count
		if w.teams.CompareAndSwap(teams, &next) {
			return count
		}
	}
}

// Windows returns the counts of the windows after a given one, in order. Windows without
// requests are missing.
func (c *Counter) Windows(after int64) []WindowCounts {
	var windows []WindowCounts
	for i := range c.slots {
		found := c.slots[i].Load()
		if found == nil || found.window <= after {
			continue
		}
		counts := Counts{}
		for team, count := range *found.teams.Load() {
			if value := count.Load(); value > 0 {
				counts[team] = value
			}
		}
		windows = append(windows, WindowCounts{
			Window: found.window,
			Counts: counts,
		})
	}
	slices.SortFunc(windows, func(a, b WindowCounts) int { return int(a.Window - b.Window) })
	return windows
}
