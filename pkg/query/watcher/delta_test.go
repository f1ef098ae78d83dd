package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// randomStore is a set of objects that changes at random.
type randomStore struct {
	random   *rand.Rand
	objects  map[string]storer.Object[int]
	revision uint64
}

// next writes or removes some objects and returns the view after that.
func (s *randomStore) next() watcher.View[int] {
	for range 1 + s.random.IntN(3) {
		s.revision++
		name := fmt.Sprintf("servers/%d", s.random.IntN(8))
		if s.random.IntN(3) == 0 {
			delete(s.objects, name)
			continue
		}
		s.objects[name] = storer.Object[int]{
			Name:     name,
			Revision: s.revision,
			Value:    s.random.Int(),
		}
	}
	view := watcher.View[int]{
		Revision: s.revision,
	}
	for _, object := range s.objects {
		view.Objects = append(view.Objects, object)
	}
	slices.SortFunc(view.Objects, func(a, b storer.Object[int]) int { return strings.Compare(a.Name, b.Name) })
	return view
}

// TestDeltasLeadToTheLatestView checks that the delta of a history, applied to any view
// before or within the history, gives the latest view.
func TestDeltasLeadToTheLatestView(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		store := randomStore{
			random:  random,
			objects: map[string]storer.Object[int]{},
		}
		views := []watcher.View[int]{{}}
		for range random.IntN(4) {
			views = append(views, store.next())
		}
		first := store.next()
		views = append(views, first)
		history := watcher.NewHistory(first)
		for range random.IntN(8) {
			view := store.next()
			views = append(views, view)
			history = history.WithView(view)
		}
		latest := history.View()
		for i, from := range views {
			delta := history.Since(from.Position())
			got, applies := delta.Apply(from)
			if !applies || got.Revision != latest.Revision || !sameObjects(got.Objects, latest.Objects) {
				t.Fatalf("seed %d, from view %d: delta %+v: got %+v, want %+v", seed, i, delta, got, latest)
			}
		}
	}
}

func sameObjects(a, b []storer.Object[int]) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// TestApplyRefusesUnusableDeltas checks that Apply returns false for a delta that starts
// after the view, and for the zero value.
func TestApplyRefusesUnusableDeltas(t *testing.T) {
	cases := []struct {
		name  string
		delta watcher.Delta[int]
		view  watcher.View[int]
	}{
		{
			name: "the delta is the zero value",
		},
		{
			name: "the delta starts after the view",
			delta: watcher.Delta[int]{
				After:    5,
				Revision: 9,
			},
			view: watcher.View[int]{
				Revision: 4,
			},
		},
	}
	for _, c := range cases {
		if _, applies := c.delta.Apply(c.view); applies {
			t.Errorf("%s: got a view, want none", c.name)
		}
	}
}

// peerView is the view and the history of one of several instances.
type peerView struct {
	view    watcher.View[int]
	history watcher.History[int]
}

// apply replaces the view by a later one.
func (p *peerView) apply(view watcher.View[int]) {
	if p.view.Revision == 0 {
		p.history = watcher.NewHistory(view)
	} else {
		p.history = p.history.WithView(view)
	}
	p.view = view
}

// change is a change of a randomStore: the name and whether the object was removed.
type change struct {
	name     string
	revision uint64
	removed  bool
}

// TestPeersAgreeWhateverViewsTheySkip guards against objects that stay for ever at an instance
// which gets changes from peers: objects that were removed, written again and removed once
// more while a peer saw no view in between.
func TestPeersAgreeWhateverViewsTheySkip(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 5))
		objects := map[string]storer.Object[int]{}
		var changes []change
		revision := uint64(0)
		current := func() watcher.View[int] {
			view := watcher.View[int]{
				Revision: revision,
			}
			for _, object := range objects {
				view.Objects = append(view.Objects, object)
			}
			slices.SortFunc(view.Objects, func(a, b storer.Object[int]) int { return strings.Compare(a.Name, b.Name) })
			return view
		}
		peers := make([]peerView, 4)
		for step := range 60 {
			for range 1 + random.IntN(4) {
				revision++
				name := fmt.Sprintf("servers/%d", random.IntN(4))
				_, found := objects[name]
				if found && random.IntN(2) == 0 {
					delete(objects, name)
					changes = append(changes, change{
						name:     name,
						revision: revision,
						removed:  true,
					})
					continue
				}
				objects[name] = storer.Object[int]{
					Name:     name,
					Revision: revision,
					Value:    random.Int(),
				}
				changes = append(changes, change{
					name:     name,
					revision: revision,
				})
			}
			peer := &peers[random.IntN(len(peers))]
			switch other := &peers[random.IntN(len(peers))]; {
			case peer.view.Revision == 0 || random.IntN(8) == 0:
				view := current()
				view.Gap = true
				peer.apply(view)
			case random.IntN(2) == 0:
				view := current()
				for _, one := range changes {
					if _, exists := objects[one.name]; one.removed && !exists && one.revision > peer.view.Revision {
						view.Removed = append(view.Removed, one.name)
					}
				}
				peer.apply(view)
			case other.view.Revision > peer.view.Revision:
				view, applies := other.history.Since(peer.view.Position()).Apply(peer.view)
				if !applies || !sameObjects(view.Objects, other.view.Objects) {
					t.Fatalf("seed %d, step %d: got %+v, want %+v", seed, step, view, other.view)
				}
				peer.apply(view)
			}
		}
	}
}
