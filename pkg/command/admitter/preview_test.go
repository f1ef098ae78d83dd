package admitter_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// orderOf returns a request for an object at a time.
func orderOf(object string, now time.Time) admitter.Request {
	return admitter.Request{
		Host:   "shopfront",
		Path:   "/orders",
		Method: "POST",
		Key:    secret,
		Object: object,
		Now:    now,
	}
}

// TestPreviewIsTheDecision guards against a preview that names another upstream than the
// request would get, and against one that takes slots or tokens.
func TestPreviewIsTheDecision(t *testing.T) {
	start := time.Now()
	now := start.Add(time.Hour)
	plans, admit := newAdmitter(declaredSet(), start)
	plans.Advance(*plans.Load().WithAffinity(admitter.Affinity{
		Choices:    2,
		FreeLoad:   0.5,
		LoadWeight: 0.5,
	}).WithTable(router.New(2, declaredSet()), start))
	for i := range 20 {
		object := "quilt-" + strconv.Itoa(i)
		want := ""
		for range 50 {
			preview := admit.Preview(orderOf(object, now), "quilters")
			if preview.Refusal != nil {
				t.Fatalf("%s: got the refusal %+v, want an upstream", object, preview.Refusal)
			}
			if want != "" && preview.Upstream != want {
				t.Fatalf("%s: got upstream %s after %s, though nothing has changed", object, preview.Upstream, want)
			}
			want = preview.Upstream
			if obstacles := obstaclesOf(t, preview, want); len(obstacles) != 0 {
				t.Fatalf("%s: the chosen upstream has obstacles %v", object, obstacles)
			}
		}
		admission, refusal := admit.Admit(orderOf(object, now))
		if refusal != nil {
			t.Fatalf("%s: got the refusal %v after previews", object, refusal)
		}
		upstream, refusal := admission.Acquire(now, 0, nil)
		if refusal != nil || upstream.Declared().Name != want {
			t.Fatalf("%s: got upstream %v, refusal %v, want %s", object, upstream, refusal, want)
		}
		upstream.Release()
		admission.Refund(now)
	}
}

// obstaclesOf returns the obstacles of an upstream in a preview.
func obstaclesOf(t *testing.T, preview admitter.Preview, name string) []admitter.Obstacle {
	t.Helper()
	index := slices.IndexFunc(preview.Candidates, func(c admitter.CandidatePreview) bool { return c.Name == name })
	if index < 0 {
		t.Fatalf("%s is not among the candidates %+v", name, preview.Candidates)
	}
	return preview.Candidates[index].Obstacles
}

// TestPreviewSaysWhyNot guards against a preview without the reason of a refusal.
func TestPreviewSaysWhyNot(t *testing.T) {
	start := time.Now()
	now := start.Add(time.Hour)
	cases := []struct {
		name string
		host string
		team string
		// prepare changes the state before the preview.
		prepare  func(t *testing.T, plan *admitter.Plan, admit *admitter.Admitter)
		reason   arbiter.Reason
		obstacle admitter.Obstacle
	}{
		{
			name:   "no route",
			host:   "nowhere",
			team:   "quilters",
			reason: arbiter.UnknownService,
		},
		{
			name:   "no team",
			host:   "shopfront",
			reason: arbiter.KeyMissing,
		},
		{
			name:   "unknown team",
			host:   "shopfront",
			team:   "nobody",
			reason: arbiter.KeyUnknown,
		},
		{
			name: "the rate is used up",
			host: "shopfront",
			team: "quilters",
			prepare: func(t *testing.T, plan *admitter.Plan, _ *admitter.Admitter) {
				limiter, _ := plan.Limiter("quilters")
				for taken := true; taken; {
					_, taken = limiter.Take(now)
				}
			},
			reason: arbiter.TeamOverRate,
		},
		{
			name: "all slots are taken",
			host: "shopfront",
			team: "quilters",
			prepare: func(t *testing.T, _ *admitter.Plan, admit *admitter.Admitter) {
				admission, refusal := admit.Admit(orderOf("", now))
				for refusal == nil {
					_, refusal = admission.Acquire(now, 7, nil)
				}
			},
			reason:   arbiter.NoRoom,
			obstacle: admitter.NoSlot,
		},
		{
			name: "the upstreams are suspect and the last resort",
			host: "shopfront",
			team: "quilters",
			prepare: func(t *testing.T, plan *admitter.Plan, _ *admitter.Admitter) {
				for _, upstream := range plan.Upstreams() {
					upstream.RecordRefusal(arbiter.Fail(arbiter.UpstreamBroken, "broken"), registrar.Report{}, false, now)
				}
			},
			obstacle: admitter.Unhealthy,
		},
	}
	for _, c := range cases {
		plans, admit := newAdmitter(declaredSet(), start)
		if c.prepare != nil {
			c.prepare(t, plans.Load(), admit)
		}
		request := orderOf("", now)
		request.Host = c.host
		preview := admit.Preview(request, c.team)
		reason := arbiter.Reason("")
		if preview.Refusal != nil {
			reason = preview.Refusal.Reason
		}
		if reason != c.reason || (preview.Upstream == "") != (reason != "") {
			t.Errorf("%s: got reason %q and upstream %q, want reason %q", c.name, reason, preview.Upstream, c.reason)
		}
		if c.obstacle == "" {
			continue
		}
		for _, next := range preview.Candidates {
			if !slices.Contains(next.Obstacles, c.obstacle) {
				t.Errorf("%s: got obstacles %v of %s, want %s", c.name, next.Obstacles, next.Name, c.obstacle)
			}
		}
	}
}
