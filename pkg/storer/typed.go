package storer

import (
	"context"
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/handler"
)

// Typed reads and writes values of one type, which a codec encodes, in a store of
// bytes.
type Typed[T any] struct {
	store Store
	codec handler.Codec[T]
}

// NewTyped returns a view of a store whose values are of the codec's type.
func NewTyped[T any](store Store, codec handler.Codec[T]) Typed[T] {
	return Typed[T]{
		store: store,
		codec: codec,
	}
}

// Get returns one object, or ErrNotFound. If the value cannot be decoded, it returns an
// error that wraps the codec's and is not an *Error; List and Watch do the same.
func (t Typed[T]) Get(ctx context.Context, name string) (Object[T], error) {
	object, err := t.store.Get(ctx, name)
	if err != nil {
		return Object[T]{}, err
	}
	return t.decode(object)
}

// List returns all objects whose names start with prefix. It fails if one of the
// values cannot be decoded.
func (t Typed[T]) List(ctx context.Context, prefix string) (Changes[T], error) {
	changes, err := t.store.List(ctx, prefix)
	if err != nil {
		return Changes[T]{}, err
	}
	return t.decodeAll(changes)
}

// Watch waits for changes to objects whose names start with prefix, as Reader says. It
// fails if one of the values cannot be decoded.
func (t Typed[T]) Watch(ctx context.Context, prefix string, after uint64) (Changes[T], error) {
	changes, err := t.store.Watch(ctx, prefix, after)
	if err != nil {
		return Changes[T]{}, err
	}
	return t.decodeAll(changes)
}

// Put writes an object if the condition holds, else returns ErrConflict.
func (t Typed[T]) Put(ctx context.Context, name string, value T, condition Condition) (Object[T], error) {
	data, err := t.codec.Encode(value)
	if err != nil {
		return Object[T]{}, err
	}
	object, err := t.store.Put(ctx, name, data, condition)
	if err != nil {
		return Object[T]{}, err
	}
	return withValue(object, value), nil
}

// Delete removes an object if the condition holds, else returns ErrConflict.
func (t Typed[T]) Delete(ctx context.Context, name string, condition Condition) error {
	return t.store.Delete(ctx, name, condition)
}

func (t Typed[T]) decode(object Object[[]byte]) (Object[T], error) {
	value, err := t.codec.Decode(object.Value)
	if err != nil {
		return Object[T]{}, fmt.Errorf("decode %q at revision %d: %w", object.Name, object.Revision, err)
	}
	return withValue(object, value), nil
}

// withValue returns the object with its value in decoded form.
func withValue[T any](object Object[[]byte], value T) Object[T] {
	return Object[T]{
		Name:     object.Name,
		Revision: object.Revision,
		Value:    value,
	}
}

func (t Typed[T]) decodeAll(changes Changes[[]byte]) (Changes[T], error) {
	objects := make([]Object[T], 0, len(changes.Objects))
	for _, object := range changes.Objects {
		decoded, err := t.decode(object)
		if err != nil {
			return Changes[T]{}, err
		}
		objects = append(objects, decoded)
	}
	return Changes[T]{
		Era:      changes.Era,
		Revision: changes.Revision,
		Objects:  objects,
		Removed:  changes.Removed,
	}, nil
}
