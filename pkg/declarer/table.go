package declarer

import (
	"iter"
	"slices"
	"strings"
)

// Named is an object with a name that identifies it within its kind.
type Named interface {
	// ObjectName returns the name, which is unique within the kind.
	ObjectName() string
}

// Table is an immutable collection of objects of one kind, in the order of their
// names. The zero value is empty.
//
// Invariant: rows is sorted by name, holds each name once and is not written to after
// the table has been returned.
type Table[T Named] struct {
	rows []T
}

// NewTable returns a table of the given objects, which may be in any order. Of objects
// with the same name it keeps the last.
func NewTable[T Named](objects ...T) Table[T] {
	rows := slices.Clone(objects)
	slices.Reverse(rows)
	slices.SortStableFunc(rows, func(a, b T) int {
		return strings.Compare(a.ObjectName(), b.ObjectName())
	})
	rows = slices.CompactFunc(rows, func(a, b T) bool {
		return a.ObjectName() == b.ObjectName()
	})
	return Table[T]{
		rows: rows,
	}
}

// Len returns the number of objects.
func (t Table[T]) Len() int {
	return len(t.rows)
}

// All iterates over the objects in the order of their names.
func (t Table[T]) All() iter.Seq[T] {
	return slices.Values(t.rows)
}

// Get returns the object of that name, and false if there is none.
func (t Table[T]) Get(name string) (T, bool) {
	index, found := t.find(name)
	if !found {
		var none T
		return none, false
	}
	return t.rows[index], true
}

// With returns a table with the object added. It replaces an object of the same name.
func (t Table[T]) With(object T) Table[T] {
	index, found := t.find(object.ObjectName())
	rows := slices.Clone(t.rows)
	if found {
		rows[index] = object
	} else {
		rows = slices.Insert(rows, index, object)
	}
	return Table[T]{
		rows: rows,
	}
}

// Without returns a table without the object of that name.
func (t Table[T]) Without(name string) Table[T] {
	index, found := t.find(name)
	if !found {
		return t
	}
	return Table[T]{
		rows: slices.Delete(slices.Clone(t.rows), index, index+1),
	}
}

// Rows returns a copy of the objects in the order of their names.
func (t Table[T]) Rows() []T {
	return slices.Clone(t.rows)
}

// find returns the index of the object of that name, or the index at which it belongs
// and false.
func (t Table[T]) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, name, func(row T, wanted string) int {
		return strings.Compare(row.ObjectName(), wanted)
	})
}
