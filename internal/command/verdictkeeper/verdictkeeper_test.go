package verdictkeeper_test

import (
	"errors"
	"flag"
	"slices"
	"testing"

	"github.com/hemlockport/hemlockport/internal/command/verdictkeeper"
	"github.com/hemlockport/hemlockport/internal/comparer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

var update = flag.Bool("update", false, "write the golden files again")

// TestEncodingMatchesGoldenFile guards against records in the store that the next build cannot read.
func TestEncodingMatchesGoldenFile(t *testing.T) {
	golden := comparer.NewCase("record.cbor", encoder.CBOR[verdictkeeper.Record]{}, verdictkeeper.Record{
		Verdicts: []verdictkeeper.RecordedVerdict{
			{
				Version:  "version",
				State:    mover.TakenBack,
				Era:      2,
				Revision: 3,
			},
		},
	})
	t.Run(golden.File(), golden.Compare(*update))
}

// TestRecordsAreReplaced guards against a record that an odd object or another writer's record keeps from being written.
func TestRecordsAreReplaced(t *testing.T) {
	const prefix = "verdicts/"
	wanted := []mover.Verdict{
		{
			VersionID: mover.VersionID{
				Service: "shop",
				Version: "v2",
			},
			State: mover.TakenBack,
			At: storer.Position{
				Era:      1,
				Revision: 7,
			},
		},
	}
	cases := []struct {
		name string
		// present is what the store has before, unless it is nil.
		present []byte
		// unread says that the keeper does not know it.
		unread bool
		want   error
	}{
		{
			name: "none",
		},
		{
			name:    "no record",
			present: []byte("{"),
		},
		{
			name:    "written by another instance",
			present: []byte("{"),
			unread:  true,
			want:    storer.ErrConflict,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := memstorer.New()
			if c.present != nil {
				if _, err := store.Put(t.Context(), prefix+"shop", c.present, storer.Always()); err != nil {
					t.Fatal(err)
				}
			}
			keeper := verdictkeeper.New(store, prefix)
			var known verdictkeeper.Stored
			if !c.unread {
				var err error
				if known, err = keeper.Read(t.Context(), "shop"); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := keeper.Write(t.Context(), "shop", known, wanted); !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
			if c.want != nil {
				return
			}
			records, err := keeper.List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got := records["shop"].Verdicts; !slices.Equal(got, wanted) {
				t.Errorf("got %v, want %v", got, wanted)
			}
		})
	}
}
