package launcher_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/internal/loader"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// TestSession runs the scripted session on a local cluster with the objects of each
// deployment and compares its output with a golden file.
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
			want, err := os.ReadFile(filepath.Join("..", "..", "testdata", "sessions", c.golden))
			if err != nil {
				t.Fatal(err)
			}
			if got := runSession(t, loadDocument(t, c.objects)); got != string(want) {
				t.Fatalf("the session differs from %s: got the line %q, which the file does not have there", c.golden, firstDifference(got, string(want)))
			}
		})
	}
}

// firstDifference returns the first line of got that differs from the line of want at
// the same place, or an empty string if got is only shorter.
func firstDifference(got, want string) string {
	lines := strings.Split(want, "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(lines) || line != lines[i] {
			return line
		}
	}
	return ""
}

// loadDocument returns the objects of a deployment in examples, or the built-in ones if
// its name is empty.
func loadDocument(t *testing.T, deployment string) declarer.Document {
	t.Helper()
	if deployment == "" {
		document, err := launcher.BuiltInDocument()
		if err != nil {
			t.Fatal(err)
		}
		return document
	}
	document, err := loader.Load(filepath.Join("..", "..", "examples", deployment, "objects"))
	if err != nil {
		t.Fatal(err)
	}
	return document
}

// runSession runs the session on a local cluster and returns what it printed.
func runSession(t *testing.T, document declarer.Document) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	cluster, err := launcher.Start(ctx, group, document, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err = launcher.NewSession(cluster, &out).Run(ctx); err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	cancel()
	if err = group.Wait(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}
