package trier_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/internal/trier"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// forceLimit is how soon an accepted configuration is in force everywhere.
	forceLimit = time.Second
	// noticeLimit is how soon an outage shows, and how soon its end does.
	noticeLimit = 10 * time.Second
)

// withdrawal withdraws the key of the slow team.
var withdrawal = publisher.Change{
	Withdraw: []string{"oldfield-web"},
	By:       "test",
}

func storeLost(t *testing.T, instance *trier.Instance) bool {
	t.Helper()
	status, err := instance.Operator.Status(t.Context())
	return err == nil && !status.StoreLostSince.IsZero()
}

func inForce(t *testing.T, instance *trier.Instance, revision uint64) bool {
	t.Helper()
	status, err := instance.Operator.Status(t.Context())
	return err == nil && status.Revision >= revision
}

func order(t *testing.T, instance *trier.Instance, key string) trier.Outcome {
	t.Helper()
	return trier.NewCaller("shopfront", trier.KeyOf(key)).Order(t.Context(), trier.Call{
		Instance: instance.CallerAddress(),
		Method:   http.MethodPost,
		Path:     "/orders/1",
		Body:     "one quilt",
	})
}

// TestCutOffFromPlatform cuts one instance off from the platform. It goes on
// serving, and learns of a withdrawal from its peers as fast as the others.
func TestCutOffFromPlatform(t *testing.T) {
	cluster := start(t)
	cutOff, other := cluster.Instances[0], cluster.Instances[2]
	cutOff.CutPlatform(true)
	accepted, err := other.Operator.Change(t.Context(), withdrawal)
	if err != nil {
		t.Fatal(err)
	}
	if !trier.Await(t.Context(), forceLimit, func() bool { return inForce(t, cutOff, accepted.Revision) }) {
		t.Fatalf("revision %d is not in force where the platform cannot be reached", accepted.Revision)
	}
	if outcome := order(t, cutOff, "oldfield-web"); outcome.Reason != string(arbiter.KeyWithdrawn) {
		t.Errorf("withdrawn key: %+v", outcome)
	}
	if outcome := order(t, cutOff, "hartley-web"); outcome.Status != http.StatusOK {
		t.Errorf("another key: %+v", outcome)
	}
	if _, err = cutOff.Operator.Change(t.Context(), withdrawal); err == nil {
		t.Error("a change was accepted without the platform")
	}
}

// TestPlatformOutage takes the platform down for all. Orders go on, changes are
// refused, and the next change after the end is in force everywhere.
func TestPlatformOutage(t *testing.T) {
	cluster := start(t)
	cluster.Keeper.SetFaults(keeper.Faults{}.WithDown(true))
	lost := func() bool {
		for _, instance := range cluster.Instances {
			if !storeLost(t, instance) {
				return false
			}
		}
		return true
	}
	if !trier.Await(t.Context(), noticeLimit, lost) {
		t.Fatal("the outage does not show")
	}
	for _, instance := range cluster.Instances {
		if outcome := order(t, instance, "hartley-web"); outcome.Status != http.StatusOK {
			t.Errorf("order in %s: %+v", instance.Place, outcome)
		}
	}
	if _, err := cluster.Instances[0].Operator.Change(t.Context(), withdrawal); err == nil {
		t.Error("a change was accepted without the platform")
	}
	cluster.Keeper.SetFaults(keeper.Faults{})
	accepted, err := cluster.Instances[1].Operator.Change(t.Context(), withdrawal)
	if err != nil {
		t.Fatal(err)
	}
	everywhere := func() bool {
		for _, instance := range cluster.Instances {
			if !inForce(t, instance, accepted.Revision) {
				return false
			}
		}
		return true
	}
	if !trier.Await(t.Context(), forceLimit, everywhere) {
		t.Fatalf("revision %d is not in force everywhere", accepted.Revision)
	}
}

