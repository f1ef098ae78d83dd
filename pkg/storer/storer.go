// Package storer defines the interface to the platform's object API: objects with
// revisions, conditional writes and watches, and a list of instances. Adapters
// implement it for a platform; package verifier checks them. An adapter neither repeats
// failed calls nor limits their number: packages retrier and budgeter help its callers
// with that.
package storer

import "context"

// Object is one stored object.
type Object[T any] struct {
	// Name identifies the object in the store. It is a path such as "Seats/derby/0".
	Name string
	// Revision is the store's revision at the object's last write; never zero.
	Revision uint64
	// Value is the stored value.
	Value T
}

// Changes are the changes to the objects below a prefix, or a whole list of them.
type Changes[T any] struct {
	// Era is the store's era, as Position says. This project's own platform has one only:
	// 0.
	Era uint64 `json:",omitzero"`
	// Revision is the store's revision up to which the changes are complete.
	Revision uint64
	// Objects are the objects that were written and still exist, in the order of their
	// names.
	Objects []Object[T]
	// Removed are the names of objects that were removed and no longer exist. A list
	// has none.
	Removed []string
}

// Position returns the point in the store's history up to which the changes are complete.
func (c Changes[T]) Position() Position {
	return Position{
		Era:      c.Era,
		Revision: c.Revision,
	}
}

// Reader is the query side of a store. An error of its methods is an *Error with the
// verdict arbiter.NotRun, because reading changes nothing.
type Reader[T any] interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object[T], error)
	// List returns all objects whose names start with prefix. A store may ignore what
	// follows the first slash of a prefix, here and in Watch, as that of package platform
	// does.
	List(ctx context.Context, prefix string) (Changes[T], error)
	// Watch waits until an object whose name starts with prefix has changed after that
	// revision, and returns the changes. It returns no changes and no error when the
	// platform ends the wait or ctx's deadline passes, and ErrCompacted when the store
	// no longer knows the changes after that revision.
	Watch(ctx context.Context, prefix string, after uint64) (Changes[T], error)
}

// Writer is the command side of a store. After an error with the verdict
// arbiter.MayHaveRun the write may or may not have taken effect. A condition is about
// the store's revision of the object's last write.
type Writer[T any] interface {
	// Put writes an object if the condition holds, else returns ErrConflict.
	Put(ctx context.Context, name string, value T, condition Condition) (Object[T], error)
	// Delete removes an object if the condition holds, else returns ErrConflict.
	Delete(ctx context.Context, name string, condition Condition) error
}

// Store is a platform's store, whose values are plain bytes: at most MaxValueBytes
// each.
type Store interface {
	Reader[[]byte]
	Writer[[]byte]
}

// MaxValueBytes is the size of the largest value that a store may accept, in bytes.
const MaxValueBytes = 1 << 20

// Condition is the precondition of a write.
type Condition struct {
	// absent requires that the object does not exist.
	absent bool
	// revision, if not zero, is the required revision of the object.
	revision uint64
}

// Always returns a condition that holds for any object, also for one that does not
// exist.
func Always() Condition {
	return Condition{}
}

// Absent returns a condition that holds if the object does not exist.
func Absent() Condition {
	return Condition{
		absent: true,
	}
}

// AtRevision returns a condition that holds if the object's last write has that revision.
func AtRevision(revision uint64) Condition {
	return Condition{
		revision: revision,
	}
}

// Holds reports whether the condition holds for an object whose last write has that
// revision; zero stands for an object that does not exist.
func (c Condition) Holds(revision uint64) bool {
	if c.absent {
		return revision == 0
	}
	return c.revision == 0 || c.revision == revision
}

// IsAbsent reports whether the condition requires that the object does not exist.
func (c Condition) IsAbsent() bool {
	return c.absent
}

// Revision returns the required revision, or zero if none is required.
func (c Condition) Revision() uint64 {
	return c.revision
}

// Instance is an entry of the platform's list of instances.
type Instance struct {
	// Incarnation identifies one start of the instance's process. It is unique among
	// all starts of all instances.
	Incarnation string
	// Leaving says that the instance is draining: the platform or the instance itself
	// has announced its stop.
	Leaving bool
}

// Lister reads the platform's list of instances. The list lags behind: an instance that
// has dropped out of it is dead, and one that is in it may be dead too.
type Lister interface {
	// Instances returns the instances in the list, including those that are leaving.
	Instances(ctx context.Context) ([]Instance, error)
}
