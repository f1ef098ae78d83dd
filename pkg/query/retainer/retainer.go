// Package retainer decides which objects of a collection count after the store has returned
// from an older copy of its data. The copy lacks what was written in the lost seconds, and has
// again what was replaced or removed in them. Whoever wrote an object writes it again soon, so
// what was known before counts for a bounded time.
package retainer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// leaveOutTime is how long after a return an object that was known to have been removed
	// is left out, and what was known of a listed object is merged with it, unless the object
	// is written again.
	leaveOutTime = 10 * time.Second
	// rememberTime is how long it is remembered that an object was removed. It is longer
	// than the age of a copy.
	rememberTime = time.Minute
)

// Policy is what differs between collections.
type Policy[T any] interface {
	// Identity tells apart objects that use the same name one after the other. If it is
	// empty, the collection's objects are not left out after a return.
	Identity(value T) string
	// Merge returns the value that counts if the copy may have an earlier value of an
	// object than the known one; both have the same identity.
	Merge(known, listed T) T
}

// Entry is an object of a collection.
type Entry[T any] struct {
	Name string
	// Revision is the store's revision of the object, in the era of the view that it is from.
	Revision uint64
	// Kept reports that the store has not listed the object since its return.
	Kept  bool
	Value T
}

// Retainer holds what counts of a collection. It is immutable.
type Retainer[T any] struct {
	policy Policy[T]
	// keepMillis is how long after a return objects that the copy lacks are kept, in
	// milliseconds.
	keepMillis int
	// era is the store's era of the listed entries.
	era uint64
	// listed are the entries of the latest view, and counted those that count; both are in
	// the order of their names.
	listed  []Entry[T]
	counted []Entry[T]
	// countedAt is the time at which counted was computed.
	countedAt time.Time
	// known are the entries that counted before the latest return and that the store has
	// not listed as written since, by name. keepUntil and leaveOutUntil are zero before the
	// first return.
	known         map[string]Entry[T]
	keepUntil     time.Time
	leaveOutUntil time.Time
	// copied are the revisions of the entries in the first view after the latest return that
	// have been listed ever since, by name; nil before that view. An entry that keeps that
	// revision may be the copy's.
	copied map[string]uint64
	// removed are the objects that were removed.
	removed map[removedKey]removal
}

// removedKey identifies an object that was removed or replaced.
type removedKey struct {
	name     string
	identity string
}

// removal is the last revision of an object that was removed, and the time until which that
// is remembered.
type removal struct {
	revision uint64
	until    time.Time
}

// New returns a retainer before the first view. keepMillis is how long objects that an older
// copy lacks are kept after the return, in milliseconds.
func New[T any](policy Policy[T], keepMillis int) Retainer[T] {
	return Retainer[T]{
		policy:     policy,
		keepMillis: keepMillis,
	}
}

// Counted returns the entries that count, in the order of their names.
func (r Retainer[T]) Counted() []Entry[T] {
	return r.counted
}

// WithView returns the retainer after a view of the store, whose entries are in the order of
// their names.
func (r Retainer[T]) WithView(position storer.Position, listed []Entry[T], now time.Time) Retainer[T] {
	if position.Era != r.era && r.listed != nil {
		r = r.withReturn(now)
	} else {
		r = r.withRemovals(listed, now)
	}
	r.era = position.Era
	r.listed = slices.Clip(slices.Clone(listed))
	if r.listed == nil {
		r.listed = []Entry[T]{}
	}
	return r.withWritten().WithTime(now)
}

// withReturn returns the retainer after a return from an older copy, before its first view.
func (r Retainer[T]) withReturn(now time.Time) Retainer[T] {
	r.known = byName(r.counted)
	r.copied = nil
	r.keepUntil = now.Add(time.Duration(r.keepMillis) * time.Millisecond)
	r.leaveOutUntil = now.Add(leaveOutTime)
	return r
}

