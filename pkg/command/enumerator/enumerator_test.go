package enumerator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/enumerator"
)

// TestObjectsAreEstimatedFromFewRequests guards against an estimate that takes the objects of
// few requests for all objects: upstreams would be given more objects than they keep.
func TestObjectsAreEstimatedFromFewRequests(t *testing.T) {
	cases := []struct {
		name      string
		objects   int
		instances int
		samples   int
		// want is false if there must be no estimate; tolerance is relative.
		want      bool
		tolerance float64
	}{
		{
			name:      "no requests",
			objects:   100,
			instances: 1,
		},
		{
			name:      "too few requests for an estimate",
			objects:   2000,
			instances: 1,
			samples:   50,
		},
		{
			name:      "too many objects for the bitmap",
			objects:   100_000,
			instances: 1,
			samples:   1_000_000,
		},
		{
			name:      "one instance has seen half of the objects",
			objects:   327,
			instances: 1,
			samples:   250,
			want:      true,
			tolerance: 0.3,
		},
		{
			name:      "a hundred instances, each with few requests",
			objects:   327,
			instances: 100,
			samples:   13,
			want:      true,
			tolerance: 0.1,
		},
		{
			name:      "more objects than bits",
			objects:   3000,
			instances: 4,
			samples:   10_000,
			want:      true,
			tolerance: 0.2,
		},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(7, 7))
		hashes := make([]uint64, c.objects)
		for i := range hashes {
			hashes[i] = random.Uint64()
		}
		merged := enumerator.Digest{}
		for range c.instances {
			counted := enumerator.New(now)
			for range c.samples {
				counted.Record(hashes[random.IntN(len(hashes))])
			}
			merged = merged.WithMerged(counted.Digest())
		}
		got, known := merged.Objects()
		if known != c.want {
			t.Errorf("%s: got an estimate %t, want %t", c.name, known, c.want)
		}
		if off := math.Abs(got/float64(c.objects) - 1); c.want && off > c.tolerance {
			t.Errorf("%s: got %.0f objects, want %d within %v", c.name, got, c.objects, c.tolerance)
		}
	}
}

// TestObjectsAreForgotten guards against objects that count for ever, so that the room for
// others would stay taken.
func TestObjectsAreForgotten(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		after time.Duration
		want  uint64
	}{
		{
			after: 9 * time.Second,
			want:  1,
		},
		{
			after: 11 * time.Second,
			want:  1,
		},
		{
			after: 22 * time.Second,
			want:  0,
		},
	}
	counted := enumerator.New(start)
	counted.Record(1)
	for _, step := range steps {
		counted.Advance(start.Add(step.after))
		if got := counted.Digest().Samples; got != step.want {
			t.Errorf("after %v: got %d requests, want %d", step.after, got, step.want)
		}
	}
}
