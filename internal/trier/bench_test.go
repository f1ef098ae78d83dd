package trier_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/trier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// fleetOf declares a set of so many failure domains with one seat each.
func fleetOf(instances int) declarer.Document {
	set := declarer.Set{}.
		WithService(declarer.Service{
			Name:    "shopfront",
			Version: "v1",
		}).
		WithVersion(declarer.Version{
			Name:    "v1",
			Service: "shopfront",
			Upstreams: []declarer.Upstream{
				{
					Name:    "u1",
					Place:   "place-000",
					Address: "127.0.0.1:1",
					Slots:   4,
				},
			},
		})
	for i := range instances {
		set = set.WithPlace(declarer.Place{
			Name:   fmt.Sprintf("place-%03d", i),
			Region: fmt.Sprintf("region-%d", i/2),
			Seats:  1,
		})
	}
	for i := range 8 {
		set = set.WithTeam(declarer.Team{
			Name: fmt.Sprintf("team-%d", i),
		}.WithRate(100, 50))
	}
	return set.Document()
}

// idleFor is how long an idle fleet is watched.
const idleFor = 5 * time.Second

// BenchmarkIdleFleet measures what an idle fleet in one process spends on control:
// processor time and bytes to peers for each instance and second, store calls, and
// memory for each instance. The memory and processor time include the stand-ins'.
func BenchmarkIdleFleet(b *testing.B) {
	for _, instances := range []int{4, 12, 24, 48} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				watchIdle(b, instances)
			}
		})
	}
}

func watchIdle(b *testing.B, instances int) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	cluster, err := trier.Start(ctx, group, fleetOf(instances), zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	if _, err = cluster.Publish(ctx); err != nil {
		b.Fatal(err)
	}
	calls, bytes, cpu := cluster.Keeper.Calls(), sent(cluster), processorTime()
	time.Sleep(idleFor)
	perInstance := 1 / (idleFor.Seconds() * float64(instances))
	b.ReportMetric(float64(sent(cluster)-bytes)*perInstance, "B/s/instance")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()*perInstance, "%core/instance")
	now := cluster.Keeper.Calls()
	b.ReportMetric(float64(now.Reads-calls.Reads)*perInstance, "reads/s/instance")
	b.ReportMetric(float64(now.Watches-calls.Watches)*perInstance, "watches/s/instance")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/float64(instances)/1e6, "heap-MB/instance")
	cancel()
	if err = group.Wait(); err != nil {
		b.Fatal(err)
	}
}

func sent(cluster *trier.Cluster) uint64 {
	sum := uint64(0)
	for _, instance := range cluster.Instances {
		_, bytes := instance.Sent()
		sum += bytes
	}
	return sum
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
