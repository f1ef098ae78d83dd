package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// testWatchTimeout is the timeout of the watches.
	testWatchTimeout = 2 * time.Second
	// testPauseMillis is the pause after a change, in which no watch waits.
	testPauseMillis = 400
	// testSettleTime is the time within which a view reaches the store's state.
	testSettleTime = 2 * testWatchTimeout
)

// process is a watcher with its latest view, as an instance has it.
type process struct {
	watcher *watcher.Watcher[[]byte]
	mu      sync.Mutex
	// history is nil before the first view.
	history *watcher.History[[]byte]
}

// newProcess starts a process that watches the store, or only gets offers.
func newProcess(group *errgroup.Group, ctx context.Context, store *memstorer.Store, watches bool) *process {
	p := &process{}
	p.watcher = watcher.New[[]byte](store, "a/", func() bool { return watches }).
		WithPause(testPauseMillis).
		WithWatchTimeout(func() time.Duration { return testWatchTimeout })
	group.Go(func() error {
		return p.watcher.Run(ctx, p.apply, func() {}, func(error) {})
	})
	return p
}

func (p *process) apply(view watcher.View[[]byte]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := watcher.NewHistory(view)
	if p.history != nil {
		next = p.history.WithView(view)
	}
	p.history = &next
}

func (p *process) latest() watcher.History[[]byte] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.history == nil {
		return watcher.History[[]byte]{}
	}
	return *p.history
}

// fetchFrom gets the view of a peer that is ahead.
func (p *process) fetchFrom(peer *process) {
	base := p.latest().View()
	source := peer.latest()
	if !source.View().Position().IsAfter(base.Position()) {
		return
	}
	if view, applies := source.Since(base.Position()).Apply(base); applies {
		p.watcher.Offer(view)
	}
}

// checkView returns an error unless the process has the objects of the store.
func (p *process) checkView(ctx context.Context, store *memstorer.Store) error {
	listed, err := store.List(ctx, "a/")
	if err != nil {
		return err
	}
	got := p.latest().View()
	if got.Era != listed.Era || len(got.Objects)+len(listed.Objects) > 0 && !reflect.DeepEqual(got.Objects, listed.Objects) {
		return fmt.Errorf("got %s of era %d, want %s of era %d",
			namesAt(got.Objects), got.Era, namesAt(listed.Objects), listed.Era)
	}
	return nil
}

// namesAt returns the names of objects with their revisions and values.
func namesAt(objects []storer.Object[[]byte]) []string {
	names := make([]string, 0, len(objects))
	for _, object := range objects {
		names = append(names, fmt.Sprintf("%s@%d=%s", object.Name, object.Revision, object.Value))
	}
	return names
}

// runInBubble runs a test in virtual time, with a context that ends the processes after it.
func runInBubble(t *testing.T, run func(t *testing.T, group *errgroup.Group, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		run(t, &group, ctx)
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func write(t *testing.T, store *memstorer.Store, name, value string) {
	t.Helper()
	if _, err := store.Put(t.Context(), name, []byte(value), storer.Always()); err != nil {
		t.Fatal(err)
	}
}

// TestWatchFromARevisionGivenOutAgainMissesNothing checks a watch that continues after a
// revision which the restored store has reached again.
func TestWatchFromARevisionGivenOutAgainMissesNothing(t *testing.T) {
	runInBubble(t, func(t *testing.T, group *errgroup.Group, ctx context.Context) {
		store := memstorer.New()
		write(t, store, "a/1", "old")
		p := newProcess(group, ctx, store, true)
		time.Sleep(time.Second)
		copied := store.Snapshot()
		write(t, store, "a/2", "lost")
		synctest.Wait()
		store.Restore(copied)
		write(t, store, "a/1", "new")
		time.Sleep(testSettleTime)
		if err := p.checkView(ctx, store); err != nil {
			t.Error(err)
		}
	})
}

// TestOffersAreOrderedByEraFirst checks which offers replace a view of era 1 and revision 5.
func TestOffersAreOrderedByEraFirst(t *testing.T) {
	cases := []struct {
		name    string
		offered storer.Position
		applies bool
	}{
		{
			name: "a lower revision of a newer era",
			offered: storer.Position{
				Era:      2,
				Revision: 3,
			},
			applies: true,
		},
		{
			name: "a higher revision of an earlier era",
			offered: storer.Position{
				Revision: 9,
			},
		},
		{
			name: "the same revision of a newer era",
			offered: storer.Position{
				Era:      2,
				Revision: 5,
			},
			applies: true,
		},
		{
			name: "a higher revision of the same era",
			offered: storer.Position{
				Era:      1,
				Revision: 6,
			},
			applies: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, group *errgroup.Group, ctx context.Context) {
				p := newProcess(group, ctx, memstorer.New(), false)
				p.watcher.Offer(watcher.View[[]byte]{
					Era:      1,
					Revision: 5,
				})
				synctest.Wait()
				p.watcher.Offer(watcher.View[[]byte]{
					Era:      c.offered.Era,
					Revision: c.offered.Revision,
				})
				synctest.Wait()
				if applied := p.latest().View().Position() == c.offered; applied != c.applies {
					t.Errorf("got position %+v after the offer of %+v", p.latest().View().Position(), c.offered)
				}
			})
		})
	}
}

