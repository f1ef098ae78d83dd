package balancer

import (
	"maps"
	"time"
)

// lapseTime is how long a figure of another instance counts, by this instance's clock. Figures
// are sent every second, so that two of them may be lost.
const lapseTime = 3500 * time.Millisecond

// Ledger holds the latest figure of each sender until it lapses. It is immutable; the zero value
// is empty.
type Ledger[K comparable, V any] struct {
	entries map[K]ledgerEntry[V]
}

// ledgerEntry is a figure with the time from which on it does not count any more.
type ledgerEntry[V any] struct {
	value      V
	validUntil time.Time
}

// With returns a copy with a figure that was received now, without those that have lapsed.
func (l Ledger[K, V]) With(sender K, value V, now time.Time) Ledger[K, V] {
	entries := maps.Clone(l.entries)
	if entries == nil {
		entries = map[K]ledgerEntry[V]{}
	}
	maps.DeleteFunc(entries, func(_ K, entry ledgerEntry[V]) bool { return !now.Before(entry.validUntil) })
	entries[sender] = ledgerEntry[V]{
		value:      value,
		validUntil: now.Add(lapseTime),
	}
	return Ledger[K, V]{
		entries: entries,
	}
}

// Get returns the figure of a sender, or false if there is none that counts.
func (l Ledger[K, V]) Get(sender K, now time.Time) (V, bool) {
	entry, found := l.entries[sender]
	if !found || !now.Before(entry.validUntil) {
		var zero V
		return zero, false
	}
	return entry.value, true
}

// Fresh returns the figures that count.
func (l Ledger[K, V]) Fresh(now time.Time) map[K]V {
	fresh := make(map[K]V, len(l.entries))
	for sender, entry := range l.entries {
		if now.Before(entry.validUntil) {
			fresh[sender] = entry.value
		}
	}
	return fresh
}
