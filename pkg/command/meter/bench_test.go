package meter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

// BenchmarkCount measures what counting adds to the path of a request.
func BenchmarkCount(b *testing.B) {
	now := time.Now()
	anchor := meter.Anchor{
		Read: now,
		True: now,
	}
	var counter meter.Counter
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			counter.Begin(meter.WindowAt(anchor.At(now), 5*time.Second), "team")
		}
	})
}
