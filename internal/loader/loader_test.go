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

// TestExamples asks that both deployments fit, at the sizes that they state.
func TestExamples(t *testing.T) {
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
			t.Errorf("%s: %v", c.name, faults)
		}
		upstreams := 0
		for _, version := range document.Version {
			upstreams += len(version.Upstreams)
		}
		if upstreams != c.upstreams || document.Set().Seats() != c.seats || len(document.Team) != c.teams {
			t.Errorf("%s: %d upstreams, %d seats, %d teams", c.name, upstreams, document.Set().Seats(), len(document.Team))
		}
	}
}

func TestFaultNamesTheFile(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "teams.toml")
	if err := os.WriteFile(file, []byte("[[Team]]\nName = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := loader.Load(folder)
	if err == nil || !strings.Contains(err.Error(), "teams.toml") || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("got %v", err)
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
		written, err := codec.Encode(document.Set().Document())
		if err != nil {
			t.Fatal(err)
		}
		again, err := codec.Decode(written)
		if err != nil {
			t.Fatalf("what was written cannot be read: %v", err)
		}
		if again.Set().Len() != document.Set().Len() {
			t.Fatalf("%d objects became %d", document.Set().Len(), again.Set().Len())
		}
	})
}