// TestViewsReachTheStoreAfterAnyRestores plays random writes, restores and exchanges between
// processes, and checks that each view finally equals the store's.
func TestViewsReachTheStoreAfterAnyRestores(t *testing.T) {
	for seed := range uint64(200) {
		runInBubble(t, func(t *testing.T, group *errgroup.Group, ctx context.Context) {
			random := rand.New(rand.NewPCG(seed, 23))
			store := memstorer.New()
			var processes []*process
			for i := range 5 {
				processes = append(processes, newProcess(group, ctx, store, i < 2))
			}
			exchange := func() {
				from, to := random.IntN(len(processes)), random.IntN(len(processes))
				processes[to].fetchFrom(processes[from])
			}
			snapshots := []memstorer.Snapshot{store.Snapshot()}
			for range 60 {
				switch random.IntN(12) {
				case 0:
					snapshots = append(snapshots, store.Snapshot())
				case 1:
					store.Restore(snapshots[random.IntN(len(snapshots))])
				case 2, 3, 4, 5:
					write(t, store, fmt.Sprintf("a/%d", random.IntN(6)), fmt.Sprint(random.IntN(1000)))
				case 6:
					_ = store.Delete(ctx, fmt.Sprintf("a/%d", random.IntN(6)), storer.Always())
				case 7, 8, 9:
					exchange()
				default:
					time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
				}
			}
			time.Sleep(testSettleTime)
			for _, to := range processes {
				for _, from := range processes {
					to.fetchFrom(from)
					synctest.Wait()
				}
			}
			time.Sleep(testSettleTime)
			for i, p := range processes {
				if err := p.checkView(ctx, store); err != nil {
					t.Errorf("seed %d, process %d: %v", seed, i, err)
				}
			}
		})
	}
}

// TestDeltaOfAnotherEraIsTheWholeView checks deltas for views whose revision is of another era.
func TestDeltaOfAnotherEraIsTheWholeView(t *testing.T) {
	latest := watcher.View[int]{
		Era:      2,
		Revision: 5,
		Objects: []storer.Object[int]{
			{
				Name:     "a/1",
				Revision: 2,
				Value:    1,
			},
		},
	}
	cases := []struct {
		name string
		from storer.Position
		want uint64
	}{
		{
			name: "the same era",
			from: storer.Position{
				Era:      2,
				Revision: 5,
			},
			want: 5,
		},
		{
			name: "an earlier era",
			from: storer.Position{
				Era:      1,
				Revision: 7,
			},
		},
		{
			name: "no era",
			from: storer.Position{
				Revision: 5,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			delta := watcher.NewHistory(latest).Since(c.from)
			if delta.After != c.want || delta.Era != latest.Era {
				t.Fatalf("got a delta after %d in era %d, want %d in era %d", delta.After, delta.Era, c.want, latest.Era)
			}
		})
	}
	within := watcher.NewHistory(latest).Since(latest.Position())
	other := latest
	other.Era = 1
	if view, applies := within.Apply(other); applies {
		t.Errorf("got %+v from a delta of era 2 for a view of era 1, want no view", view)
	}
}

