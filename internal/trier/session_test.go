package trier_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/loader"
	"github.com/hemlockport/hemlockport/internal/trier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// TestSession plays the scripted session on each deployment and compares what an
// operator and a caller see with its golden file.
func TestSession(t *testing.T) {
	cases := []struct {
		golden  string
		objects string
	}{
		{
			golden: "try-once.txt",
		},
		{
			golden:  "thimblegate.txt",
			objects: "thimblegate",
		},
		{
			golden:  "esmaltes.txt",
			objects: "esmaltes",
		},
	}
	for _, c := range cases {
		t.Run(c.golden, func(t *testing.T) {
			t.Parallel()
			wanted, err := os.ReadFile(filepath.Join("..", "..", "testdata", "sessions", c.golden))
			if err != nil {
				t.Fatal(err)
			}
			if seen := play(t, objects(t, c.objects)); seen != string(wanted) {
				t.Fatalf("the session differs from %s in the line %q", c.golden, difference(seen, string(wanted)))
			}
		})
	}
}

// difference returns the first line that is seen and not wanted.
func difference(seen, wanted string) string {
	lines := strings.Split(wanted, "\n")
	for i, line := range strings.Split(seen, "\n") {
		if i >= len(lines) || line != lines[i] {
			return line
		}
	}
	return ""
}

func objects(t *testing.T, example string) declarer.Document {
	t.Helper()
	if example == "" {
		document, err := trier.BuiltIn()
		if err != nil {
			t.Fatal(err)
		}
		return document
	}
	document, err := loader.Load(filepath.Join("..", "..", "examples", example, "objects"))
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func play(t *testing.T, document declarer.Document) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	cluster, err := trier.Start(ctx, group, document, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err = trier.NewSession(cluster, &out).Run(ctx); err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	cancel()
	if err = group.Wait(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}
