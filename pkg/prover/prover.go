// Package prover holds the contract that every adapter to a platform keeps. Run
// its cases against an adapter before trusting it:
//
//	for _, c := range prover.Cases() {
//		t.Run(c.Name, func(t *testing.T) {
//			if err := c.Prove(t.Context(), openStore(t)); err != nil {
//				t.Fatal(err)
//			}
//		})
//	}
package prover

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Case is one clause of the contract.
type Case struct {
	// Name tells the clauses apart.
	Name string
	// Prove returns an error if an empty store breaks the clause.
	Prove func(ctx context.Context, store storer.Store) error
}

// Cases returns the whole contract.
func Cases() []Case {
	return CasesUpTo(storer.MaxValueBytes)
}

// CasesUpTo returns the whole contract for a platform that holds smaller values,
// in bytes: one of that size is held, one above storer.MaxValueBytes is refused.
func CasesUpTo(limit int) []Case {
	return []Case{
		{
			Name:  "get of nothing is not found",
			Prove: proveNotFound,
		},
		{
			Name:  "put then get returns the value",
			Prove: provePutGet,
		},
		{
			Name:  "absent admits only the first writer",
			Prove: proveAbsent,
		},
		{
			Name:  "a stale revision is refused and changes nothing",
			Prove: proveStale,
		},
		{
			Name:  "revisions only grow, also over a delete",
			Prove: proveGrowth,
		},
		{
			Name:  "list is complete and sorted",
			Prove: proveList,
		},
		{
			Name:  "watch reports writes and removals after the revision",
			Prove: proveWatch,
		},
		{
			Name:  "watch waits until something happens",
			Prove: proveWait,
		},
		{
			Name:  "a value over the limit is refused",
			Prove: func(ctx context.Context, store storer.Store) error { return proveLimit(ctx, store, limit) },
		},
	}
}

// watchLimit bounds the wait for a change that a case has made.
const watchLimit = 5 * time.Second

func proveNotFound(ctx context.Context, store storer.Store) error {
	_, err := store.Get(ctx, "Proof/none")
	return expect(err, storer.ErrNotFound)
}

func provePutGet(ctx context.Context, store storer.Store) error {
	written, err := store.Put(ctx, "Proof/a b%2F/ü", []byte{0, 255, 10}, storer.Always())
	if err != nil {
		return err
	}
	read, err := store.Get(ctx, "Proof/a b%2F/ü")
	if err != nil {
		return err
	}
	if read.Revision != written.Revision || !bytes.Equal(read.Value, []byte{0, 255, 10}) {
		return fmt.Errorf("wrote %+v, read %+v", written, read)
	}
	return nil
}

func proveAbsent(ctx context.Context, store storer.Store) error {
	if _, err := store.Put(ctx, "Proof/seat", []byte("first"), storer.Absent()); err != nil {
		return err
	}
	_, err := store.Put(ctx, "Proof/seat", []byte("second"), storer.Absent())
	return expect(err, storer.ErrConflict)
}

func proveStale(ctx context.Context, store storer.Store) error {
	first, err := store.Put(ctx, "Proof/head", []byte("1"), storer.Always())
	if err != nil {
		return err
	}
	if _, err = store.Put(ctx, "Proof/head", []byte("2"), storer.At(first.Revision)); err != nil {
		return err
	}
	_, err = store.Put(ctx, "Proof/head", []byte("3"), storer.At(first.Revision))
	if err = expect(err, storer.ErrConflict); err != nil {
		return err
	}
	if err = expect(store.Delete(ctx, "Proof/head", storer.At(first.Revision)), storer.ErrConflict); err != nil {
		return err
	}
	read, err := store.Get(ctx, "Proof/head")
	if err != nil {
		return err
	}
	if string(read.Value) != "2" {
		return fmt.Errorf("a refused write changed the value to %q", read.Value)
	}
	return nil
}

func proveGrowth(ctx context.Context, store storer.Store) error {
	first, err := store.Put(ctx, "Proof/x", []byte("1"), storer.Absent())
	if err != nil {
		return err
	}
	if err = store.Delete(ctx, "Proof/x", storer.At(first.Revision)); err != nil {
		return err
	}
	second, err := store.Put(ctx, "Proof/x", []byte("1"), storer.Absent())
	if err != nil {
		return err
	}
	if second.Revision <= first.Revision {
		return fmt.Errorf("revision %d after %d", second.Revision, first.Revision)
	}
	return nil
}

func proveList(ctx context.Context, store storer.Store) error {
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
		return fmt.Errorf("listed %+v", listed.Objects)
	}
	if listed.Revision < listed.Objects[0].Revision {
		return fmt.Errorf("list at revision %d holds revision %d", listed.Revision, listed.Objects[0].Revision)
	}
	return nil
}

func proveWatch(ctx context.Context, store storer.Store) error {
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
		return fmt.Errorf("watch saw %+v", changes.Objects)
	}
	if len(changes.Removed) != 1 || changes.Removed[0] != "Proof/gone" {
		return fmt.Errorf("watch saw removals %v", changes.Removed)
	}
	return nil
}

func proveWait(ctx context.Context, store storer.Store) error {
	listed, err := store.List(ctx, "Proof/")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
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
		return fmt.Errorf("watch saw %+v", changes)
	}
	short, cancelShort := context.WithTimeout(ctx, watchLimit/100)
	defer cancelShort()
	quiet, err := store.Watch(short, "Proof/", changes.Revision)
	if err != nil {
		return err
	}
	if len(quiet.Objects)+len(quiet.Removed) != 0 {
		return fmt.Errorf("nothing happened, but watch saw %+v", quiet)
	}
	return nil
}

func proveLimit(ctx context.Context, store storer.Store, limit int) error {
	_, err := store.Put(ctx, "Proof/large", make([]byte, storer.MaxValueBytes+1), storer.Always())
	if err = expect(err, storer.ErrTooLarge); err != nil {
		return err
	}
	_, err = store.Put(ctx, "Proof/large", make([]byte, limit), storer.Always())
	return err
}

func expect(err, wanted error) error {
	if !errors.Is(err, wanted) {
		return fmt.Errorf("got %v, want %v", err, wanted)
	}
	if !storer.Settled(err) {
		return fmt.Errorf("%v leaves open whether the write took effect", err)
	}
	return nil
}
