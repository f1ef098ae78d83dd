package storer

import "cmp"

// Position is a point in the history of a store. A store that returns from an older copy of
// its data gives out revisions again that it has given out for other writes, so revisions are
// ordered only within an era. Position is immutable; the zero value is before all others.
type Position struct {
	// Era is the number of the store's history. It increases each time that the store
	// returns from an older copy. It is 0 for a store that does not report it.
	Era uint64
	// Revision is the store's revision in that era.
	Revision uint64
}

// Compare returns -1 if the position is before other, 0 if both are the same, and +1 if it
// is after other. A later era is after all revisions of an earlier one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsAfter reports whether the position is after other.
func (p Position) IsAfter(other Position) bool {
	return p.Compare(other) > 0
}

// IsZero reports whether the position is the zero value, before the first answer of a store.
func (p Position) IsZero() bool {
	return p == Position{}
}
