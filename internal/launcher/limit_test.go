package launcher_test

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

// The rate per second and the burst of the team "oldfield" in objects.toml.
const (
	slowRate  = 4
	slowBurst = 4
)

// TestTeamLimitOverInstances sends far more requests than a slow team may make, to all
// instances at once and then to each alone. Together the instances must never admit more
// than the team's rate and burst, and an instance that owns no part of the limit must
// borrow.
func TestTeamLimitOverInstances(t *testing.T) {
	cluster := startCluster(t)
	targets := [][]*launcher.Instance{cluster.Instances}
	for _, instance := range cluster.Instances {
		targets = append(targets, []*launcher.Instance{instance})
	}
	const duration = 2500 * time.Millisecond
	started := time.Now()
	total := int64(0)
	for i, target := range targets {
		admitted := flood(t.Context(), target, duration)
		total += admitted
		t.Logf("flood %d, of %d instance(s): %d admitted", i, len(target), admitted)
		if least := int64(slowRate * duration.Seconds() / 2); admitted < least {
			t.Errorf("flood %d, of %d instance(s): got %d admitted in %s, want at least %d", i, len(target), admitted, duration, least)
		}
	}
	if most := slowRate*time.Since(started).Seconds() + slowBurst; float64(total) > most {
		t.Fatalf("got %d admitted, want at most %.1f by the team's rate and burst", total, most)
	}
}

// flood sends requests to each instance from 8 callers without pause for a while, and
// counts those that were answered with status 200.
func flood(ctx context.Context, instances []*launcher.Instance, duration time.Duration) int64 {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var admitted atomic.Int64
	var group errgroup.Group
	for _, instance := range instances {
		for range 8 {
			caller := launcher.NewCaller("shopfront", launcher.KeyOf("oldfield-web"))
			group.Go(func() error {
				for ctx.Err() == nil {
					outcome := caller.Do(ctx, launcher.Call{
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
	// The functions of the group return no error.
	_ = group.Wait()
	return admitted.Load()
}

// TestDeadOwner kills the holder of the seat that owns the slow team's limit. Another
// instance must take the seat over, so that the team is served again at the remaining
// instances, and all together must never admit more than the team's rate and burst.
func TestDeadOwner(t *testing.T) {
	cluster := startCluster(t)
	team, _ := cluster.Set.Teams.Get("oldfield")
	holder := -1
	for index := range cluster.Instances {
		seat := splitter.Seat{
			Index: index,
			Count: len(cluster.Instances),
		}
		if admitter.SeatLimit(team, seat).Burst > 0 {
			holder = index
		}
	}
	other := cluster.Instances[(holder+1)%len(cluster.Instances)]
	started := time.Now()
	before := flood(t.Context(), []*launcher.Instance{other}, 3*time.Second)
	cluster.Instances[holder].Kill()
	died := time.Now()
	takenOver := launcher.Await(t.Context(), 20*time.Second, func() bool {
		timeline, err := other.Operator.Timeline(t.Context(), operator.EventSelection{})
		return err == nil && slices.ContainsFunc(timeline.Events, func(event recorder.Event) bool {
			return event.Kind == "SeatInherited"
		})
	})
	if !takenOver {
		t.Fatal("no instance took over the seat of the killed instance within 20 s")
	}
	t.Logf("the seat was taken over after %s", time.Since(died))
	after := flood(t.Context(), []*launcher.Instance{other}, 5*time.Second)
	if after < slowRate {
		t.Errorf("got %d admitted in %s in 5 s after the seat was taken over, want at least %d", after, other.Place, slowRate)
	}
	if most := slowRate*time.Since(started).Seconds() + slowBurst; float64(before+after) > most {
		t.Fatalf("got %d admitted, want at most %.1f by the team's rate and burst", before+after, most)
	}
}
