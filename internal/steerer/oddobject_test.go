package steerer

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestOddObjectOfAPeerCostsOnlyItself guards against a view of a peer that ends the process.
func TestOddObjectOfAPeerCostsOnlyItself(t *testing.T) {
	cases := []struct {
		name string
		odd  storer.Object[[]byte]
	}{
		{
			name: "no name",
		},
		{
			name: "a name shorter than the prefix",
			odd: storer.Object[[]byte]{
				Name:     "s",
				Revision: 6,
				Value:    []byte{0x01},
			},
		},
		{
			name: "a name of another collection",
			odd: storer.Object[[]byte]{
				Name:     "evacuations/derby",
				Revision: 6,
				Value:    []byte{0x01},
			},
		},
		{
			name: "no value",
			odd: storer.Object[[]byte]{
				Name:     "servers/i-odd",
				Revision: 6,
			},
		},
		{
			name: "a value that cannot be decoded",
			odd: storer.Object[[]byte]{
				Name:     "servers/i-odd",
				Revision: 6,
				Value:    []byte{0xff},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reflector := &typedReflector[int]{
				steerer: &Steerer{
					log: zerolog.Nop(),
				},
				collection: Collection[int]{
					Prefix: "servers/",
					Codec:  encoder.CBOR[int]{},
				},
			}
			usable := reflector.decodeChanged(watcher.View[[]byte]{
				Revision: 9,
				Objects: []storer.Object[[]byte]{
					c.odd,
					{
						Name:     "servers/i-1",
						Revision: 5,
						Value:    []byte{0x07},
					},
				},
			})
			if len(usable) != 1 || usable[0].Name != "i-1" || usable[0].Value != 7 {
				t.Errorf("got %+v, want just i-1", usable)
			}
		})
	}
}
