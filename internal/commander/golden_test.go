package commander

import (
	"flag"
	"testing"

	"github.com/hemlockport/hemlockport/internal/comparer"
	"github.com/hemlockport/hemlockport/internal/encoder"
)

var update = flag.Bool("update", false, "write the golden files again")

// TestEncodingsMatchGoldenFiles checks that the encodings which other processes, callers
// and stores read have not changed. After an intended change, go test ./internal/commander
// -run TestEncodingsMatchGoldenFiles -update writes the golden files again.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	cases := []comparer.Case{
		comparer.NewCase("checked.json", encoder.JSON[checked]{}, checked{
			Objects: 2,
		}),
		comparer.NewCase("versions.json", encoder.JSON[versions]{}, versions{
			Version: "version",
		}),
	}
	for _, c := range cases {
		t.Run(c.File(), c.Compare(*update))
	}
}