// restoredStore is a store whose answers have a chosen era, and whose watches never return.
type restoredStore struct {
	*memstorer.Store
	era atomic.Uint64
}

func (s *restoredStore) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	listed, err := s.Store.List(ctx, prefix)
	listed.Era = s.era.Load()
	return listed, err
}

func (s *restoredStore) Watch(ctx context.Context, _ string, _ uint64) (storer.Changes[[]byte], error) {
	<-ctx.Done()
	return storer.Changes[[]byte]{}, ctx.Err()
}

// TestObservedEraEndsAWaitingWatch checks that a watcher lists when it is told of a later era,
// and that it applies no answer from an earlier one.
func TestObservedEraEndsAWaitingWatch(t *testing.T) {
	runInBubble(t, func(t *testing.T, group *errgroup.Group, ctx context.Context) {
		store := &restoredStore{
			Store: memstorer.New(),
		}
		store.era.Store(3)
		var views []uint64
		var failures []error
		w := watcher.New[[]byte](store, "a/", always)
		group.Go(func() error {
			return w.Run(ctx, func(view watcher.View[[]byte]) { views = append(views, view.Era) }, func() {}, func(err error) {
				failures = append(failures, err)
			})
		})
		steps := []struct {
			name     string
			answered uint64
			observed uint64
			want     []uint64
			fails    bool
		}{
			{
				name:     "an era that is known",
				answered: 3,
				observed: 3,
				want:     []uint64{3},
			},
			{
				name:     "a later era",
				answered: 5,
				observed: 4,
				want:     []uint64{3, 5},
			},
			{
				name:     "a later era, and answers that do not report theirs",
				answered: 0,
				observed: 6,
				want:     []uint64{3, 5, 6},
			},
			{
				name:     "a later era that the store's answers lack",
				answered: 5,
				observed: 7,
				want:     []uint64{3, 5, 6},
				fails:    true,
			},
		}
		for _, step := range steps {
			synctest.Wait()
			store.era.Store(step.answered)
			w.ObserveEra(step.observed)
			time.Sleep(time.Second)
			synctest.Wait()
			if !slices.Equal(views, step.want) {
				t.Errorf("%s: got views of eras %v, want %v", step.name, views, step.want)
			}
			if fails := len(failures) > 0 && errors.Is(failures[0], storer.ErrEarlierEra); fails != step.fails {
				t.Errorf("%s: got errors %v, want storer.ErrEarlierEra: %t", step.name, failures, step.fails)
			}
		}
	})
}

// returningStore is a store that returns with the same revisions before each list, and whose
// watches find nothing.
type returningStore struct {
	*memstorer.Store
	era uint64
}

func (s *returningStore) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	s.era++
	listed, err := s.Store.List(ctx, prefix)
	listed.Era = s.era
	return listed, err
}

func (s *returningStore) Watch(ctx context.Context, _ string, after uint64) (storer.Changes[[]byte], error) {
	<-ctx.Done()
	if ctx.Err() != context.DeadlineExceeded {
		return storer.Changes[[]byte]{}, ctx.Err()
	}
	return storer.Changes[[]byte]{
		Era:      s.era,
		Revision: after,
	}, nil
}

// TestListOfALaterEraIsANewView guards against a list that only verifies the view, and finds the
// same revisions again in a later era, where they may be of other writes.
func TestListOfALaterEraIsANewView(t *testing.T) {
	runInBubble(t, func(t *testing.T, group *errgroup.Group, ctx context.Context) {
		store := &returningStore{
			Store: memstorer.New(),
		}
		write(t, store.Store, "a/1", "x")
		var eras []uint64
		w := watcher.New[[]byte](store, "a/", always).WithWatchTimeout(func() time.Duration { return 30 * time.Second })
		group.Go(func() error {
			return w.Run(ctx, func(view watcher.View[[]byte]) { eras = append(eras, view.Era) }, func() {}, func(error) {})
		})
		time.Sleep(40 * time.Second)
		synctest.Wait()
		if want := []uint64{1, 2}; !slices.Equal(eras, want) {
			t.Errorf("got views of eras %v, want %v", eras, want)
		}
	})
}
