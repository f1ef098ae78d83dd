package watcher

import (
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// maxRemovals is the largest number of removals with which a history is extended.
// WithView replaces one with more by a new history, from which earlier views get the
// whole latest view.
const maxRemovals = 1024

// Delta is the difference between a view and a later one. It is immutable.
type Delta[T any] struct {
	// Era is the store's era to which After and Revision belong.
	Era uint64 `cbor:",omitzero"`
	// After is the revision of the earlier view; 0 means that Objects is the whole later
	// view.
	After uint64
	// Revision is the revision of the later view.
	Revision uint64
	// Objects holds the objects that have changed, in the order of their names. Removed
	// holds the names of the objects that no longer exist.
	Objects []storer.Object[T]
	Removed []string
	// Gap says that Removed may lack objects that were written and removed after the earlier
	// view (see View.Gap).
	Gap bool `cbor:",omitempty"`
}

// Position returns the point in the store's history of the later view.
func (d Delta[T]) Position() storer.Position {
	return storer.Position{
		Era:      d.Era,
		Revision: d.Revision,
	}
}

// WithEra returns a copy in another era.
func (d Delta[T]) WithEra(era uint64) Delta[T] {
	d.Era = era
	return d
}

// Apply returns the later view. It returns false if the delta starts after the given
// view or in another era, or if the delta is the zero value.
func (d Delta[T]) Apply(view View[T]) (View[T], bool) {
	if d.After > view.Revision || d.Position().IsZero() {
		return View[T]{}, false
	}
	if d.After != 0 && d.Era != view.Era {
		return View[T]{}, false
	}
	next := View[T]{
		Era:      d.Era,
		Revision: d.Revision,
		Objects:  slices.Clone(d.Objects),
		Removed:  d.Removed,
		Gap:      d.Gap || d.After == 0,
	}
	if d.After == 0 {
		return next, true
	}
	for _, object := range view.Objects {
		if !slices.Contains(d.Removed, object.Name) && !containsName(d.Objects, object.Name) {
			next.Objects = append(next.Objects, object)
		}
	}
	slices.SortFunc(next.Objects, func(a, b storer.Object[T]) int { return strings.Compare(a.Name, b.Name) })
	return next, true
}

// containsName reports whether objects, which are in the order of their names, contain
// an object with a name.
func containsName[T any](objects []storer.Object[T], name string) bool {
	_, found := slices.BinarySearchFunc(objects, name, func(object storer.Object[T], wanted string) int {
		return strings.Compare(object.Name, wanted)
	})
	return found
}

// History holds the latest view and the removals before it. It computes deltas from
// earlier views. It is immutable.
type History[T any] struct {
	view View[T]
	// removed maps the name of each removed object to the revision of the view with which
	// its last removal became known.
	removed map[string]uint64
	// completeFrom is the revision of the earliest view after which removed holds all
	// removals of objects that a view up to then can hold.
	completeFrom uint64
	// gap spans the revisions, exclusively, whose views may hold objects that removed lacks:
	// objects that were written and removed between two views of this history.
	gap span
}

// span is a range of revisions, without both ends. The zero value is empty.
type span struct {
	after uint64
	until uint64
}

// contains reports whether a revision lies in the range.
func (s span) contains(revision uint64) bool {
	return revision > s.after && revision < s.until
}

// extended returns the smallest range that holds both ranges, of which other is the later one.
func (s span) extended(other span) span {
	if s.until != 0 {
		other.after = min(s.after, other.after)
	}
	return other
}

// NewHistory returns the history that starts with a view.
func NewHistory[T any](view View[T]) History[T] {
	return History[T]{
		view:         view,
		completeFrom: view.Revision,
	}
}

// View returns the latest view.
func (h History[T]) View() View[T] {
	return h.view
}

// WithView returns the history extended by a later view. It starts a new history if the
// present one holds more than maxRemovals removals, or if the view is of another era.
func (h History[T]) WithView(view View[T]) History[T] {
	if len(h.removed) > maxRemovals || view.Era != h.view.Era {
		return NewHistory(view)
	}
	return History[T]{
		view:         view,
		removed:      h.removedWith(view),
		completeFrom: h.completeFrom,
		gap:          h.gapWith(view),
	}
}

// removedWith returns the removals up to a later view. An object that was removed before may
// have been written and removed again since.
func (h History[T]) removedWith(view View[T]) map[string]uint64 {
	removed := make(map[string]uint64, len(h.removed)+len(view.Removed))
	for name, removedAt := range h.removed {
		if view.Gap {
			removedAt = view.Revision
		}
		removed[name] = removedAt
	}
	for _, object := range h.view.Objects {
		removed[object.Name] = view.Revision
	}
	for _, name := range view.Removed {
		removed[name] = view.Revision
	}
	for _, object := range view.Objects {
		delete(removed, object.Name)
	}
	return removed
}

// gapWith returns the gap up to a later view.
func (h History[T]) gapWith(view View[T]) span {
	if !view.Gap {
		return h.gap
	}
	return h.gap.extended(span{
		after: h.view.Revision,
		until: view.Revision,
	})
}

// Since returns the delta from the view of a position to the latest view. For the zero
// position, one of another era, one before the start of the history or one in its gap, the
// delta holds the whole latest view.
func (h History[T]) Since(position storer.Position) Delta[T] {
	revision := position.Revision
	if position.Era != h.view.Era || revision < h.completeFrom || revision == 0 || h.gap.contains(revision) {
		return Delta[T]{
			Era:      h.view.Era,
			Revision: h.view.Revision,
			Objects:  h.view.Objects,
		}
	}
	delta := Delta[T]{
		Era:      h.view.Era,
		After:    revision,
		Revision: h.view.Revision,
		Gap:      h.gap.until > revision,
	}
	for _, object := range h.view.Objects {
		if object.Revision > revision {
			delta.Objects = append(delta.Objects, object)
		}
	}
	for name, removedAt := range h.removed {
		if removedAt > revision {
			delta.Removed = append(delta.Removed, name)
		}
	}
	slices.Sort(delta.Removed)
	return delta
}
