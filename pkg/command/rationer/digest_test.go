package rationer_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/command/rationer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// newPlan returns a plan with one upstream, which is returned as well.
func newPlan(incarnation string, now time.Time) (*admitter.Plan, *admitter.Upstream) {
	set := declarer.Set{}.
		WithService(declarer.Service{
			Name:       "shopfront",
			Registered: true,
		}).
		WithVersion(declarer.Version{
			Name:    "shopfront@1",
			Service: "shopfront",
		}.WithUpstreams(declarer.Upstream{
			Name:        "u1",
			Incarnation: incarnation,
			Address:     "127.0.0.1:1",
			Slots:       2,
		}))
	plan := admitter.InitialPlan("derby", "entry-1/1").WithTable(router.New(1, set), now)
	return plan, plan.Upstreams()[0]
}

func newRationer(name string) *rationer.Rationer {
	return rationer.New(apportioner.New(name, name))
}

// TestNewsIsToldOnceAndALimitEachSecond records what an upstream says at an instance, and
// checks when the instance tells the others.
func TestNewsIsToldOnceAndALimitEachSecond(t *testing.T) {
	limit := registrar.Report{}.WithLimit(4)
	steps := []struct {
		name   string
		at     time.Duration
		report registrar.Report
		want   bool
	}{
		{
			name: "an answer without news",
		},
		{
			name:   "a limit",
			at:     time.Second,
			report: limit,
			want:   true,
		},
		{
			name:   "the same limit soon after",
			at:     1500 * time.Millisecond,
			report: limit,
		},
		{
			name:   "the same limit a second after it was told",
			at:     2 * time.Second,
			report: limit,
			want:   true,
		},
		{
			name:   "another limit",
			at:     2100 * time.Millisecond,
			report: registrar.Report{}.WithLimit(2),
			want:   true,
		},
		{
			name: "the end of the limit",
			at:   2200 * time.Millisecond,
			want: true,
		},
		{
			name: "no limit still",
			at:   5 * time.Second,
		},
		{
			name:   "the upstream leaves",
			at:     6 * time.Second,
			report: registrar.Report{}.WithLeaving(true),
			want:   true,
		},
		{
			name:   "the upstream still leaves",
			at:     9 * time.Second,
			report: registrar.Report{}.WithLeaving(true),
		},
		{
			name:   "a time for a retry, which is for this instance only",
			at:     10 * time.Second,
			report: registrar.Report{}.WithRetryAt(time.Now().Add(time.Hour)),
		},
	}
	start := time.Now()
	plan, upstream := newPlan("1", start)
	teller := newRationer("a")
	for _, step := range steps {
		now := start.Add(step.at)
		upstream.RecordAdvertisement(step.report, now.Add(-time.Millisecond), now)
		digest := teller.NextDigest(plan, now)
		if got := len(digest) > 0; got != step.want {
			t.Fatalf("%s: got digest %+v, want one: %t", step.name, digest, step.want)
		}
	}
}

// TestReceivedNoticesApply passes notices to an instance, which knows nothing of the upstream
// yet unless the case says so.
func TestReceivedNoticesApply(t *testing.T) {
	cases := []struct {
		name string
		// known is what the upstream has told the instance a second ago.
		known  registrar.Report
		notice rationer.Notice
		// news says that the instance learns something.
		news    bool
		limited bool
		health  admitter.Health
	}{
		{
			name: "a limit",
			notice: rationer.Notice{
				Incarnation: "1",
				Limited:     true,
				PerSecond:   3,
			},
			news:    true,
			limited: true,
		},
		{
			name:  "the end of a limit",
			known: registrar.Report{}.WithLimit(3),
			notice: rationer.Notice{
				Incarnation: "1",
				AgeMillis:   100,
			},
			news: true,
		},
		{
			name:  "the end of an earlier limit",
			known: registrar.Report{}.WithLimit(3),
			notice: rationer.Notice{
				Incarnation: "1",
				AgeMillis:   1500,
			},
			limited: true,
		},
		{
			name:  "the upstream leaves and has never stated a limit to the teller",
			known: registrar.Report{}.WithLimit(3),
			notice: rationer.Notice{
				Incarnation: "1",
				AgeMillis:   -1,
				Leaving:     true,
			},
			news:    true,
			limited: true,
			health:  admitter.Leaving,
		},
		{
			name: "another start of the upstream",
			notice: rationer.Notice{
				Incarnation: "0",
				Limited:     true,
				PerSecond:   3,
				Leaving:     true,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plan, upstream := newPlan("1", now)
			if c.known != (registrar.Report{}) {
				upstream.RecordAdvertisement(c.known, now, now.Add(-time.Second))
			}
			c.notice.Upstream = "u1"
			news := newRationer("b").Receive(plan, []rationer.Notice{c.notice}, now)
			if got := len(news) > 0; got != c.news {
				t.Errorf("got news %t, want %t", got, c.news)
			}
			if got := upstream.IsLimited(now); got != c.limited {
				t.Errorf("got limited %t, want %t", got, c.limited)
			}
			if got := upstream.Health(); got != c.health {
				t.Errorf("got health %s, want %s", got, c.health)
			}
		})
	}
}
