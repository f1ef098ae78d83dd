// Package verifier is the conformance test of storer.Store: the contract that every
// adapter to a platform must keep, as a list of cases. Run them against an adapter
// before using it:
//
//	for _, c := range verifier.Cases() {
//		t.Run(c.Name, func(t *testing.T) {
//			if err := c.Verify(t.Context(), openStore(t)); err != nil {
//				t.Fatal(err)
//			}
//		})
//	}
package verifier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Case checks one clause of the contract.
type Case struct {
	// Name describes the clause and is unique among cases.
	Name string
	// Verify runs the case on an empty store, and returns an error if the store breaks
	// the clause.
	Verify func(ctx context.Context, store storer.Store) error
}

// Cases returns the cases for a store of values up to storer.MaxValueBytes.
func Cases() []Case {
	return CasesWithLimit(storer.MaxValueBytes)
}

// CasesWithLimit returns the cases for a platform whose values are smaller. The limit
// is in bytes: the store must accept a value of that size, and reject one that is
// larger than storer.MaxValueBytes.
func CasesWithLimit(limit int) []Case {
	return []Case{
		{
			Name:   "get of a missing object returns ErrNotFound",
			Verify: verifyNotFound,
		},
		{
			Name:   "put then get returns the value",
			Verify: verifyPutGet,
		},
		{
			Name:   "put with Absent succeeds only for the first writer",
			Verify: verifyAbsent,
		},
		{
			Name:   "a write at a stale revision is rejected and changes nothing",
			Verify: verifyStaleRevision,
		},
		{
			Name:   "revisions increase, also across a delete",
			Verify: verifyRevisionGrowth,
		},
		{
			Name:   "list is complete and sorted",
			Verify: verifyList,
		},
		{
			Name:   "watch reports writes and removals after the revision",
			Verify: verifyWatch,
		},
		{
			Name:   "watch waits until an object below the prefix changes",
			Verify: verifyWatchWait,
		},
		{
			Name:   "a value of the size limit is accepted, one that is too large is rejected",
			Verify: func(ctx context.Context, store storer.Store) error { return verifyValueLimit(ctx, store, limit) },
		},
	}
}

// watchTimeout is the longest wait for a change that a case has made.
const watchTimeout = 5 * time.Second

func verifyNotFound(ctx context.Context, store storer.Store) error {
	_, err := store.Get(ctx, "Proof/none")
	return requireError(err, storer.ErrNotFound)
}

func verifyPutGet(ctx context.Context, store storer.Store) error {
	written, err := store.Put(ctx, "Proof/a b%2F/ü", []byte{0, 255, 10}, storer.Always())
	if err != nil {
		return err
	}
	read, err := store.Get(ctx, "Proof/a b%2F/ü")
	if err != nil {
		return err
	}
	if read.Revision != written.Revision || !bytes.Equal(read.Value, []byte{0, 255, 10}) {
		return fmt.Errorf("put returned %+v, get returned %+v", written, read)
	}
	return nil
}

func verifyAbsent(ctx context.Context, store storer.Store) error {
	if _, err := store.Put(ctx, "Proof/seat", []byte("first"), storer.Absent()); err != nil {
		return err
	}
	_, err := store.Put(ctx, "Proof/seat", []byte("second"), storer.Absent())
	return requireError(err, storer.ErrConflict)
}

func verifyStaleRevision(ctx context.Context, store storer.Store) error {
	first, err := store.Put(ctx, "Proof/head", []byte("1"), storer.Always())
	if err != nil {
		return err
	}
	if _, err = store.Put(ctx, "Proof/head", []byte("2"), storer.AtRevision(first.Revision)); err != nil {
		return err
	}
	_, err = store.Put(ctx, "Proof/head", []byte("3"), storer.AtRevision(first.Revision))
	if err = requireError(err, storer.ErrConflict); err != nil {
		return err
	}
	if err = requireError(store.Delete(ctx, "Proof/head", storer.AtRevision(first.Revision)), storer.ErrConflict); err != nil {
		return err
	}
	read, err := store.Get(ctx, "Proof/head")
	if err != nil {
		return err
	}
	if string(read.Value) != "2" {
		return fmt.Errorf("after rejected writes: got value %q, want %q", read.Value, "2")
	}
	return nil
}

