package launcher_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// propagationLimit is how soon an accepted configuration must be in force on all
	// instances.
	propagationLimit = time.Second
	// noticeLimit is how soon the beginning and the end of an outage must show in the
	// status.
	noticeLimit = 10 * time.Second
)

// withdrawal withdraws the key of the team "oldfield".
var withdrawal = publisher.Change{
	Withdraw: []string{"oldfield-web"},
	By:       "test",
}

// storeLost reports whether the instance's status shows that the store is lost.
func storeLost(t *testing.T, instance *launcher.Instance) bool {
	t.Helper()
	status, err := instance.Operator.Status(t.Context())
	return err == nil && !status.StoreLostSince.IsZero()
}

// inForce reports whether the instance has at least that revision in force.
func inForce(t *testing.T, instance *launcher.Instance, revision uint64) bool {
	t.Helper()
	status, err := instance.Operator.Status(t.Context())
	return err == nil && status.Revision >= revision
}

// sendOrder sends an order to an instance with the plain key of a declared key.
func sendOrder(t *testing.T, instance *launcher.Instance, key string) launcher.Outcome {
	t.Helper()
	return launcher.NewCaller("shopfront", launcher.KeyOf(key)).DoWhileOverRate(t.Context(), launcher.Call{
		Instance: instance.CallerAddress(),
		Method:   http.MethodPost,
		Path:     "/orders/1",
		Body:     "one quilt",
	})
}

// TestCutOffFromPlatform partitions one instance from the platform. It must continue to
// serve, receive the withdrawal of a key from its peers as soon as the others, and refuse
// changes.
func TestCutOffFromPlatform(t *testing.T) {
	cluster := startCluster(t)
	partitioned, other := cluster.Instances[0], cluster.Instances[2]
	partitioned.SetPartitioned(true)
	accepted, err := other.Operator.Change(t.Context(), withdrawal)
	if err != nil {
		t.Fatal(err)
	}
	if !launcher.Await(t.Context(), propagationLimit, func() bool { return inForce(t, partitioned, accepted.Revision) }) {
		t.Fatalf("revision %d is not in force on the partitioned instance within %s", accepted.Revision, propagationLimit)
	}
	if outcome := sendOrder(t, partitioned, "oldfield-web"); outcome.Reason != string(arbiter.KeyWithdrawn) {
		t.Errorf("order with the withdrawn key: got %+v, want reason %s", outcome, arbiter.KeyWithdrawn)
	}
	if outcome := sendOrder(t, partitioned, "hartley-web"); outcome.Status != http.StatusOK {
		t.Errorf("order with another key: got %+v, want status 200", outcome)
	}
	if _, err = partitioned.Operator.Change(t.Context(), withdrawal); err == nil {
		t.Error("withdrawal of oldfield-web at the partitioned instance: accepted, want an error")
	}
}

// TestPlatformOutage takes the platform down for all instances. Orders must still be
// served and changes refused, and the first change after the outage must be in force on
// all instances.
func TestPlatformOutage(t *testing.T) {
	cluster := startCluster(t)
	cluster.Store.SetFaults(memstorer.Faults{}.WithDown(true))
	lostEverywhere := func() bool {
		for _, instance := range cluster.Instances {
			if !storeLost(t, instance) {
				return false
			}
		}
		return true
	}
	if !launcher.Await(t.Context(), noticeLimit, lostEverywhere) {
		t.Fatalf("the status of at least one of %d instances does not show the outage within %s", len(cluster.Instances), noticeLimit)
	}
	for _, instance := range cluster.Instances {
		if outcome := sendOrder(t, instance, "hartley-web"); outcome.Status != http.StatusOK {
			t.Errorf("order in %s: got %+v, want status 200", instance.Place, outcome)
		}
	}
	if _, err := cluster.Instances[0].Operator.Change(t.Context(), withdrawal); err == nil {
		t.Error("withdrawal of oldfield-web while the platform was unreachable: accepted, want an error")
	}
	cluster.Store.SetFaults(memstorer.Faults{})
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
	if !launcher.Await(t.Context(), propagationLimit, everywhere) {
		t.Fatalf("revision %d is not in force on all instances within %s", accepted.Revision, propagationLimit)
	}
}

