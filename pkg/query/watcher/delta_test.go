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

// changing is a view that changes.
type changing struct {
	random  *rand.Rand
	objects map[string]storer.Object[int]
	at      uint64
}

// next changes or removes some objects and returns the view then.
func (c *changing) next() watcher.View[int] {
	for range 1 + c.random.IntN(3) {
		c.at++
		name := fmt.Sprintf("servers/%d", c.random.IntN(8))
		if c.random.IntN(3) == 0 {
			delete(c.objects, name)
			continue
		}
		c.objects[name] = storer.Object[int]{
			Name:     name,
			Revision: c.at,
			Value:    c.random.Int(),
		}
	}
	view := watcher.View[int]{
		Revision: c.at,
	}
	for _, object := range c.objects {
		view.Objects = append(view.Objects, object)
	}
	slices.SortFunc(view.Objects, func(a, b storer.Object[int]) int { return strings.Compare(a.Name, b.Name) })
	return view
}

// What a history tells leads from any view, of before it or in it, to the latest one.
func TestDeltasLeadToTheLatestView(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		world := changing{
			random:  random,
			objects: map[string]storer.Object[int]{},
		}
		views := []watcher.View[int]{{}}
		for range random.IntN(4) {
			views = append(views, world.next())
		}
		first := world.next()
		views = append(views, first)
		history := watcher.NewHistory(first)
		for range random.IntN(8) {
			view := world.next()
			views = append(views, view)
			history = history.WithView(view)
		}
		latest := history.View()
		for i, from := range views {
			delta := history.Since(from.Revision)
			got, applies := delta.Apply(from)
			if !applies || got.Revision != latest.Revision || !sameObjects(got.Objects, latest.Objects) {
				t.Fatalf("seed %d, from view %d: %+v leads to %+v, want %+v", seed, i, delta, got, latest)
			}
		}
	}
}

func sameObjects(a, b []storer.Object[int]) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

func TestDeltasThatDoNotApply(t *testing.T) {
	cases := []struct {
		name  string
		delta watcher.Delta[int]
		view  watcher.View[int]
	}{
		{
			name: "nothing is known",
		},
		{
			name: "it begins later",
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
			t.Errorf("%s: applies", c.name)
		}
	}
}
