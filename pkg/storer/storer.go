// Package storer is this project's view of the platform's object API: objects
// with versions, conditional updates and watches, and a list of instances.
// Adapters implement it for a platform; package prover checks them.
package storer

import "context"

// Object is one stored object.
type Object[T any] struct {
	// Name is a path such as "Seats/derby/0".
	Name string
	// Revision is the store's revision of the last write; never zero.
	Revision uint64
	// Value is what was stored.
	Value T
}

// Changes is what happened below a prefix.
type Changes[T any] struct {
	// Revision is the store's revision up to which the changes are complete.
	Revision uint64
	// Objects were written and still exist, in the order of their names.
	Objects []Object[T]
	// Removed are the names of objects that no longer exist.
	Removed []string
}

// Reader is the querying side of a store. An error of its methods is a *Error
// with verdict NotRun: reading changes nothing.
type Reader[T any] interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object[T], error)
	// List returns all objects whose names start with prefix.
	List(ctx context.Context, prefix string) (Changes[T], error)
	// Watch waits until something below prefix has changed after a revision and
	// returns it. It returns without changes when the platform ends the wait, and
	// ErrCompacted when the changes are no longer known.
	Watch(ctx context.Context, prefix string, after uint64) (Changes[T], error)
}

// Writer is the commanding side of a store. After an error that is
// arbiter.MayHaveRun the write may or may not have taken effect.
type Writer[T any] interface {
	// Put writes an object if the condition holds, else returns ErrConflict.
	Put(ctx context.Context, name string, value T, condition Condition) (Object[T], error)
	// Delete removes an object if the condition holds, else returns ErrConflict.
	Delete(ctx context.Context, name string, condition Condition) error
}

// Store is both sides of a store of plain bytes, as a platform gives it. Values
// hold at most MaxValueBytes.
type Store interface {
	Reader[[]byte]
	Writer[[]byte]
}

// MaxValueBytes is the largest value, in bytes.
const MaxValueBytes = 1 << 20

// Condition is what must be true of an object before a write.
type Condition struct {
	// absent asks that there be no such object.
	absent bool
	// revision, if not zero, asks for just that revision.
	revision uint64
}

// Always holds whatever the object is.
func Always() Condition {
	return Condition{}
}

// Absent holds if there is no such object.
func Absent() Condition {
	return Condition{
		absent: true,
	}
}

// At holds if the object's last write has that revision.
func At(revision uint64) Condition {
	return Condition{
		revision: revision,
	}
}

// Holds says whether the condition holds for an object whose last write has that
// revision; zero stands for no object.
func (c Condition) Holds(revision uint64) bool {
	if c.absent {
		return revision == 0
	}
	return c.revision == 0 || c.revision == revision
}

// IsAbsent says whether the condition asks that there be no such object.
func (c Condition) IsAbsent() bool {
	return c.absent
}

// Revision returns the revision asked for, or zero.
func (c Condition) Revision() uint64 {
	return c.revision
}

// Instance is an entry of the platform's list of instances.
type Instance struct {
	// Incarnation is unique to one start of one process.
	Incarnation string
	// Leaving says that the platform or the instance has announced its stop.
	Leaving bool
}

// Lister reads the platform's list of instances. The list lags: an instance that
// it has dropped is dead, one that it shows may be dead too.
type Lister interface {
	// Instances returns the live and leaving instances.
	Instances(ctx context.Context) ([]Instance, error)
}
