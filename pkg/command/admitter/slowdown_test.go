package admitter

import (
	"math"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestExpectedTimeForgetsWhatAnUpstreamHasTold guards against a choice that follows one
// momentary or false figure: it must be bounded and lose its weight.
func TestExpectedTimeForgetsWhatAnUpstreamHasTold(t *testing.T) {
	cases := []struct {
		name string
		// told are the slowdowns that the upstream tells, one each 100 ms.
		told   []float64
		shared float64
		// after is the time since the last one.
		after time.Duration
		want  float64
	}{
		{
			name: "nothing told",
			want: 1,
		},
		{
			name: "just told",
			told: []float64{3},
			want: 3,
		},
		{
			name: "a momentary value fades to the mean of those told",
			told: []float64{
				1, 1, 1, 1, 1, 1, 1, 1, 1, 6,
			},
			after: 2 * time.Second,
			want:  1.1,
		},
		{
			name:   "fades to the mean of all instances",
			told:   []float64{1},
			shared: 4,
			after:  time.Minute,
			want:   4,
		},
		{
			name:  "fades to the usual",
			told:  []float64{5},
			after: time.Minute,
			want:  1,
		},
		{
			name: "a value that is too low to be true",
			told: []float64{0.001},
			want: minSlowdown,
		},
		{
			name: "a value that is too high to be true",
			told: []float64{1e9},
			want: maxSlowdown,
		},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		upstream := newUpstream(declarer.Upstream{
			Name:  "u1",
			Slots: 4,
		}, "v1", newLoadBound(), true, now)
		for _, told := range c.told {
			now = now.Add(100 * time.Millisecond)
			upstream.RecordLoad(registrar.Report{}.WithLoad(registrar.Load{
				Slowdown: told,
			}), now)
		}
		now = now.Add(c.after)
		if c.shared > 0 {
			upstream.sharedLoad.Store(&sharedLoad{
				slowdown: c.shared,
				until:    now.Add(time.Second),
			})
		}
		if got := upstream.expectedTimeAt(now); math.Abs(got/c.want-1) > 0.1 {
			t.Errorf("%s: got expected time %.2f, want %.2f", c.name, got, c.want)
		}
	}
}
