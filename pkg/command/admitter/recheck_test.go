package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// TestRecheckAfterChanges guards against a request that is sent for a team that no longer
// holds its key, and against the loss of a request that was sent before the change.
func TestRecheckAfterChanges(t *testing.T) {
	start := time.Now()
	team, _ := declaredSet().Teams.Get("quilters")
	team.Services = []string{"sewingroom"}
	moved := key("quilters", secret)
	moved.Team = "weavers"
	removed, _ := declaredSet().Without(declarer.KindKey, "quilters")
	cases := []struct {
		name string
		set  declarer.Set
		// unsent and sent are the reasons of the refusals before and after the first byte
		// may have been sent, or empty.
		unsent arbiter.Reason
		sent   arbiter.Reason
	}{
		{
			name: "nothing has changed",
			set:  declaredSet(),
		},
		{
			name: "the key has moved",
			set: declaredSet().WithTeam(declarer.Team{
				Name: "weavers",
			}).WithKey(moved),
			unsent: arbiter.KeyMoved,
		},
		{
			name:   "the team may no longer use the service",
			set:    declaredSet().WithTeam(team),
			unsent: arbiter.TeamNotAllowed,
		},
		{
			name:   "the key is withdrawn",
			set:    declaredSet().WithKey(key("quilters", secret).WithWithdrawn()),
			unsent: arbiter.KeyWithdrawn,
			sent:   arbiter.KeyWithdrawn,
		},
		{
			name:   "the key is no longer declared",
			set:    removed,
			unsent: arbiter.KeyWithdrawn,
			sent:   arbiter.KeyWithdrawn,
		},
	}
	for _, c := range cases {
		plans, admit := newAdmitter(declaredSet(), start)
		admission, refusal := admit.Admit(admitter.Request{
			Host: "shopfront",
			Path: "/orders",
			Key:  secret,
			Now:  start.Add(time.Hour),
		})
		if refusal != nil {
			t.Fatal(refusal)
		}
		plans.Advance(*plans.Load().WithTable(router.New(2, c.set), start))
		if reason := reasonOf(admit.Recheck(admission, start)); reason != c.unsent {
			t.Errorf("%s: got reason %q for an unsent request, want %q", c.name, reason, c.unsent)
		}
		if reason := reasonOf(admit.RecheckSent(admission, start)); reason != c.sent {
			t.Errorf("%s: got reason %q for a sent request, want %q", c.name, reason, c.sent)
		}
	}
}

// reasonOf returns the reason of a refusal, or "" for none.
func reasonOf(refusal *arbiter.Refusal) arbiter.Reason {
	if refusal == nil {
		return ""
	}
	return refusal.Reason
}
