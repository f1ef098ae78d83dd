package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/loader"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// TestExampleObjectsAreValid checks that the objects of both example deployments are valid
// and have the stated sizes.
func TestExampleObjectsAreValid(t *testing.T) {
	cases := []struct {
		name      string
		upstreams int
		seats     int
		teams     int
	}{
		{
			name:      "thimblegate",
			upstreams: 36,
			seats:     12,
			teams:     8,
		},
		{
			name:      "esmaltes",
			upstreams: 34,
			seats:     11,
			teams:     8,
		},
	}
	for _, c := range cases {
		document, err := loader.Load(filepath.Join("..", "..", "examples", c.name, "objects"))
		if err != nil {
			t.Fatal(err)
		}
		if faults := checker.CheckDocument(document); len(faults) > 0 {
			t.Errorf("%s: got faults %v, want none", c.name, faults)
		}
		upstreams := 0
		for _, version := range document.Version {
			upstreams += len(version.Upstreams)
		}
		if upstreams != c.upstreams || document.Set().Seats() != c.seats || len(document.Team) != c.teams {
			t.Errorf("%s: got %d upstreams, %d seats, %d teams, want %d, %d, %d", c.name,
				upstreams, document.Set().Seats(), len(document.Team), c.upstreams, c.seats, c.teams)
		}
	}
}

func TestErrorNamesFileAndLine(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "teams.toml")
	if err := os.WriteFile(file, []byte("[[Team]]\nName = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := loader.Load(folder)
	if err == nil || !strings.Contains(err.Error(), "teams.toml") || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("got error %v, want one that names teams.toml and line 2", err)
	}
}

func FuzzObjects(f *testing.F) {
	f.Add([]byte("[[Place]]\nName = \"derby\"\nRegion = \"east\"\nSeats = 1\nClientBlocks = [\"10.0.0.0/8\"]\n"))
	f.Add([]byte("[[Team]]\nName = \"a\"\nRatePerSecond = nan\nBurst = 1\n"))
	f.Add([]byte("[[Key]]\nName = \"k\"\nHash = \"sha256:00\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		codec := encoder.TOML[declarer.Document]{}
		document, err := codec.Decode(data)
		if err != nil || len(checker.CheckDocument(document)) > 0 {
			return
		}
		encoded, err := codec.Encode(document.Set().Document())
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := codec.Decode(encoded)
		if err != nil {
			t.Fatalf("decode the encoded document: got error %v, want none", err)
		}
		if decoded.Set().Len() != document.Set().Len() {
			t.Fatalf("got %d objects after encoding and decoding, want %d", decoded.Set().Len(), document.Set().Len())
		}
	})
}
