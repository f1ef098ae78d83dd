package trier_test

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/trier"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

// The team "oldfield" of the built-in objects.
const (
	slowRate  = 4
	slowBurst = 4
)

// TestTeamLimitOverInstances sends far more requests than a slow team may make, to
// all instances and then to each alone. All together never admit more than the
// team's rate and burst, and an instance that owns no part of them borrows.
func TestTeamLimitOverInstances(t *testing.T) {
	cluster := start(t)
	targets := [][]*trier.Instance{cluster.Instances}
	for _, instance := range cluster.Instances {
		targets = append(targets, []*trier.Instance{instance})
	}
	const length = 2500 * time.Millisecond
	begun := time.Now()
	total := int64(0)
	for i, target := range targets {
		admitted := flood(t.Context(), target, length)
		total += admitted
		t.Logf("target %d: %d admitted", i, admitted)
		if least := int64(slowRate * length.Seconds() / 2); admitted < least {
			t.Errorf("target %d: %d admitted, want at least %d", i, admitted, least)
		}
	}
	if most := slowRate*time.Since(begun).Seconds() + slowBurst; float64(total) > most {
		t.Fatalf("%d admitted, the team's rate and burst allow %.1f", total, most)
	}
}

// flood sends requests from many callers for a while and counts the answered ones.
func flood(ctx context.Context, instances []*trier.Instance, length time.Duration) int64 {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var admitted atomic.Int64
	var group errgroup.Group
	for _, instance := range instances {
		for range 8 {
			caller := trier.NewCaller("shopfront", trier.KeyOf("oldfield-web"))
			group.Go(func() error {
				for ctx.Err() == nil {
					outcome := caller.Do(ctx, trier.Call{
						Instance: instance.CallerAddress(),
						Method:   http.MethodGet,
						Path:     "/orders/1",
					})
					if outcome.Status == http.StatusOK {
						admitted.Add(1)
					}
				}
				return nil
			})
		}
	}
	// The calls return no error.
	_ = group.Wait()
	return admitted.Load()
}

// TestDeadOwner kills the instance that owns the slow team's rate. Another takes
// its seat over, the team is served again at the other instances, and never more
// than its rate and burst allows.
func TestDeadOwner(t *testing.T) {
	cluster := start(t)
	team, _ := cluster.Set.Teams.Get("oldfield")
	owner := -1
	for index := range cluster.Instances {
		seat := splitter.Seat{
			Index: index,
			Of:    len(cluster.Instances),
		}
		if admitter.Part(team, seat).Burst > 0 {
			owner = index
		}
	}
	other := cluster.Instances[(owner+1)%len(cluster.Instances)]
	begun := time.Now()
	before := flood(t.Context(), []*trier.Instance{other}, 3*time.Second)
	cluster.Instances[owner].Kill()
	died := time.Now()
	inherited := trier.Await(t.Context(), 20*time.Second, func() bool {
		line, err := other.Operator.TimeLine(t.Context(), operator.Selection{})
		return err == nil && slices.ContainsFunc(line.Events, func(event recorder.Event) bool {
			return event.Kind == "SeatInherited"
		})
	})
	if !inherited {
		t.Fatal("nobody took the dead instance's seat over")
	}
	t.Logf("the seat was taken over after %s", time.Since(died))
	after := flood(t.Context(), []*trier.Instance{other}, 5*time.Second)
	if after < slowRate {
		t.Errorf("%d admitted in 5 s after the seat was taken over", after)
	}
	if most := slowRate*time.Since(begun).Seconds() + slowBurst; float64(before+after) > most {
		t.Fatalf("%d admitted, the team's rate and burst allow %.1f", before+after, most)
	}
}
