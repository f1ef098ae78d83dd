package steerer

import (
	"fmt"
	"testing"

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
