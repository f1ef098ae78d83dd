package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// An upstream is leaving when its registration says so, and is live again when the same
// incarnation then registers as ready.
func TestLeavingIsTakenBack(t *testing.T) {
	cases := []struct {
		name    string
		leaving []bool
		want    admitter.Health
	}{
		{
			name:    "ready",
			leaving: []bool{false, false},
			want:    admitter.Live,
		},
		{
			name:    "leaving",
			leaving: []bool{false, true},
			want:    admitter.Leaving,
		},
		{
			name:    "still leaving",
			leaving: []bool{true, true},
			want:    admitter.Leaving,
		},
		{
			name:    "ready again",
			leaving: []bool{false, true, false},
			want:    admitter.Live,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plan := admitter.InitialPlan("derby", "entry-1/1")
			for i, leaving := range c.leaving {
				set := runningVersion("shopfront-v1")
				version, _ := set.Versions.Get("shopfront-v1")
				upstream := version.Upstreams[0]
				upstream.Leaving = leaving
				set = set.WithVersion(version.WithUpstreams(upstream))
				plan = plan.WithTable(router.New(uint64(i+1), set), now)
			}
			if got := onlyUpstream(t, plan).Health(); got != c.want {
				t.Fatalf("got health %v, want %v", got, c.want)
			}
		})
	}
}
