package server

import (
	"flag"
	"testing"

	"github.com/hemlockport/hemlockport/internal/comparer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

var update = flag.Bool("update", false, "write the golden files again")

// TestEncodingsMatchGoldenFiles checks that the encodings which other processes, callers
// and stores read have not changed. After an intended change, go test ./internal/server
// -run TestEncodingsMatchGoldenFiles -update writes the golden files again.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	cases := []comparer.Case{
		comparer.NewCase("roster.cbor", encoder.CBOR[rosterList]{}, rosterList{
			Revision: 2,
			Members: []registrar.Member{
				{
					Incarnation:   "incarnation",
					Name:          "name",
					Place:         "place",
					SeatPlace:     "seat place",
					Seat:          9,
					CallerAddress: "caller address",
					PeerAddress:   "peer address",
					Listed:        true,
					Leaving:       true,
				},
			},
		}).WithSparse(),
	}
	for _, c := range cases {
		t.Run(c.File(), c.Compare(*update))
	}
}
