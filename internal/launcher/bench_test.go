package launcher_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// documentFor declares one failure domain with one seat for each instance.
func documentFor(instances int) declarer.Document {
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

// measureTime is how long an idle cluster is measured.
const measureTime = 5 * time.Second

// BenchmarkIdleCluster measures the control overhead of an idle cluster in one process:
// processor time, bytes sent to peers and store calls by instance and second, and memory
// by instance. Processor time and memory include those of the fake platform and
// upstreams.
func BenchmarkIdleCluster(b *testing.B) {
	for _, instances := range []int{4, 12, 24, 48} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, instances)
			}
		})
	}
}

// measureIdle runs a cluster of that many instances, measures it for measureTime and
// reports the metrics.
func measureIdle(b *testing.B, instances int) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	cluster, err := launcher.Start(ctx, group, documentFor(instances), zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	if _, err = cluster.Publish(ctx); err != nil {
		b.Fatal(err)
	}
	callsBefore, bytesBefore, timeBefore := cluster.Store.Calls(), bytesToPeers(cluster), processorTime()
	time.Sleep(measureTime)
	perInstance := 1 / (measureTime.Seconds() * float64(instances))
	b.ReportMetric(float64(bytesToPeers(cluster)-bytesBefore)*perInstance, "B/s/instance")
	b.ReportMetric(100*(processorTime()-timeBefore).Seconds()*perInstance, "%core/instance")
	calls := cluster.Store.Calls()
	b.ReportMetric(float64(calls.Reads-callsBefore.Reads)*perInstance, "reads/s/instance")
	b.ReportMetric(float64(calls.Watches-callsBefore.Watches)*perInstance, "watches/s/instance")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/float64(instances)/1e6, "heap-MB/instance")
	cancel()
	if err = group.Wait(); err != nil {
		b.Fatal(err)
	}
}

// bytesToPeers returns how many bytes all instances have sent to their peers.
func bytesToPeers(cluster *launcher.Cluster) uint64 {
	sum := uint64(0)
	for _, instance := range cluster.Instances {
		_, bytes := instance.SentToPeers()
		sum += bytes
	}
	return sum
}

// processorTime returns the user and system time that the process has used, or 0 if it
// is unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