// TestLostAnswersOfThePlatform loses the answers to writes while a change is
// published and an instance stops. The change is reported as accepted once, and
// the seat is given back.
func TestLostAnswersOfThePlatform(t *testing.T) {
	cluster := start(t)
	cluster.Keeper.SetFaults(keeper.Faults{}.WithLoseAnswers(2))
	accepted, err := cluster.Instances[0].Operator.Change(t.Context(), withdrawal)
	if err != nil || accepted.Revision != 2 {
		t.Fatalf("%+v, %v", accepted, err)
	}
	cluster.Keeper.SetFaults(keeper.Faults{}.WithLoseAnswers(1))
	if err = cluster.Instances[0].Stop(); err != nil {
		t.Fatal(err)
	}
	object, err := cluster.Keeper.Get(context.Background(), "Seats/derby/0")
	if err != nil || len(object.Value) == 0 {
		t.Fatalf("%+v, %v", object, err)
	}
	gone := trier.Await(t.Context(), noticeLimit, func() bool {
		status, err := cluster.Instances[1].Operator.Status(t.Context())
		return err == nil && len(status.Peers) == 2
	})
	if !gone {
		t.Fatal("the stopped instance still holds a seat")
	}
}

// TestEditThroughThePlatform edits an object through the platform's own API. The
// edit is in force everywhere, and its status says so.
func TestEditThroughThePlatform(t *testing.T) {
	cluster := start(t)
	edit := []byte(`{"Name":"newcomer","RatePerSecond":10,"Burst":20}`)
	if _, err := cluster.Keeper.Put(t.Context(), "Specs/Team/newcomer", edit, storer.Always()); err != nil {
		t.Fatal(err)
	}
	accepted := func() bool {
		object, err := cluster.Keeper.Get(t.Context(), "Status/Team/newcomer")
		return err == nil && strings.Contains(string(object.Value), `"State": "Accepted"`)
	}
	if !trier.Await(t.Context(), noticeLimit, accepted) {
		t.Fatal("the status does not say that the edit was accepted")
	}
	everywhere := func() bool {
		for _, instance := range cluster.Instances {
			if !inForce(t, instance, 2) {
				return false
			}
		}
		return true
	}
	if !trier.Await(t.Context(), forceLimit, everywhere) {
		t.Fatal("the edit is not in force everywhere")
	}
}

// settledWatches returns how often the head was watched, once that has not grown
// for a while: a watch that has ended begins anew within milliseconds.
func settledWatches(t *testing.T, cluster *trier.Cluster) int {
	t.Helper()
	const quiet = 300 * time.Millisecond
	last := -1
	since := time.Now()
	settled := trier.Await(t.Context(), noticeLimit, func() bool {
		if now := cluster.Keeper.Calls().WatchesOf[publisher.HeadName]; now != last {
			last = now
			since = time.Now()
		}
		return time.Since(since) > quiet
	})
	if !settled {
		t.Fatal("the watches do not settle")
	}
	return last
}

// TestWatchersOfADomain runs four instances in each of four failure domains. Only
// two of each watch the platform, the others learn from them, and one takes over
// when both have gone.
func TestWatchersOfADomain(t *testing.T) {
	const seats, places = 4, 4
	cluster := start(t, trier.WithSeats(seats))
	first, err := cluster.Instances[0].Operator.Change(t.Context(), withdrawal)
	if err != nil {
		t.Fatal(err)
	}
	inForceOn := func(instances []*trier.Instance, revision uint64) bool {
		return trier.Await(t.Context(), forceLimit, func() bool {
			for _, instance := range instances {
				if !inForce(t, instance, revision) {
					return false
				}
			}
			return true
		})
	}
	if !inForceOn(cluster.Instances, first.Revision) {
		t.Fatalf("revision %d is not in force everywhere", first.Revision)
	}
	// Each change wakes the watches of the head, and each watcher then watches anew.
	before := settledWatches(t, cluster)
	second, err := cluster.Instances[0].Operator.Change(t.Context(), publisher.Change{
		Withdraw: []string{"hartley-web"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !inForceOn(cluster.Instances, second.Revision) {
		t.Fatalf("revision %d is not in force everywhere", second.Revision)
	}
	if woken := settledWatches(t, cluster) - before; woken > 2*places {
		t.Errorf("a change of the head woke %d watches, want at most two a domain", woken)
	}
	cluster.Instances[0].Kill()
	cluster.Instances[1].Kill()
	third, err := cluster.Instances[seats].Operator.Change(t.Context(), publisher.Change{
		Remove: []declarer.Reference{
			{
				Kind: declarer.KindKey,
				Name: "hartley-web",
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !inForceOn(cluster.Instances[2:], third.Revision) {
		t.Fatalf("revision %d is not in force on the instances that live", third.Revision)
	}
}
