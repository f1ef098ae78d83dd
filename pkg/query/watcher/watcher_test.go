package watcher_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// silentStore is a store whose watches never return a change.
type silentStore struct {
	*memstorer.Store
}

func (d silentStore) Watch(ctx context.Context, _ string, after uint64) (storer.Changes[[]byte], error) {
	<-ctx.Done()
	if ctx.Err() == context.DeadlineExceeded {
		return storer.Changes[[]byte]{
			Revision: after,
		}, nil
	}
	return storer.Changes[[]byte]{}, ctx.Err()
}

// runWatcher runs a watcher until the test ends and returns the channel of its views.
func runWatcher(t *testing.T, w *watcher.Watcher[[]byte]) <-chan watcher.View[[]byte] {
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

func nextView(t *testing.T, views <-chan watcher.View[[]byte]) watcher.View[[]byte] {
	t.Helper()
	select {
	case view := <-views:
		return view
	case <-time.After(5 * time.Second):
		t.Fatal("got no view within 5 seconds")
		return watcher.View[[]byte]{}
	}
}

func always() bool { return true }

// TestNewerOfferReplacesView checks that an offered view replaces an older one while the
// store's watch returns nothing, and that an older offer changes nothing.
func TestNewerOfferReplacesView(t *testing.T) {
	memory := memstorer.New()
	written, err := memory.Put(t.Context(), "a/1", []byte("old"), storer.Always())
	if err != nil {
		t.Fatal(err)
	}
	w := watcher.New[[]byte](silentStore{memory}, "a/", always)
	views := runWatcher(t, w)
	first := nextView(t, views)
	if len(first.Objects) != 1 || first.Revision < written.Revision {
		t.Fatalf("after the list: got %+v, want 1 object and revision %d or later", first, written.Revision)
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
	second := nextView(t, views)
	if second.Revision != first.Revision+5 || len(second.Objects) != 1 || second.Objects[0].Name != "a/2" {
		t.Fatalf("after the offer: got %+v, want a/2 at revision %d", second, first.Revision+5)
	}
}

// TestRestartedWatchContinues checks that a watch canceled by Restart is repeated and
// still receives the next change.
func TestRestartedWatchContinues(t *testing.T) {
	memory := memstorer.New()
	w := watcher.New[[]byte](memory, "a/", always)
	views := runWatcher(t, w)
	nextView(t, views)
	w.Restart()
	time.Sleep(50 * time.Millisecond)
	if _, err := memory.Put(t.Context(), "a/1", []byte("x"), storer.Always()); err != nil {
		t.Fatal(err)
	}
	if view := nextView(t, views); len(view.Objects) != 1 {
		t.Fatalf("after the restart: got %+v, want 1 object", view)
	}
}

// skippingStore is a store whose watches answer wrongly that nothing has changed up to a
// later revision.
type skippingStore struct {
	*memstorer.Store
	// answered takes one value for each wrong answer. When it is full, further watches
	// wait until their context is done.
	answered chan struct{}
}

// skippedRevisions is the number of revisions that one watch of a skippingStore skips.
const skippedRevisions = 100

func (s skippingStore) Watch(ctx context.Context, _ string, after uint64) (storer.Changes[[]byte], error) {
	select {
	case s.answered <- struct{}{}:
		return storer.Changes[[]byte]{
			Revision: after + skippedRevisions,
		}, nil
	case <-ctx.Done():
		return storer.Changes[[]byte]{}, ctx.Err()
	}
}

// TestOfferAfterSilence checks that an offered view with a later change than any known
// here is applied, even if the store has answered for a later revision that nothing has
// changed.
func TestOfferAfterSilence(t *testing.T) {
	memory := memstorer.New()
	if _, err := memory.Put(t.Context(), "a/1", []byte("old"), storer.Always()); err != nil {
		t.Fatal(err)
	}
	store := skippingStore{
		Store:    memory,
		answered: make(chan struct{}, 1),
	}
	w := watcher.New[[]byte](store, "a/", always)
	views := runWatcher(t, w)
	first := nextView(t, views)
	for len(store.answered) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	w.Offer(watcher.View[[]byte]{
		Revision: first.Revision + skippedRevisions/2,
		Objects: []storer.Object[[]byte]{
			{
				Name:     "a/1",
				Revision: first.Revision + skippedRevisions/2,
				Value:    []byte("new"),
			},
		},
	})
	if second := nextView(t, views); string(second.Objects[0].Value) != "new" {
		t.Fatalf("after the offer: got %+v, want the value new", second)
	}
}

// holdingStore is a store whose first watch ends without the change that is made during it,
// though it answers for a later revision. It makes the change itself.
type holdingStore struct {
	*memstorer.Store
	held atomic.Bool
}

func (s *holdingStore) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	if s.held.Swap(true) {
		return s.Store.Watch(ctx, prefix, after)
	}
	written, err := s.Put(ctx, prefix+"1", []byte("new"), storer.Always())
	return storer.Changes[[]byte]{
		Revision: written.Revision,
	}, err
}

// TestChangeThatAWatchHeldBackIsSeenByTheNext checks that the next watch gets a change that
// the store has held back from the one before.
func TestChangeThatAWatchHeldBackIsSeenByTheNext(t *testing.T) {
	store := &holdingStore{
		Store: memstorer.New(),
	}
	if _, err := store.Put(t.Context(), "a/1", []byte("old"), storer.Always()); err != nil {
		t.Fatal(err)
	}
	views := runWatcher(t, watcher.New[[]byte](store, "a/", always))
	nextView(t, views)
	if second := nextView(t, views); string(second.Objects[0].Value) != "new" {
		t.Fatalf("after the second watch: got %+v, want the value new", second)
	}
}

// failingStore is a store whose second watch fails after a change. During the first watch,
// which succeeds all the same, the watcher is restarted.
type failingStore struct {
	*memstorer.Store
	watches int
	restart func()
}

func (s *failingStore) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	s.watches++
	switch s.watches {
	case 1:
		s.restart()
		return storer.Changes[[]byte]{
			Revision: after,
		}, nil
	case 2:
		if _, err := s.Put(ctx, prefix+"1", []byte("new"), storer.Always()); err != nil {
			return storer.Changes[[]byte]{}, err
		}
		return storer.Changes[[]byte]{}, storer.ErrUnavailable
	default:
		<-ctx.Done()
		return storer.Changes[[]byte]{}, ctx.Err()
	}
}

