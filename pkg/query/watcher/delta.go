package watcher

import (
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// maxRemovals bounds the removals that a history remembers.
const maxRemovals = 1024

// Delta is what leads from one view to a later one. It is immutable.
type Delta[T any] struct {
	// After is the revision of the earlier view; 0 leads from nothing.
	After uint64
	// Revision is that of the later view.
	Revision uint64
	// Objects are those that have changed, in the order of their names, and Removed
	// the names of those that are gone.
	Objects []storer.Object[T]
	Removed []string
}

// Apply returns the later view, and false if the delta does not lead from this one.
func (d Delta[T]) Apply(view View[T]) (View[T], bool) {
	if d.After > view.Revision || (d.After == 0 && d.Revision == 0) {
		return View[T]{}, false
	}
	next := View[T]{
		Revision: d.Revision,
		Objects:  slices.Clone(d.Objects),
	}
	if d.After == 0 {
		return next, true
	}
	for _, object := range view.Objects {
		if !slices.Contains(d.Removed, object.Name) && !changed(d.Objects, object.Name) {
			next.Objects = append(next.Objects, object)
		}
	}
	slices.SortFunc(next.Objects, func(a, b storer.Object[T]) int { return strings.Compare(a.Name, b.Name) })
	return next, true
}

// changed says whether objects, in the order of their names, hold that of a name.
func changed[T any](objects []storer.Object[T], name string) bool {
	_, found := slices.BinarySearchFunc(objects, name, func(object storer.Object[T], wanted string) int {
		return strings.Compare(object.Name, wanted)
	})
	return found
}

// History is a view and what was removed before it, from which deltas are made. It is
// immutable.
type History[T any] struct {
	view View[T]
	// removed holds, for each name that is gone, the revision of the first view
	// without it.
	removed map[string]uint64
	// since is the revision of the earliest view from which removals are complete.
	since uint64
}

// NewHistory returns the history that begins with a view.
func NewHistory[T any](view View[T]) History[T] {
	return History[T]{
		view:  view,
		since: view.Revision,
	}
}

// View returns the latest view.
func (h History[T]) View() View[T] {
	return h.view
}

// WithView returns the history that goes on with a later view.
func (h History[T]) WithView(view View[T]) History[T] {
	if len(h.removed) > maxRemovals {
		return NewHistory(view)
	}
	removed := make(map[string]uint64, len(h.removed))
	for name, at := range h.removed {
		if !changed(view.Objects, name) {
			removed[name] = at
		}
	}
	for _, object := range h.view.Objects {
		if !changed(view.Objects, object.Name) {
			removed[object.Name] = view.Revision
		}
	}
	return History[T]{
		view:    view,
		removed: removed,
		since:   h.since,
	}
}

// Since returns what leads from the view of a revision to the latest one. From a
// revision before the history it leads from nothing.
func (h History[T]) Since(revision uint64) Delta[T] {
	if revision < h.since || revision == 0 {
		return Delta[T]{
			Revision: h.view.Revision,
			Objects:  h.view.Objects,
		}
	}
	delta := Delta[T]{
		After:    revision,
		Revision: h.view.Revision,
	}
	for _, object := range h.view.Objects {
		if object.Revision > revision {
			delta.Objects = append(delta.Objects, object)
		}
	}
	for name, at := range h.removed {
		if at > revision {
			delta.Removed = append(delta.Removed, name)
		}
	}
	slices.Sort(delta.Removed)
	return delta
}
