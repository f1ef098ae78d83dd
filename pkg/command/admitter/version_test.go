package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// An upstream whose registration names another version belongs to that version from
// then on, so that its failures count against the version that it runs.
func TestUpstreamChangesItsVersion(t *testing.T) {
	cases := []struct {
		name  string
		after string
	}{
		{
			name:  "the same version",
			after: "shopfront-v1",
		},
		{
			name:  "another version",
			after: "shopfront-v2",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plan := admitter.InitialPlan("derby", "entry-1/1")
			// Successive plans share an upstream, so before comes from a plan of its own.
			before := onlyUpstream(t, plan.WithTable(router.New(1, runningVersion("shopfront-v1")), now))
			after := onlyUpstream(t, plan.WithTable(router.New(1, runningVersion("shopfront-v1")), now).
				WithTable(router.New(2, runningVersion(c.after)), now))
			if before.Version() != "shopfront-v1" || after.Version() != c.after {
				t.Fatalf("got version %q, then %q, want shopfront-v1, then %q", before.Version(), after.Version(), c.after)
			}
		})
	}
}

// runningVersion returns a set whose only upstream runs the named version.
func runningVersion(name string) declarer.Set {
	running := version("shopfront", 1)
	running.Name = name
	return declarer.Set{}.
		WithPlace(declarer.Place{
			Name:   "derby",
			Region: "east",
		}).
		WithService(declarer.Service{
			Name: "shopfront",
		}).
		WithVersion(running)
}

// onlyUpstream returns the upstream of a plan that must have exactly one.
func onlyUpstream(t *testing.T, plan *admitter.Plan) *admitter.Upstream {
	t.Helper()
	upstreams := plan.Upstreams()
	if len(upstreams) != 1 {
		t.Fatalf("got %d upstreams, want 1", len(upstreams))
	}
	return upstreams[0]
}
