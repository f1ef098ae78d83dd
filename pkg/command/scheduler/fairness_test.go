package scheduler_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// TestWaitsThatEndDoNotCount guards against a team that gets less than its fair share of the
// slots because of requests of its own that waited and got none.
func TestWaitsThatEndDoNotCount(t *testing.T) {
	const (
		rounds = 400
		// patience is how many rounds a request waits.
		patience = 2
	)
	// The teams ask for 5 slots a round and get 2.25, of which a third is fair.
	asked := []struct {
		team  string
		count int
	}{
		{
			team:  "many",
			count: 3,
		},
		{
			team:  "one",
			count: 1,
		},
		{
			team:  "other",
			count: 1,
		},
	}
	const fair = rounds * 2.25 / 3
	start := time.Unix(1_000_000, 0)
	queue := scheduler.NewQueue[string](scheduler.Limits{
		Longest:   64,
		WaitShare: 1,
	}, scheduler.NewStartTimeFair)
	served := map[string]int{}
	for round := range rounds {
		now := start.Add(time.Duration(round) * time.Second)
		for _, asking := range asked {
			for range asking.count {
				request := scheduler.Request{
					Team:     asking.team,
					Arrived:  now,
					Deadline: now.Add(patience * time.Second),
				}
				room := scheduler.Room{
					At: now,
				}
				decision := queue.Decide(request, room, func(string) bool { return false }, now)
				queue.Add(request, decision, asking.team)
			}
		}
		slots := 2
		if round%4 == 0 {
			slots = 3
		}
		queue.Pass(now, func(waiter *scheduler.Waiter[string]) scheduler.Result {
			switch {
			case slots > 0:
				slots--
				served[waiter.Value]++
				return scheduler.Sent
			case !now.Before(waiter.Decision.Until):
				return scheduler.Left
			default:
				return scheduler.Stays
			}
		})
	}
	for _, asking := range asked {
		if got := served[asking.team]; float64(got) < 0.9*fair {
			t.Errorf("%s: got %d slots, want at least 0.9 of %.0f", asking.team, got, fair)
		}
	}
}
