package steerer

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestQueueFiguresCountOnce passes figures of peers to the board of a leader. It guards against
// requests that are counted twice, as those of a member and in a sum, and against figures of
// another failure domain that count as those of this one.
func TestQueueFiguresCountOnce(t *testing.T) {
	// served returns figures with that many answered requests of priority 2.
	served := func(count int) scheduler.Figures {
		var counts scheduler.Counts
		counts[2] = scheduler.Count{
			Served: count,
			Full:   1,
		}
		return scheduler.Figures{
			"shopfront": counts,
		}
	}
	cases := []struct {
		name  string
		place string
		scope queueScope
		// domain and fleet are the answered requests that the leader then knows of, beside the
		// 100 of its own.
		domain int
		fleet  int
	}{
		{
			name:   "a member of the own domain",
			place:  "derby",
			scope:  queueScopeMember,
			domain: 20,
			fleet:  20,
		},
		{
			name:  "the leader of another domain",
			place: "corby",
			scope: queueScopeDomain,
			fleet: 20,
		},
		{
			name:  "a member of another domain",
			place: "corby",
			scope: queueScopeMember,
		},
		{
			name:  "a second leader of the own domain",
			place: "derby",
			scope: queueScopeDomain,
		},
		{
			name:  "the sum of all, which a second leader of the own domain tells",
			place: "derby",
			scope: queueScopeFleet,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			board := &queueBoard{}
			board.takeOwn("self", served(100), now)
			peer := registrar.Member{
				Incarnation: "peer",
				Place:       c.place,
			}
			for range 2 {
				board.receive(peer, "derby", newQueueFigures(c.scope, served(20)), now)
			}
			if got := board.board.DomainSum(now)["shopfront"][2].Served - 100; got != c.domain {
				t.Errorf("got %d more requests in the domain, want %d", got, c.domain)
			}
			if got := board.board.FleetSum(now)["shopfront"][2].Served - 100; got != c.fleet {
				t.Errorf("got %d more requests in the fleet, want %d", got, c.fleet)
			}
		})
	}
}
