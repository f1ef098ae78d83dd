package linker

import (
	"flag"
	"testing"

	"github.com/hemlockport/hemlockport/internal/comparer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

var update = flag.Bool("update", false, "write the golden files again")

// TestEncodingsMatchGoldenFiles checks that the encodings which other processes, callers
// and stores read have not changed. After an intended change, go test ./internal/linker
// -run TestEncodingsMatchGoldenFiles -update writes the golden files again.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	cases := []comparer.Case{
		comparer.NewCase("challenge.cbor", encoder.CBOR[challenge]{}, challenge{
			Nonce: []byte("nonce"),
		}),
		comparer.NewCase("proof.cbor", encoder.CBOR[proof]{}, proof{
			Member: registrar.Member{
				Incarnation:   "incarnation",
				Name:          "name",
				Place:         "place",
				SeatPlace:     "seat place",
				Seat:          7,
				CallerAddress: "caller address",
				PeerAddress:   "peer address",
				Listed:        true,
				Leaving:       true,
			},
			Nonce: []byte("nonce"),
			MAC:   []byte("m a c"),
		}).WithSparse(),
	}
	for _, c := range cases {
		t.Run(c.File(), c.Compare(*update))
	}
}