// TestWritesWithLostAnswersCountOnce loses the platform's answers to writes that took
// effect, while a change is published and while an instance stops. The change must be
// accepted exactly once, as revision 2, and the stopped instance must return its seat.
func TestWritesWithLostAnswersCountOnce(t *testing.T) {
	cluster := startCluster(t)
	cluster.Store.SetFaults(memstorer.Faults{}.WithLoseAnswers(2))
	accepted, err := cluster.Instances[0].Operator.Change(t.Context(), withdrawal)
	if err != nil || accepted.Revision != 2 {
		t.Fatalf("change: got %+v, error %v, want revision 2", accepted, err)
	}
	cluster.Store.SetFaults(memstorer.Faults{}.WithLoseAnswers(1))
	if err = cluster.Instances[0].Stop(); err != nil {
		t.Fatal(err)
	}
	object, err := cluster.Store.Get(context.Background(), "Seats/derby/0")
	if err != nil || len(object.Value) == 0 {
		t.Fatalf("Seats/derby/0: got %+v, error %v, want a value", object, err)
	}
	removed := launcher.Await(t.Context(), noticeLimit, func() bool {
		status, err := cluster.Instances[1].Operator.Status(t.Context())
		return err == nil && len(status.Peers) == 2
	})
	if !removed {
		t.Fatalf("the stopped instance still counts among the peers of %s after %s", cluster.Instances[1].Place, noticeLimit)
	}
}

// TestEditOnThePlatformComesIntoForce writes an object through the platform's own API.
// The edit must be in force on all instances, and the status object must say that it
// was accepted.
func TestEditOnThePlatformComesIntoForce(t *testing.T) {
	cluster := startCluster(t)
	edit := []byte(`{"Name":"newcomer","RatePerSecond":10,"Burst":20}`)
	if _, err := cluster.Store.Put(t.Context(), "Specs/Team/newcomer", edit, storer.Always()); err != nil {
		t.Fatal(err)
	}
	accepted := func() bool {
		object, err := cluster.Store.Get(t.Context(), "Status/Team/newcomer")
		return err == nil && strings.Contains(string(object.Value), `"State": "Accepted"`)
	}
	if !launcher.Await(t.Context(), noticeLimit, accepted) {
		t.Fatalf("Status/Team/newcomer does not hold the state Accepted within %s", noticeLimit)
	}
	everywhere := func() bool {
		for _, instance := range cluster.Instances {
			if !inForce(t, instance, 2) {
				return false
			}
		}
		return true
	}
	if !launcher.Await(t.Context(), propagationLimit, everywhere) {
		t.Fatalf("the edit, revision 2, is not in force on all instances within %s", propagationLimit)
	}
}

// stableWatchCount waits until the number of watch calls for the head has not grown for
// 300 ms, and returns it. That is long enough, as a watcher whose watch has ended calls
// again within milliseconds.
func stableWatchCount(t *testing.T, cluster *launcher.Cluster) int {
	t.Helper()
	const quiet = 300 * time.Millisecond
	last := -1
	since := time.Now()
	stable := launcher.Await(t.Context(), noticeLimit, func() bool {
		if now := cluster.Store.Calls().WatchesOf[publisher.HeadName]; now != last {
			last = now
			since = time.Now()
		}
		return time.Since(since) > quiet
	})
	if !stable {
		t.Fatalf("the number of watch calls still grows after %s, at %d", noticeLimit, last)
	}
	return last
}

// TestWatchersOfADomain runs four instances in each of four failure domains. Only two of
// each may watch the platform, and the others receive changes from them. After both have
// been killed, another instance must take over.
func TestWatchersOfADomain(t *testing.T) {
	const seats, places = 4, 4
	cluster := startCluster(t, launcher.WithSeats(seats))
	first, err := cluster.Instances[0].Operator.Change(t.Context(), withdrawal)
	if err != nil {
		t.Fatal(err)
	}
	inForceOn := func(instances []*launcher.Instance, revision uint64) bool {
		return launcher.Await(t.Context(), propagationLimit, func() bool {
			for _, instance := range instances {
				if !inForce(t, instance, revision) {
					return false
				}
			}
			return true
		})
	}
	if !inForceOn(cluster.Instances, first.Revision) {
		t.Fatalf("revision %d is not in force on all instances within %s", first.Revision, propagationLimit)
	}
	// Each change ends the watches of the head, and each watcher then starts another.
	before := stableWatchCount(t, cluster)
	second, err := cluster.Instances[0].Operator.Change(t.Context(), publisher.Change{
		Withdraw: []string{"hartley-web"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !inForceOn(cluster.Instances, second.Revision) {
		t.Fatalf("revision %d is not in force on all instances within %s", second.Revision, propagationLimit)
	}
	if watches := stableWatchCount(t, cluster) - before; watches > 2*places {
		t.Errorf("a change of the head caused %d watch calls, want at most %d, two for each failure domain", watches, 2*places)
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
		t.Fatalf("revision %d is not in force on the remaining instances within %s", third.Revision, propagationLimit)
	}
}