// withRemovals records the objects that are listed no longer, and forgets old removals.
func (r Retainer[T]) withRemovals(listed []Entry[T], now time.Time) Retainer[T] {
	removed := map[removedKey]removal{}
	for key, entry := range r.removed {
		if now.Before(entry.until) {
			removed[key] = entry
		}
	}
	current := map[removedKey]bool{}
	for _, entry := range listed {
		current[r.key(entry)] = true
	}
	known := maps.Clone(r.known)
	for _, entry := range r.listed {
		key := r.key(entry)
		if current[key] || r.isLeftOut(entry, now) {
			continue
		}
		removed[key] = removal{
			revision: entry.Revision,
			until:    now.Add(rememberTime),
		}
		delete(known, entry.Name)
	}
	r.removed = removed
	r.known = known
	return r
}

// withWritten forgets what was known of the objects that have been written since the return.
func (r Retainer[T]) withWritten() Retainer[T] {
	known := maps.Clone(r.known)
	removed := maps.Clone(r.removed)
	copied := make(map[string]uint64, len(r.listed))
	for _, entry := range r.listed {
		if revision, found := r.copiedRevision(entry); found {
			copied[entry.Name] = revision
		}
		if r.isWritten(entry) {
			delete(known, entry.Name)
			delete(removed, r.key(entry))
		}
	}
	r.known = known
	r.removed = removed
	r.copied = copied
	return r
}

// copiedRevision returns the revision of an entry in the first view after the return, or false
// if the entry has been added since.
func (r Retainer[T]) copiedRevision(entry Entry[T]) (uint64, bool) {
	if r.copied == nil {
		return entry.Revision, true
	}
	revision, found := r.copied[entry.Name]
	return revision, found
}

// isWritten reports whether an entry has certainly been written since the return.
func (r Retainer[T]) isWritten(entry Entry[T]) bool {
	if revision, found := r.copiedRevision(entry); !found || entry.Revision != revision {
		return true
	}
	if gone, found := r.removed[r.key(entry)]; found {
		return entry.Revision > gone.revision
	}
	last, found := r.known[entry.Name]
	return found && (entry.Revision >= last.Revision || !r.sameObject(last, entry))
}

// WithTime returns the retainer with the entries that count at a time.
func (r Retainer[T]) WithTime(now time.Time) Retainer[T] {
	counted := make([]Entry[T], 0, len(r.listed))
	listed := make(map[string]bool, len(r.listed))
	for _, entry := range r.listed {
		if r.isLeftOut(entry, now) {
			continue
		}
		listed[entry.Name] = true
		if last, found := r.known[entry.Name]; found && now.Before(r.leaveOutUntil) && r.sameObject(last, entry) {
			entry.Value = r.policy.Merge(last.Value, entry.Value)
		}
		counted = append(counted, entry)
	}
	if now.Before(r.keepUntil) {
		for name, entry := range r.known {
			if !listed[name] {
				entry.Kept = true
				counted = append(counted, entry)
			}
		}
	}
	slices.SortFunc(counted, func(a, b Entry[T]) int { return strings.Compare(a.Name, b.Name) })
	r.counted = counted
	r.countedAt = now
	return r
}

// IsDue reports whether a deadline has passed on which the entries that count depend, so that
// WithTime may return others.
func (r Retainer[T]) IsDue(now time.Time) bool {
	return r.passes(r.keepUntil, now) || r.passes(r.leaveOutUntil, now)
}

// passes reports whether a deadline has passed since the entries that count were computed.
func (r Retainer[T]) passes(deadline, now time.Time) bool {
	return r.countedAt.Before(deadline) && !now.Before(deadline)
}

// isLeftOut reports whether an entry may be the copy's of an object that was removed.
func (r Retainer[T]) isLeftOut(entry Entry[T], now time.Time) bool {
	if r.policy.Identity(entry.Value) == "" || !now.Before(r.leaveOutUntil) {
		return false
	}
	_, found := r.removed[r.key(entry)]
	return found
}

func (r Retainer[T]) key(entry Entry[T]) removedKey {
	return removedKey{
		name:     entry.Name,
		identity: r.policy.Identity(entry.Value),
	}
}

// sameObject reports whether two entries of the same name are of the same object.
func (r Retainer[T]) sameObject(a, b Entry[T]) bool {
	return r.policy.Identity(a.Value) == r.policy.Identity(b.Value)
}

// byName returns the entries by their names.
func byName[T any](entries []Entry[T]) map[string]Entry[T] {
	named := make(map[string]Entry[T], len(entries))
	for _, entry := range entries {
		named[entry.Name] = entry
	}
	return named
}
