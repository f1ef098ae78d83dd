package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// A request that was admitted by an earlier plan is sent to no upstream that has left
// since, whether that said so or is just gone from the list. One that is back gets
// requests again.
func TestEarlierPlansSendNothingToUpstreamsThatLeft(t *testing.T) {
	cases := []struct {
		name string
		// next are the sets that come into force after the admission.
		next []declarer.Set
		want bool
	}{
		{
			name: "nothing has changed",
			want: true,
		},
		{
			name: "it leaves",
			next: []declarer.Set{openSet(true, true)},
		},
		{
			name: "it is gone",
			next: []declarer.Set{openSet(false, false)},
		},
		{
			name: "it has left and is gone",
			next: []declarer.Set{openSet(true, true), openSet(false, false)},
		},
		{
			name: "its place is evacuated",
			next: []declarer.Set{evacuatedSet()},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plans := holder.New[admitter.Plan]()
			plan := admitter.First("derby", "entry-1/1").WithKeyed(admitter.Keyed{
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
				t.Fatalf("refused: %v, want an upstream: %t", refused, c.want)
			}
			back := plan.WithTable(router.New(9, openSet(true, false)), now)
			if got := onlyUpstream(t, back).Health(); got != admitter.Live {
				t.Fatalf("back, health %v", got)
			}
		})
	}
}

// openSet returns a set with a service that is open to all, and its upstream if that is
// listed.
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

func evacuatedSet() declarer.Set {
	return openSet(true, false).WithPlace(declarer.Place{
		Name:   "derby",
		Region: "east",
	}.WithEvacuated(true))
}
