package admitter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/enumerator"
	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// TestCopiesFollowTheRoomForObjects guards against more copies of objects than upstreams keep,
// with which objects displace each other, and against upstreams left unused where there is
// cache.
func TestCopiesFollowTheRoomForObjects(t *testing.T) {
	cases := []struct {
		name      string
		upstreams float64
		kept      float64
		objects   float64
		maxCopies int
		// want is the mean number of copies.
		want float64
	}{
		{
			name:      "the number of objects is unknown",
			upstreams: 86,
			kept:      20,
			maxCopies: 8,
			want:      1,
		},
		{
			name:      "less room than objects",
			upstreams: 9,
			kept:      20,
			objects:   327,
			maxCopies: 8,
			want:      1,
		},
		{
			name:      "room for some objects twice",
			upstreams: 18,
			kept:      20,
			objects:   240,
			maxCopies: 8,
			want:      1.5,
		},
		{
			name:      "much room",
			upstreams: 86,
			kept:      20,
			objects:   327,
			maxCopies: 8,
			want:      86 * 20 / 327.0,
		},
		{
			name:      "more room than copies are allowed",
			upstreams: 86,
			kept:      20,
			objects:   10,
			maxCopies: 4,
			want:      4,
		},
	}
	for _, c := range cases {
		objects := &cache{}
		objects.objectBits.Store(math.Float64bits(c.objects))
		group := &group{
			capacity:  c.upstreams * c.kept,
			maxCopies: c.maxCopies,
			cache:     objects,
		}
		const sample = 4000
		sum := 0
		for i := range sample {
			sum += group.copies(hasher.Sum(fmt.Sprint("object ", i)))
		}
		if got := float64(sum) / sample; math.Abs(got-c.want) > 0.05 {
			t.Errorf("%s: got %.2f copies, want %.2f", c.name, got, c.want)
		}
	}
}

// TestToldNumberOfObjectsLapses guards against a number of objects that stays in force after
// the peer that has told it has gone.
func TestToldNumberOfObjectsLapses(t *testing.T) {
	start := time.Unix(1000, 0)
	counted := &cache{
		counted: enumerator.New(start),
	}
	id := CacheID{
		Service: "shopfront",
		Region:  "east",
	}
	plan := &Plan{
		caches: map[CacheID]*cache{
			id: counted,
		},
	}
	for i := range 400 {
		counted.counted.Record(hasher.Sum(fmt.Sprint("object ", i%40)))
	}
	steps := []struct {
		name  string
		after time.Duration
		told  float64
		want  float64
	}{
		{
			name: "nothing told",
			want: 40,
		},
		{
			name:  "told",
			after: time.Second,
			told:  300,
			want:  300,
		},
		{
			name:  "told again, with a small change",
			after: 2 * time.Second,
			told:  310,
			want:  300,
		},
		{
			name:  "lapsed",
			after: 8 * time.Second,
			want:  40,
		},
	}
	for _, step := range steps {
		now := start.Add(step.after)
		if step.told > 0 {
			plan.ReceiveCacheNotices([]CacheNotice{
				{
					ID:      id,
					Objects: step.told,
				},
			}, now)
		}
		plan.UpdateCaches(now)
		if got := counted.objects(); math.Abs(got/step.want-1) > 0.1 {
			t.Errorf("%s: got %.0f objects, want %.0f", step.name, got, step.want)
		}
	}
}

// TestInstancesAgreeOnASteadyNumberOfObjects guards against instances that go on with a number
// that was told before all surveys had come, and so choose other copies than the rest.
func TestInstancesAgreeOnASteadyNumberOfObjects(t *testing.T) {
	id := CacheID{
		Service: "shopfront",
		Region:  "east",
	}
	cases := []struct {
		name string
		// told is the number of objects that a peer tells each second.
		told []float64
		want float64
	}{
		{
			name: "all surveys come at once",
			told: []float64{22, 67, 67, 67, 67},
			want: 67,
		},
		{
			name: "one survey comes late and lowers the number a little",
			told: []float64{22, 73, 67, 67, 67, 67},
			want: 67,
		},
		{
			name: "one survey comes late and raises the number a little",
			told: []float64{22, 63, 67, 67, 67, 67},
			want: 67,
		},
		{
			name: "the number has not been steady for long",
			told: []float64{22, 73, 67, 67, 67},
			want: 73,
		},
		{
			name: "the number varies a little all the time",
			told: []float64{300, 310, 290, 305, 298, 311, 295, 308},
			want: 300,
		},
		{
			name: "the number drifts a little all the time",
			told: []float64{300, 302, 304, 306, 308, 310, 312, 314},
			want: 300,
		},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		told := &cache{
			counted: enumerator.New(now),
		}
		plan := &Plan{
			caches: map[CacheID]*cache{
				id: told,
			},
		}
		for _, objects := range c.told {
			plan.ReceiveCacheNotices([]CacheNotice{
				{
					ID:      id,
					Objects: objects,
				},
			}, now)
			plan.UpdateCaches(now)
			now = now.Add(time.Second)
		}
		if got := told.objects(); got != c.want {
			t.Errorf("%s: got %.0f objects, want %.0f", c.name, got, c.want)
		}
	}
}
