package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// A request that an earlier plan admitted must not be sent to an upstream that may get no
// new requests any more: one that is leaving, is no longer listed or is in an evacuated
// failure domain. An upstream that returns is live again.
func TestEarlierPlansSendNothingToUpstreamsThatLeft(t *testing.T) {
	cases := []struct {
		name string
		// next are the sets that come into force after the admission.
		next []declarer.Set
		// want reports that the request gets an upstream.
		want bool
	}{
		{
			name: "nothing has changed",
			want: true,
		},
		{
			name: "the upstream is leaving",
			next: []declarer.Set{openSet(true, true)},
		},
		{
			name: "the upstream is no longer listed",
			next: []declarer.Set{openSet(false, false)},
		},
		{
			name: "the upstream was leaving and is no longer listed",
			next: []declarer.Set{openSet(true, true), openSet(false, false)},
		},
		{
			name: "the upstream's failure domain is evacuated",
			next: []declarer.Set{evacuatedSet()},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plans := holder.New[admitter.Plan]()
			plan := admitter.InitialPlan("derby", "entry-1/1").WithAffinity(admitter.Affinity{
				Choices: 2,
			}).WithTable(router.New(1, openSet(true, false)), now)
			plans.Advance(*plan)
			admission, refusal := admitter.New(plans, admitter.NewFreshness(now)).Admit(admitter.Request{
				Host:   "shopfront",
				Path:   "/patterns/1",
				Method: "GET",
				Now:    now,
			})
			if refusal != nil {
				t.Fatal(refusal)
			}
			for i, set := range c.next {
				plan = plan.WithTable(router.New(uint64(i+2), set), now)
				plans.Advance(*plan)
			}
			if _, refused := admission.Acquire(now, 1, nil); (refused == nil) != c.want {
				t.Fatalf("got refusal %v, want an upstream: %t", refused, c.want)
			}
			restored := plan.WithTable(router.New(9, openSet(true, false)), now)
			if got := onlyUpstream(t, restored).Health(); got != admitter.Live {
				t.Fatalf("got health %v after the upstream returned, want Live", got)
			}
		})
	}
}

// openSet returns a set with a service that needs no key. Its upstream is included if
// listed is true.
func openSet(listed, leaving bool) declarer.Set {
	set := runningVersion("shopfront-v1").
		WithService(declarer.Service{
			Name: "shopfront",
		}.WithRoutes(declarer.PathRule{
			Prefix: "/patterns",
			Open:   true,
		}))
	version, _ := set.Versions.Get("shopfront-v1")
	if !listed {
		return set.WithVersion(version.WithUpstreams())
	}
	upstream := version.Upstreams[0]
	upstream.Leaving = leaving
	return set.WithVersion(version.WithUpstreams(upstream))
}

// evacuatedSet returns openSet with its upstream's failure domain evacuated.
func evacuatedSet() declarer.Set {
	return openSet(true, false).WithPlace(declarer.Place{
		Name:   "derby",
		Region: "east",
	}.WithEvacuated(true))
}
