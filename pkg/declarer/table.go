package declarer

import (
	"iter"
	"slices"
	"strings"
)

// Named is an object that its name identifies within its kind.
type Named interface {
	// ObjectName returns the name, which is unique within the kind.
	ObjectName() string
}

// Table is an immutable collection of objects of one kind, in the order of
// their names. The zero value is empty.
//
// Invariant: rows is sorted by name, holds each name once and is never written
// after the table is returned.
type Table[T Named] struct {
	rows []T
}

// NewTable returns a table of the given objects. Of objects with the same name
// it keeps the last.
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

// Len returns how many objects there are.
func (t Table[T]) Len() int {
	return len(t.rows)
}

// All iterates over the objects in the order of their names.
func (t Table[T]) All() iter.Seq[T] {
	return slices.Values(t.rows)
}

// Get returns the object of that name.
func (t Table[T]) Get(name string) (T, bool) {
	at, found := t.find(name)
	if !found {
		var none T
		return none, false
	}
	return t.rows[at], true
}

// With returns a table in which object stands in place of the one of its name,
// or is added.
func (t Table[T]) With(object T) Table[T] {
	at, found := t.find(object.ObjectName())
	rows := slices.Clone(t.rows)
	if found {
		rows[at] = object
	} else {
		rows = slices.Insert(rows, at, object)
	}
	return Table[T]{
		rows: rows,
	}
}

// Without returns a table that lacks the object of that name.
func (t Table[T]) Without(name string) Table[T] {
	at, found := t.find(name)
	if !found {
		return t
	}
	return Table[T]{
		rows: slices.Delete(slices.Clone(t.rows), at, at+1),
	}
}

// Rows returns a copy of the objects in the order of their names.
func (t Table[T]) Rows() []T {
	return slices.Clone(t.rows)
}

func (t Table[T]) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, name, func(row T, wanted string) int {
		return strings.Compare(row.ObjectName(), wanted)
	})
}
