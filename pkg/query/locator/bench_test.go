package locator_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/locator"
)

const (
	// designBlocks and designSites are the size of the largest deployment that the table
	// is designed for.
	designBlocks = 4_000_000
	designSites  = 570
)

// scatteredBlocks returns distinct /24 blocks spread over the IPv4 address space. No two
// adjacent blocks have the same site, which takes the most memory.
func scatteredBlocks(count int) []locator.Block {
	blocks := make([]locator.Block, 0, count)
	stride := uint32(1<<24) / uint32(count)
	for i := range uint32(count) {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], i*stride<<8)
		blocks = append(blocks, locator.Block{
			Prefix: netip.PrefixFrom(netip.AddrFrom4(raw), 24),
			Site:   uint16(i % designSites),
		})
	}
	return blocks
}

func randomClient(random *rand.Rand) netip.Addr {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], random.Uint32())
	return netip.AddrFrom4(raw)
}

// TestDesignSizeFitsMemory checks that a table of the design size stays within a limit of
// heap memory.
func TestDesignSizeFitsMemory(t *testing.T) {
	const limitBytes = 48_000_000
	blocks := scatteredBlocks(designBlocks)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := locator.NewBlocks(blocks)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	if held > limitBytes {
		t.Fatalf("%d ranges: got %d bytes of heap, want at most %d", table.Len(), held, limitBytes)
	}
	t.Logf("%d ranges take %d bytes of heap", table.Len(), held)
	runtime.KeepAlive(blocks)
	runtime.KeepAlive(table)
}

func BenchmarkSite(b *testing.B) {
	table := locator.NewBlocks(scatteredBlocks(designBlocks))
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(1, rand.Uint64()))
		for pb.Next() {
			if table.Site(randomClient(random)) == locator.NoSite-1 {
				b.Fail()
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "look-ups/s")
}
