package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/registrar"
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

// An upstream that says in an answer that it leaves gets no further requests, whether its
// registration says so or not. It is live again only once it has withdrawn a registration as
// leaving.
func TestLeavingInAnAnswerHolds(t *testing.T) {
	cases := []struct {
		name string
		// registered is whether the upstream is registered as leaving, after its answer.
		registered []bool
		want       admitter.Health
	}{
		{
			name: "the registration does not change",
			want: admitter.Leaving,
		},
		{
			name:       "the registration stays ready",
			registered: []bool{false},
			want:       admitter.Leaving,
		},
		{
			name:       "the registration says so too",
			registered: []bool{true},
			want:       admitter.Leaving,
		},
		{
			name:       "the registration is ready again",
			registered: []bool{true, false},
			want:       admitter.Live,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			set := runningVersion("shopfront-v1")
			plan := admitter.InitialPlan("derby", "entry-1/1").WithTable(router.New(1, set), now)
			upstream := onlyUpstream(t, plan)
			if !upstream.RecordAdvertisement(registrar.Report{}.WithLeaving(true), now, now) {
				t.Error("the first answer that says so is no news")
			}
			upstream.RecordAdvertisement(registrar.Report{}, now.Add(time.Second), now.Add(time.Second))
			for i, leaving := range c.registered {
				version, _ := set.Versions.Get("shopfront-v1")
				declared := version.Upstreams[0]
				declared.Leaving = leaving
				set = set.WithVersion(version.WithUpstreams(declared))
				plan = plan.WithTable(router.New(uint64(i+2), set), now)
			}
			if got := onlyUpstream(t, plan).Health(); got != c.want {
				t.Fatalf("got health %v, want %v", got, c.want)
			}
		})
	}
}
