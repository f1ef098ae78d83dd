package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestReturningUpstreamsKeepTheirLimits checks what an upstream may get that is missing in a
// configuration and returns in the next one. It guards against slots, and a limit that
// the upstream has stated, that are permitted a second time by a new state.
func TestReturningUpstreamsKeepTheirLimits(t *testing.T) {
	now := time.Now()
	plans := holder.New[admitter.Plan]()
	plan := admitter.InitialPlan("derby", "entry-1/1").WithAffinity(admitter.Affinity{
		Choices: 2,
	}).WithTable(router.New(1, openSet(true, false)), now)
	plans.Advance(*plan)
	upstream := onlyUpstream(t, plan)
	admission, refusal := admitter.New(plans, admitter.NewFreshness(now)).Admit(admitter.Request{
		Host:   "shopfront",
		Path:   "/patterns/1",
		Method: "GET",
		Now:    now,
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	if _, refused := admission.Acquire(now, 1, nil); refused != nil {
		t.Fatal(refused)
	}
	upstream.RecordAdvertisement(registrar.Report{
		HasLimit:       true,
		LimitPerSecond: 2,
	}, now, now)
	absences := []struct {
		name   string
		set    declarer.Set
		length time.Duration
		// limited reports that the stated limit still holds.
		limited bool
	}{
		{
			name:    "shortly",
			set:     openSet(false, false),
			length:  time.Second,
			limited: true,
		},
		{
			name:    "again, after it has announced its stop",
			set:     openSet(false, false),
			length:  time.Second,
			limited: true,
		},
		{
			name:   "for long, with a request in flight",
			set:    openSet(false, false),
			length: time.Hour,
		},
	}
	for i, c := range absences {
		plan = plan.WithTable(router.New(uint64(2*i+2), c.set), now)
		now = now.Add(c.length)
		plan = plan.WithTable(router.New(uint64(2*i+3), openSet(true, false)), now)
		returned := onlyUpstream(t, plan)
		if got := returned.InUse(); got != 1 {
			t.Errorf("%s: got %d slots in use, want 1", c.name, got)
		}
		if got := returned.IsLimited(now); got != c.limited {
			t.Errorf("%s: got limited %t, want %t", c.name, got, c.limited)
		}
		if got := returned.Health(); got != admitter.Live {
			t.Errorf("%s: got health %v, want Live", c.name, got)
		}
		returned.RecordLeavingNotice()
	}
	upstream.Release()
	plan = plan.WithTable(router.New(8, openSet(false, false)), now)
	plan = plan.WithTable(router.New(9, openSet(false, false)), now.Add(time.Hour))
	if onlyUpstream(t, plan.WithTable(router.New(10, openSet(true, false)), now)) == upstream {
		t.Error("the state of an upstream without requests is kept for an hour")
	}
}
