package memstorer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestRestoredStoreGivesOutRevisionsAgain checks watches after a return from an older copy.
func TestRestoredStoreGivesOutRevisionsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstorer.New()
		put := func(name string) uint64 {
			object, err := store.Put(t.Context(), name, []byte(name), storer.Always())
			if err != nil {
				t.Fatal(err)
			}
			return object.Revision
		}
		kept := put("a/1")
		copied := store.Snapshot()
		lost := put("a/2")
		store.Restore(copied)
		if _, err := store.Watch(t.Context(), "a/", lost); !errors.Is(err, storer.ErrCompacted) {
			t.Errorf("watch after the lost revision %d: got error %v, want %v", lost, err, storer.ErrCompacted)
		}
		if again := put("a/3"); again != lost {
			t.Errorf("got revision %d for the first write, want %d again", again, lost)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 1)
		defer cancel()
		missed, err := store.Watch(ctx, "a/", lost)
		if err != nil || len(missed.Objects) != 0 || missed.Era != 1 {
			t.Errorf("watch after revision %d: got %+v and error %v, want nothing in era 1", lost, missed, err)
		}
		changes, err := store.Watch(t.Context(), "a/", kept)
		if err != nil || len(changes.Objects) != 1 || changes.Objects[0].Name != "a/3" {
			t.Errorf("watch after revision %d: got %+v and error %v, want a/3", kept, changes, err)
		}
	})
}
