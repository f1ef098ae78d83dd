package usagereporter

import (
	"flag"
	"testing"

	"github.com/hemlockport/hemlockport/internal/comparer"
	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

var update = flag.Bool("update", false, "write the golden files again")

// ledger is the value that is stored with the lease.
type ledger = meter.Ledger

// TestEncodingsMatchGoldenFiles checks that the encodings which other processes and the store
// read have not changed. After an intended change, go test ./internal/command/usagereporter -run
// TestEncodingsMatchGoldenFiles -update writes the golden files again.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	windows := []meter.WindowCounts{
		{
			Window: 4,
			Counts: meter.Counts{
				"team": 5,
			},
		},
	}
	record := leaser.Record[ledger]{
		Name:     "name",
		Machine:  "machine",
		Token:    6,
		Sequence: 7,
		Era:      8,
		Released: true,
		Value: ledger{
			Last:     9,
			Reports:  windows,
			Failures: 10,
		},
	}
	cases := []comparer.Case{
		comparer.NewCase("record.cbor", recordCodec, record),
		comparer.NewCase("relayed.cbor", recordMessageCodec, recordMessage{
			Era:      1,
			Revision: 2,
			Record:   record,
		}),
		comparer.NewCase("counts.cbor", countsCodec, countsMessage{
			Number:  12,
			Place:   "place",
			Through: 3,
			Windows: windows,
		}),
		comparer.NewCase("clock.cbor", clockCodec, clockMessage{
			UnixNanos: 11,
		}),
	}
	for _, c := range cases {
		t.Run(c.File(), c.Compare(*update))
	}
}