func verifyRevisionGrowth(ctx context.Context, store storer.Store) error {
	first, err := store.Put(ctx, "Proof/x", []byte("1"), storer.Absent())
	if err != nil {
		return err
	}
	if err = store.Delete(ctx, "Proof/x", storer.AtRevision(first.Revision)); err != nil {
		return err
	}
	second, err := store.Put(ctx, "Proof/x", []byte("1"), storer.Absent())
	if err != nil {
		return err
	}
	if second.Revision <= first.Revision {
		return fmt.Errorf("got revision %d, want more than %d, the one before the delete", second.Revision, first.Revision)
	}
	return nil
}

func verifyList(ctx context.Context, store storer.Store) error {
	for _, name := range []string{"Proof/b", "Other/c", "Proof/a"} {
		if _, err := store.Put(ctx, name, []byte(name), storer.Always()); err != nil {
			return err
		}
	}
	listed, err := store.List(ctx, "Proof/")
	if err != nil {
		return err
	}
	if len(listed.Objects) != 2 || listed.Objects[0].Name != "Proof/a" || listed.Objects[1].Name != "Proof/b" {
		return fmt.Errorf("list: got %+v, want Proof/a and Proof/b", listed.Objects)
	}
	if listed.Revision < listed.Objects[0].Revision {
		return fmt.Errorf("list: got revision %d, want at least %d, that of an object in it", listed.Revision, listed.Objects[0].Revision)
	}
	return nil
}

func verifyWatch(ctx context.Context, store storer.Store) error {
	gone, err := store.Put(ctx, "Proof/gone", nil, storer.Always())
	if err != nil {
		return err
	}
	if _, err = store.Put(ctx, "Proof/kept", []byte("1"), storer.Always()); err != nil {
		return err
	}
	if err = store.Delete(ctx, "Proof/gone", storer.Always()); err != nil {
		return err
	}
	changes, err := store.Watch(ctx, "Proof/", gone.Revision)
	if err != nil {
		return err
	}
	if len(changes.Objects) != 1 || changes.Objects[0].Name != "Proof/kept" {
		return fmt.Errorf("watch: got objects %+v, want Proof/kept only", changes.Objects)
	}
	if len(changes.Removed) != 1 || changes.Removed[0] != "Proof/gone" {
		return fmt.Errorf("watch: got removals %v, want Proof/gone only", changes.Removed)
	}
	return nil
}

func verifyWatchWait(ctx context.Context, store storer.Store) error {
	listed, err := store.List(ctx, "Proof/")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if _, err = store.Put(ctx, "Other/x", []byte("1"), storer.Always()); err != nil {
		return err
	}
	written, err := store.Put(ctx, "Proof/x", []byte("1"), storer.Always())
	if err != nil {
		return err
	}
	changes, err := store.Watch(ctx, "Proof/", listed.Revision)
	if err != nil {
		return err
	}
	if len(changes.Objects) != 1 || changes.Revision < written.Revision {
		return fmt.Errorf("watch: got %+v, want one object and at least the revision %d", changes, written.Revision)
	}
	shortContext, cancelShort := context.WithTimeout(ctx, watchTimeout/100)
	defer cancelShort()
	quiet, err := store.Watch(shortContext, "Proof/", changes.Revision)
	if err != nil {
		return err
	}
	if len(quiet.Objects)+len(quiet.Removed) != 0 {
		return fmt.Errorf("watch without a change: got %+v, want no objects and no removals", quiet)
	}
	return nil
}

func verifyValueLimit(ctx context.Context, store storer.Store, limit int) error {
	_, err := store.Put(ctx, "Proof/large", make([]byte, storer.MaxValueBytes+1), storer.Always())
	if err = requireError(err, storer.ErrTooLarge); err != nil {
		return err
	}
	_, err = store.Put(ctx, "Proof/large", make([]byte, limit), storer.Always())
	return err
}

// requireError returns an error unless err is the wanted one and proves that the call
// had no effect.
func requireError(err, wanted error) error {
	if !errors.Is(err, wanted) {
		return fmt.Errorf("got error %v, want %v", err, wanted)
	}
	if !storer.OutcomeKnown(err) {
		return fmt.Errorf("got error %v, want one that proves that the call had no effect", err)
	}
	return nil
}
