package locator_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/registrar"
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

// BenchmarkNew measures a new locator after one change of the available instances.
func BenchmarkNew(b *testing.B) {
	cases := []struct {
		instances int
		places    int
	}{
		{
			instances: 12,
			places:    6,
		},
		{
			instances: 195,
			places:    9,
		},
		{
			instances: 2000,
			places:    76,
		},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("%d instances", c.instances), func(b *testing.B) {
			source := spreadInstances(c.instances, c.places)
			for b.Loop() {
				locator.New(source)
			}
		})
	}
}

// spreadInstances returns a source with instances in failure domains of three regions.
func spreadInstances(instances, places int) locator.Source {
	regions := []string{"east", "west", "south"}
	declared := make([]declarer.Place, 0, places)
	for i := range places {
		declared = append(declared, declarer.Place{
			Name:   fmt.Sprintf("place-%d", i),
			Region: regions[i%len(regions)],
		})
	}
	source := locator.Source{
		Generation:  1,
		Revision:    1,
		Home:        declared[0].Name,
		ValidMillis: 2000,
	}
	for i := range instances {
		source.Members = append(source.Members, registrar.Member{
			Incarnation:   fmt.Sprintf("entry-%d/1", i),
			Name:          fmt.Sprintf("entry-%d", i),
			Place:         declared[i%places].Name,
			CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		})
	}
	source.Set = declarer.Set{}.WithPlaces(declarer.NewTable(declared...))
	source.Blocks = locator.DeclaredBlocks(source.Set)
	return source
}
