package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// TestWithheldVersionsServeOnlyAlone checks which versions get requests beside a withheld one, v2.
// It guards against a withheld version that serves beside others, and against a service that is
// refused although it has upstreams.
func TestWithheldVersionsServeOnlyAlone(t *testing.T) {
	cases := []struct {
		name string
		// others are the versions registered beside v2.
		others []string
		// to and share are the target and the share of the move, if to is not empty.
		to    string
		share float64
		want  []string
	}{
		{
			name:   "beside a stable version",
			others: []string{"v1"},
			want:   []string{"v1"},
		},
		{
			name:   "beside a stable version during the next move",
			others: []string{"v1", "v3"},
			to:     "v3",
			share:  0.5,
			want:   []string{"v1", "v3"},
		},
		{
			name:   "beside a stable version after the next move was rolled back",
			others: []string{"v1", "v3"},
			to:     "v3",
			want:   []string{"v1"},
		},
		{
			name:   "as the target of another move",
			others: []string{"v1"},
			to:     "v2",
			share:  0.5,
			want:   []string{"v1", "v2"},
		},
		{
			name:   "beside nothing but the target of a move",
			others: []string{"v3"},
			to:     "v3",
			share:  0.05,
			want:   []string{"v3"},
		},
		{
			name: "alone",
			want: []string{"v2"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			set := openSet(true, false)
			set, _ = set.Without(declarer.KindVersion, "shopfront-v1")
			set = set.WithWithheld("v2")
			for i, name := range append([]string{"v2"}, c.others...) {
				running := version("shopfront", 1)
				running.Name = name
				running.Upstreams[0].Name = name
				running.Upstreams[0].Address = "127.0.0.1:" + string(rune('1'+i))
				set = set.WithVersion(running)
			}
			if c.to != "" {
				set = set.WithMoves(declarer.NewTable(declarer.Move{
					Name:    "shopfront",
					Service: "shopfront",
					To:      c.to,
					Share:   c.share,
				}))
			}
			plans := holder.New[admitter.Plan]()
			plans.Advance(*admitter.InitialPlan("derby", "entry-1/1").WithAffinity(admitter.Affinity{
				Choices: 2,
			}).WithTable(router.New(1, set), now))
			served := map[string]bool{}
			for random := range uint64(200) {
				admission, refusal := admitter.New(plans, admitter.NewFreshness(now)).Admit(admitter.Request{
					Host:   "shopfront",
					Path:   "/patterns/1",
					Method: "GET",
					Now:    now,
				})
				if refusal != nil {
					t.Fatal(refusal)
				}
				upstream, refused := admission.Acquire(now, random, nil)
				if refused != nil {
					t.Fatal(refused)
				}
				served[upstream.Version()] = true
				upstream.Release()
			}
			if len(served) != len(c.want) {
				t.Errorf("got requests at %v, want at %v", served, c.want)
			}
			for _, name := range c.want {
				if !served[name] {
					t.Errorf("got no request at %s", name)
				}
			}
		})
	}
}