// TestErrorAfterARestartIsNotLost checks that the watcher lists again after the store has
// failed, also if Restart has canceled a call before that succeeded all the same.
func TestErrorAfterARestartIsNotLost(t *testing.T) {
	store := &failingStore{
		Store: memstorer.New(),
	}
	w := watcher.New[[]byte](store, "a/", always)
	store.restart = w.Restart
	views := runWatcher(t, w)
	nextView(t, views)
	if second := nextView(t, views); len(second.Objects) != 1 {
		t.Fatalf("after the error: got %+v, want 1 object", second)
	}
}

// TestOfferBetweenTwoCallsIsAppliedAtOnce checks an offer that comes after the watcher has looked
// for one and before its next call can be canceled.
func TestOfferBetweenTwoCallsIsAppliedAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, group *errgroup.Group, ctx context.Context) {
		offered := watcher.View[[]byte]{
			Revision: 7,
		}
		var w *watcher.Watcher[[]byte]
		calls := 0
		w = watcher.New[[]byte](silentStore{memstorer.New()}, "a/", func() bool {
			calls++
			if calls == 2 {
				w.Offer(offered)
			}
			return true
		})
		var latest watcher.View[[]byte]
		group.Go(func() error {
			return w.Run(ctx, func(view watcher.View[[]byte]) { latest = view }, func() {}, func(error) {})
		})
		synctest.Wait()
		if latest.Revision != offered.Revision {
			t.Errorf("got a view of revision %d, want the offered one of %d", latest.Revision, offered.Revision)
		}
	})
}
