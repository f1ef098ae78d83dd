package steerer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// countingCodec decodes each value as its text and the number of the call.
type countingCodec struct {
	calls *int
}

func (c countingCodec) Encode(value string) ([]byte, error) { return []byte(value), nil }

func (c countingCodec) Decode(data []byte) (string, error) {
	*c.calls++
	return fmt.Sprintf("%s#%d", data, *c.calls), nil
}

// TestBytesWithARevisionGivenOutAgainAreDecoded checks when an object is decoded anew.
func TestBytesWithARevisionGivenOutAgainAreDecoded(t *testing.T) {
	cases := []struct {
		name string
		// position is that of the second view, and object its object. The first view has
		// the bytes "ready" at revision 5 of era 1.
		position storer.Position
		revision uint64
		value    string
		want     string
	}{
		{
			name: "the same object",
			position: storer.Position{
				Era:      1,
				Revision: 6,
			},
			revision: 5,
			value:    "ready",
			want:     "ready#1",
		},
		{
			name: "a later revision with the same bytes",
			position: storer.Position{
				Era:      1,
				Revision: 7,
			},
			revision: 7,
			value:    "ready",
			want:     "ready#2",
		},
		{
			name: "the same revision of another era with other bytes",
			position: storer.Position{
				Era:      2,
				Revision: 5,
			},
			revision: 5,
			value:    "draining",
			want:     "draining#2",
		},
		{
			name: "another revision of another era with the same bytes",
			position: storer.Position{
				Era:      2,
				Revision: 4,
			},
			revision: 4,
			value:    "ready",
			want:     "ready#1",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			r := typedReflector[string]{
				steerer: &Steerer{},
				collection: Collection[string]{
					Codec: countingCodec{
						calls: &calls,
					},
				},
			}
			r.decodeChanged(viewOf(storer.Position{
				Era:      1,
				Revision: 5,
			}, 5, "ready"))
			got := r.decodeChanged(viewOf(c.position, c.revision, c.value))
			if len(got) != 1 || got[0].Value != c.want || got[0].Revision != c.revision {
				t.Errorf("got %+v, want %s at revision %d", got, c.want, c.revision)
			}
		})
	}
}

// viewOf returns a view of one object.
func viewOf(position storer.Position, revision uint64, value string) watcher.View[[]byte] {
	return watcher.View[[]byte]{
		Era:      position.Era,
		Revision: position.Revision,
		Objects: []storer.Object[[]byte]{
			{
				Name:     "a",
				Revision: revision,
				Value:    []byte(value),
			},
		},
	}
}

// TestViewOfAnEarlierEraIsListedAgain guards against a first view from a peer that has not heard of
// the store's return, on an instance that knows the later era from another collection: a watch from
// its revision may miss the changes before.
func TestViewOfAnEarlierEraIsListedAgain(t *testing.T) {
	cases := []struct {
		name string
		// era is that of the offered view; the instance knows the store's era 2.
		era  uint64
		want int64
	}{
		{
			name: "a view of the era that is known",
			era:  2,
			want: 0,
		},
		{
			name: "a view of an earlier era",
			era:  1,
			want: 1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &listCounter{}
				s := &Steerer{}
				s.storeEra.Store(2)
				r := typedReflector[string]{
					steerer:  s,
					watcher:  watcher.New[[]byte](store, "a", func() bool { return true }),
					retained: retainer.New(plainRetention[string]{}, keepMillis),
					decoded:  map[string]decodedObject[string]{},
					onUpdate: func([]retainer.Entry[string], storer.Position) {},
				}
				r.watcher.Offer(watcher.View[[]byte]{
					Era:      c.era,
					Revision: 5,
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := r.watcher.Run(ctx, r.applyView, func() {}, func(error) {}); err != nil {
					t.Fatal(err)
				}
				if got := store.lists.Load(); got != c.want {
					t.Errorf("got %d lists, want %d", got, c.want)
				}
			})
		})
	}
}

// listCounter is an empty store of era 2 that counts its lists, and whose watches find nothing.
type listCounter struct {
	storer.Reader[[]byte]
	lists atomic.Int64
}

func (l *listCounter) List(context.Context, string) (storer.Changes[[]byte], error) {
	l.lists.Add(1)
	return storer.Changes[[]byte]{
		Era:      2,
		Revision: 9,
	}, nil
}

func (*listCounter) Watch(ctx context.Context, _ string, _ uint64) (storer.Changes[[]byte], error) {
	<-ctx.Done()
	return storer.Changes[[]byte]{}, ctx.Err()
}
