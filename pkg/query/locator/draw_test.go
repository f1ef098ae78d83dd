package locator_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// The two kinds of machines of a deployment with uneven machines.
var (
	largeMachine = registrar.Capacity{
		Cores:       0.8,
		LinkMbits:   200,
		MemoryMB:    536,
		Descriptors: 8192,
	}
	smallMachine = registrar.Capacity{
		Cores:       0.112,
		LinkMbits:   10,
		MemoryMB:    136,
		Descriptors: 2870,
	}
)

// unevenSource returns a source of one failure domain in which the first instances have large
// machines, then come small ones and last those without a capacity.
func unevenSource(large, small, unknown int) locator.Source {
	set := declarer.Set{}.WithPlace(declarer.Place{
		Name:   "derby",
		Region: "east",
	})
	source := locator.Source{
		Set:         set,
		Blocks:      locator.DeclaredBlocks(set),
		Home:        "derby",
		ValidMillis: 2000,
	}
	for i := range large + small + unknown {
		capacity := registrar.Capacity{}
		switch {
		case i < large:
			capacity = largeMachine
		case i < large+small:
			capacity = smallMachine
		}
		source.Members = append(source.Members, registrar.Member{
			Incarnation:   fmt.Sprintf("entry-%02d", i),
			Place:         "derby",
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", i+1),
			Capacity:      capacity,
		})
	}
	return source
}

// callerNumber returns the address of a caller.
func callerNumber(i int) netip.Addr {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], 0x0a010000+uint32(i))
	return netip.AddrFrom4(raw)
}

const callers = 20_000

// connectionShares returns the share of the callers' connections that each instance gets, if
// each caller picks one address of its answer at random, and the fewest entries of an answer.
func connectionShares(subject *locator.Locator) (shares map[string]float64, fewest int) {
	shares = map[string]float64{}
	fewest = math.MaxInt
	for i := range callers {
		entries := subject.Nearest("derby", callerNumber(i), time.Now()).Entries
		fewest = min(fewest, len(entries))
		for _, entry := range entries {
			shares[entry.Incarnation] += 1 / float64(len(entries)) / callers
		}
	}
	return shares, fewest
}

// TestConnectionsFollowCapacities guards against small machines that get as many callers as
// large ones, and against answers from which a caller cannot lose an instance.
func TestConnectionsFollowCapacities(t *testing.T) {
	cases := []struct {
		name                  string
		large, small, unknown int
		saturated             []string
		// first and last are the shares of the first and the last instance.
		first, last float64
		fewest      int
	}{
		{
			// The scarcest resource of a large machine is 2.26 times the mean, of a small one
			// 0.28 times. A quarter is the most that an answer of four gives to one.
			name:   "two large machines and thirteen small ones",
			large:  2,
			small:  13,
			first:  0.2475,
			last:   0.0388,
			fewest: locator.DrawnEntries,
		},
		{
			name:   "half of the machines are large",
			large:  10,
			small:  10,
			first:  0.0940,
			last:   0.0060,
			fewest: locator.DrawnEntries,
		},
		{
			name:    "machines without a capacity count as the mean",
			large:   4,
			small:   8,
			unknown: 8,
			first:   0.109,
			last:    0.0619,
			fewest:  locator.DrawnEntries,
		},
		{
			name:   "equal machines",
			small:  10,
			first:  0.1,
			last:   0.1,
			fewest: 10,
		},
		{
			name:    "unknown machines",
			unknown: 17,
			first:   1.0 / 17,
			last:    1.0 / 17,
			fewest:  17,
		},
		{
			name:   "more machines than an answer holds",
			small:  100,
			first:  0.01,
			last:   0.01,
			fewest: 64,
		},
		{
			// Nine of ten others share the rest; a caller keeps all of them.
			name:      "one of ten equal machines is saturated",
			small:     10,
			saturated: []string{"entry-09"},
			first:     0.1083,
			last:      0.025,
			fewest:    9,
		},
		{
			name:      "all are saturated",
			small:     3,
			saturated: []string{"entry-00", "entry-01", "entry-02"},
			first:     1.0 / 3,
			last:      1.0 / 3,
			fewest:    3,
		},
	}
	const tolerance = 0.15
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			source := unevenSource(c.large, c.small, c.unknown)
			source.Saturated = c.saturated
			shares, fewest := connectionShares(locator.New(source))
			if fewest != c.fewest {
				t.Errorf("got an answer with %d instances, want at least %d", fewest, c.fewest)
			}
			last := source.Members[len(source.Members)-1].Incarnation
			for _, want := range []struct {
				incarnation string
				share       float64
			}{
				{
					incarnation: "entry-00",
					share:       c.first,
				},
				{
					incarnation: last,
					share:       c.last,
				},
			} {
				if got := shares[want.incarnation]; math.Abs(got-want.share) > tolerance*want.share {
					t.Errorf("%s: got a share of %.4f of the connections, want %.4f", want.incarnation, got, want.share)
				}
			}
		})
	}
}

// TestCallersKeepTheirInstances guards against answers that change for callers whom the loss
// of an instance does not concern: they would close their connections.
func TestCallersKeepTheirInstances(t *testing.T) {
	source := unevenSource(2, 13, 0)
	before := locator.New(source)
	lost := source.Members[5].Incarnation
	source.Members = slices.Delete(slices.Clone(source.Members), 5, 6)
	after := locator.New(source)
	kept, all := 0, 0
	for i := range callers {
		entries := after.Nearest("derby", callerNumber(i), time.Now()).Entries
		for _, entry := range before.Nearest("derby", callerNumber(i), time.Now()).Entries {
			if entry.Incarnation == lost {
				continue
			}
			all++
			if slices.Contains(entries, entry) {
				kept++
			}
		}
	}
	if got := float64(kept) / float64(all); got < 0.99 {
		t.Fatalf("got %.3f of the remaining instances kept by their callers, want 0.99", got)
	}
}

// TestCrowdedAddress guards against answers that name the same few instances to all callers
// behind one address, and against wide answers to a single caller.
func TestCrowdedAddress(t *testing.T) {
	cases := []struct {
		name      string
		perSecond int
		shared    bool
	}{
		{
			name:      "a caller of two hosts",
			perSecond: 1,
		},
		{
			name:      "many callers",
			perSecond: 6,
			shared:    true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			crowd := &locator.Crowd{}
			start := time.Unix(1_000_000, 0)
			shared := 0
			const seconds = 30
			for i := range seconds * c.perSecond {
				now := start.Add(time.Duration(i) * time.Second / time.Duration(c.perSecond))
				if now.Sub(start) >= 4*time.Second && crowd.Record(callerNumber(1), now) == c.shared {
					shared++
				} else if now.Sub(start) < 4*time.Second {
					crowd.Record(callerNumber(1), now)
					shared++
				}
			}
			if shared != seconds*c.perSecond {
				t.Fatalf("got %d of %d look-ups judged right, want all", shared, seconds*c.perSecond)
			}
			if crowd.Record(callerNumber(1), start.Add(time.Hour)) {
				t.Fatal("an hour later: got a shared address, want none")
			}
		})
	}
}

func BenchmarkNearest(b *testing.B) {
	subject := locator.New(unevenSource(2, 24, 0))
	crowd := &locator.Crowd{}
	now := time.Now()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		caller := callerNumber(i % callers)
		crowd.Record(caller, now)
		if len(subject.Nearest("derby", caller, now).Entries) != locator.DrawnEntries {
			b.Fail()
		}
	}
}
