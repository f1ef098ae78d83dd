package meter

import (
	"maps"
	"slices"
)

// Tally holds the counts that sources have reported, by window. Each report of a source
// replaces the one before it, so that a repeat counts once. It is not safe for concurrent use.
type Tally struct {
	windows map[int64]map[string]sourceCounts
	// newest is the latest window that was set.
	newest int64
}

// sourceCounts are what a source has counted in a window, as of its report with a number.
type sourceCounts struct {
	number uint64
	counts Counts
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		windows: map[int64]map[string]sourceCounts{},
	}
}

// Set records what a source has counted in a window. The numbers of a source's reports rise, and
// one that comes after a later one is ignored.
func (t *Tally) Set(source string, number uint64, counted WindowCounts) {
	if t.newest-counted.Window >= Retained {
		return
	}
	sources, found := t.windows[counted.Window]
	if !found {
		sources = map[string]sourceCounts{}
		t.windows[counted.Window] = sources
	}
	if number >= sources[source].number {
		sources[source] = sourceCounts{
			number: number,
			counts: counted.Counts,
		}
	}
	if counted.Window > t.newest {
		t.newest = counted.Window
		maps.DeleteFunc(t.windows, func(window int64, _ map[string]sourceCounts) bool { return t.newest-window >= Retained })
	}
}

// Sum returns the sum of what the sources have counted in a window.
func (t *Tally) Sum(window int64) Counts {
	sum := Counts{}
	for _, counted := range t.windows[window] {
		sum = sum.Plus(counted.counts)
	}
	return sum
}

// Highest returns, for each team, the most that a source has counted in a window. It applies to
// sources that have counted the same requests, of which each may lack some.
func (t *Tally) Highest(window int64) Counts {
	highest := Counts{}
	for _, counted := range t.windows[window] {
		highest = highest.upTo(counted.counts)
	}
	return highest
}

// Sums returns the sums of all windows after a given one, in order.
func (t *Tally) Sums(after int64) []WindowCounts {
	var sums []WindowCounts
	for _, window := range slices.Sorted(maps.Keys(t.windows)) {
		if window > after {
			sums = append(sums, WindowCounts{
				Window: window,
				Counts: t.Sum(window),
			})
		}
	}
	return sums
}

// Outbox remembers what was sent to each receiver, so that only changes are sent. It is not safe
// for concurrent use.
type Outbox struct {
	sent map[string]map[int64]Counts
}

// NewOutbox returns an outbox from which nothing was sent.
func NewOutbox() *Outbox {
	return &Outbox{
		sent: map[string]map[int64]Counts{},
	}
}

// Take returns the windows that the receiver does not have as they are now, and records them as
// sent.
func (o *Outbox) Take(receiver string, windows []WindowCounts) []WindowCounts {
	before := o.sent[receiver]
	next := make(map[int64]Counts, len(windows))
	var changed []WindowCounts
	for _, counted := range windows {
		next[counted.Window] = counted.Counts
		if known, found := before[counted.Window]; !found || !maps.Equal(known, counted.Counts) {
			changed = append(changed, counted)
		}
	}
	o.sent[receiver] = next
	return changed
}

// Forget forgets what was sent to a receiver, so that all of it is sent again.
func (o *Outbox) Forget(receiver string) {
	delete(o.sent, receiver)
}

// ForgetAll forgets what was sent to all receivers.
func (o *Outbox) ForgetAll() {
	clear(o.sent)
}
