package watcher_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// deaf is a store whose watches never tell of a change.
type deaf struct {
	*keeper.Keeper
}

func (d deaf) Watch(ctx context.Context, _ string, after uint64) (storer.Changes[[]byte], error) {
	<-ctx.Done()
	if ctx.Err() == context.DeadlineExceeded {
		return storer.Changes[[]byte]{
			Revision: after,
		}, nil
	}
	return storer.Changes[[]byte]{}, ctx.Err()
}

// follow runs a watcher and returns its views.
func follow(t *testing.T, w *watcher.Watcher[[]byte]) <-chan watcher.View[[]byte] {
	t.Helper()
	views := make(chan watcher.View[[]byte], 16)
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		return w.Run(ctx, func(view watcher.View[[]byte]) { views <- view }, func() {}, func(error) {})
	})
	t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return views
}

func next(t *testing.T, views <-chan watcher.View[[]byte]) watcher.View[[]byte] {
	t.Helper()
	select {
	case view := <-views:
		return view
	case <-time.After(5 * time.Second):
		t.Fatal("no view came")
		return watcher.View[[]byte]{}
	}
}

func always() bool { return true }

// A view from elsewhere takes the place of an older one, while the store's watch
// says nothing. An older one changes nothing.
func TestOffer(t *testing.T) {
	kept := keeper.New()
	written, err := kept.Put(t.Context(), "a/1", []byte("old"), storer.Always())
	if err != nil {
		t.Fatal(err)
	}
	w := watcher.New[[]byte](deaf{kept}, "a/", always)
	views := follow(t, w)
	first := next(t, views)
	if len(first.Objects) != 1 || first.Revision < written.Revision {
		t.Fatalf("listed %+v", first)
	}
	w.Offer(watcher.View[[]byte]{
		Revision: first.Revision - 1,
	})
	w.Offer(watcher.View[[]byte]{
		Revision: first.Revision + 5,
		Objects: []storer.Object[[]byte]{
			{
				Name:     "a/2",
				Revision: first.Revision + 4,
				Value:    []byte("new"),
			},
		},
	})
	second := next(t, views)
	if second.Revision != first.Revision+5 || len(second.Objects) != 1 || second.Objects[0].Name != "a/2" {
		t.Fatalf("after the offer %+v", second)
	}
}

// A renewed watch does not count as failed, and goes on.
func TestRenew(t *testing.T) {
	kept := keeper.New()
	w := watcher.New[[]byte](kept, "a/", always)
	views := follow(t, w)
	next(t, views)
	w.Renew()
	time.Sleep(50 * time.Millisecond)
	if _, err := kept.Put(t.Context(), "a/1", []byte("x"), storer.Always()); err != nil {
		t.Fatal(err)
	}
	if view := next(t, views); len(view.Objects) != 1 {
		t.Fatalf("after the renewal %+v", view)
	}
}

// skipping is a store whose watches say that nothing has changed up to later revisions,
// though something has.
type skipping struct {
	*keeper.Keeper
	answered chan struct{}
}

// skipped is how far such a watch goes on at once.
const skipped = 100

func (s skipping) Watch(ctx context.Context, _ string, after uint64) (storer.Changes[[]byte], error) {
	select {
	case s.answered <- struct{}{}:
		return storer.Changes[[]byte]{
			Revision: after + skipped,
		}, nil
	case <-ctx.Done():
		return storer.Changes[[]byte]{}, ctx.Err()
	}
}

// A view from elsewhere that holds a later change than any that is known here is taken,
// although the store has said since that nothing has changed.
func TestOfferAfterSilence(t *testing.T) {
	kept := keeper.New()
	if _, err := kept.Put(t.Context(), "a/1", []byte("old"), storer.Always()); err != nil {
		t.Fatal(err)
	}
	store := skipping{
		Keeper:   kept,
		answered: make(chan struct{}, 1),
	}
	w := watcher.New[[]byte](store, "a/", always)
	views := follow(t, w)
	first := next(t, views)
	for len(store.answered) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	w.Offer(watcher.View[[]byte]{
		Revision: first.Revision + skipped/2,
		Objects: []storer.Object[[]byte]{
			{
				Name:     "a/1",
				Revision: first.Revision + skipped/2,
				Value:    []byte("new"),
			},
		},
	})
	if second := next(t, views); string(second.Objects[0].Value) != "new" {
		t.Fatalf("after the offer %+v", second)
	}
}
