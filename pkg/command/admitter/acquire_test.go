package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// benchmarkAffinities are the choices that the benchmark compares.
var benchmarkAffinities = []struct {
	name     string
	affinity admitter.Affinity
}{
	{
		name: "choices",
		affinity: admitter.Affinity{
			OtherRegion: 0.2,
			Choices:     2,
			FreeLoad:    1,
			LoadWeight:  0.2,
		},
	},
	{
		name: "copies",
		affinity: admitter.Affinity{
			OtherRegion:        0.2,
			Choices:            2,
			FreeLoad:           1,
			LoadWeight:         0.2,
			ObjectsPerUpstream: 16,
			MaxCopies:          4,
			CountedObjects:     128,
		},
	},
}

// newLargeAdmitter returns an admitter for a service with 176 upstreams in three regions.
func newLargeAdmitter(affinity admitter.Affinity, now time.Time) *admitter.Admitter {
	set := declarer.Set{}.WithService(declarer.Service{
		Name:       "shopfront",
		Registered: true,
	}).WithRoute(declarer.Route{
		Name:   "orders",
		Host:   "shopfront",
		Prefix: "/",
		Open:   true,
		Sticky: true,
	}.WithBackends(declarer.Backend{
		Service: "shopfront",
		Weight:  1,
	}))
	version := declarer.Version{
		Name:    "shopfront@1",
		Service: "shopfront",
	}
	for i, count := range []int{43, 43, 9, 9, 36, 36} {
		place := declarer.Place{
			Name:   fmt.Sprint("place-", i),
			Region: fmt.Sprint("region-", i/2),
		}
		set = set.WithPlace(place)
		for j := range count {
			version.Upstreams = append(version.Upstreams, declarer.Upstream{
				Name:    fmt.Sprint("u-", i, "-", j),
				Place:   place.Name,
				Address: fmt.Sprintf("10.0.%d.%d:80", i, j),
				Slots:   4,
			})
		}
	}
	plans := holder.New[admitter.Plan]()
	plan := admitter.InitialPlan("place-0", "entry-1").WithAffinity(affinity)
	plans.Advance(*plan.WithTable(router.New(1, set.WithVersion(version)), now))
	return admitter.New(plans, admitter.NewFreshness(now))
}

// acquireOne admits a request for an object and takes and releases a slot for it.
func acquireOne(tb testing.TB, admit *admitter.Admitter, object string, now time.Time) {
	admission, refusal := admit.Admit(admitter.Request{
		Host:   "shopfront",
		Path:   "/orders/17",
		Method: "GET",
		Object: object,
		Now:    now,
	})
	if refusal != nil {
		tb.Fatal(refusal)
	}
	upstream, refusal := admission.Acquire(now, 1, nil)
	if refusal != nil {
		tb.Fatal(refusal)
	}
	upstream.Release()
}

// TestAcquireAllocatesNothing guards against a choice that allocates for each request.
func TestAcquireAllocatesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range benchmarkAffinities {
		admit := newLargeAdmitter(c.affinity, now)
		allocations := testing.AllocsPerRun(100, func() { acquireOne(t, admit, "object 7", now) })
		if allocations != 0 {
			t.Errorf("%s: got %v allocations per request, want 0", c.name, allocations)
		}
	}
}

func BenchmarkAcquire(b *testing.B) {
	now := time.Unix(1000, 0)
	objects := make([]string, 327)
	for i := range objects {
		objects[i] = fmt.Sprint("object ", i)
	}
	for _, c := range benchmarkAffinities {
		b.Run(c.name, func(b *testing.B) {
			admit := newLargeAdmitter(c.affinity, now)
			b.ReportAllocs()
			for i := range b.N {
				acquireOne(b, admit, objects[i%len(objects)], now)
			}
		})
	}
}
