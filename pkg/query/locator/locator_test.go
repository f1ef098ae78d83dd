package locator_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

func block(prefix string, site uint16) locator.Block {
	return locator.Block{
		Prefix: netip.MustParsePrefix(prefix),
		Site:   site,
	}
}

func TestLongestBlockWins(t *testing.T) {
	blocks := locator.NewBlocks([]locator.Block{
		block("10.0.0.0/8", 1),
		block("10.1.0.0/16", 2),
		block("10.1.255.0/24", 3),
		block("255.255.0.0/16", 4),
		block("2001:db8::/32", 5),
		block("2001:db8:1::/48", 6),
	})
	cases := []struct {
		client string
		site   uint16
	}{
		{
			client: "9.255.255.255",
			site:   locator.NoSite,
		},
		{
			client: "10.0.0.0",
			site:   1,
		},
		{
			client: "10.1.0.1",
			site:   2,
		},
		{
			client: "10.1.255.7",
			site:   3,
		},
		{
			client: "10.2.0.0",
			site:   1,
		},
		{
			client: "11.0.0.0",
			site:   locator.NoSite,
		},
		{
			client: "255.255.255.255",
			site:   4,
		},
		{
			client: "::ffff:10.1.0.1",
			site:   2,
		},
		{
			client: "2001:db8:1::5",
			site:   6,
		},
		{
			client: "2001:db8:2::5",
			site:   5,
		},
		{
			client: "2001:db9::",
			site:   locator.NoSite,
		},
	}
	for _, c := range cases {
		if site := blocks.Site(netip.MustParseAddr(c.client)); site != c.site {
			t.Errorf("%s: got site %d, want %d", c.client, site, c.site)
		}
	}
}

// TestBlocksMatchLinearSearch compares the table with a linear search through all
// prefixes, on seeded random sets of nested blocks.
func TestBlocksMatchLinearSearch(t *testing.T) {
	const seeds = 500
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 5))
		var declared []locator.Block
		for site := range uint16(40) {
			bits := 1 + random.IntN(32)
			prefix := netip.PrefixFrom(nestedAddress(random), bits).Masked()
			if !slices.ContainsFunc(declared, func(b locator.Block) bool { return b.Prefix == prefix }) {
				declared = append(declared, locator.Block{
					Prefix: prefix,
					Site:   site,
				})
			}
		}
		blocks := locator.NewBlocks(declared)
		for range 200 {
			client := nestedAddress(random)
			if got, want := blocks.Site(client), linearSearch(declared, client); got != want {
				t.Fatalf("seed %d: %s: got site %d, want %d", seed, client, got, want)
			}
		}
	}
}

// nestedAddress returns a random address of a few networks, so that blocks nest and
// contain clients.
func nestedAddress(random *rand.Rand) netip.Addr {
	return netip.AddrFrom4([4]byte{
		byte(10 + random.IntN(2)),
		byte(random.IntN(3)),
		byte(random.IntN(256)),
		byte(random.IntN(256)),
	})
}

func linearSearch(declared []locator.Block, client netip.Addr) uint16 {
	site, bits := locator.NoSite, -1
	for _, b := range declared {
		if b.Prefix.Contains(client) && b.Prefix.Bits() > bits {
			site, bits = b.Site, b.Prefix.Bits()
		}
	}
	return site
}

// fourPlaces returns a source with four failure domains in three regions and one or two
// instances in each.
func fourPlaces() locator.Source {
	links := []declarer.Link{
		{
			Region:        "west",
			LatencyMillis: 55,
		},
		{
			Region:        "south",
			LatencyMillis: 20,
		},
	}
	set := declarer.Set{}.
		WithService(declarer.Service{
			Name:  "shopfront",
			Hosts: []string{"shop.example"},
		}).
		WithPlace(declarer.Place{
			Name:         "derby",
			Region:       "east",
			ClientBlocks: []string{"10.1.0.0/16"},
			Links:        links,
		}).
		WithPlace(declarer.Place{
			Name:   "lincoln",
			Region: "east",
			Links:  links,
		}).
		WithPlace(declarer.Place{
			Name:   "worcester",
			Region: "west",
		}).
		WithPlace(declarer.Place{
			Name:   "corby",
			Region: "south",
		})
	var members []registrar.Member
	for _, name := range []string{"worcester-1", "corby-1", "lincoln-1", "derby-2", "derby-1"} {
		members = append(members, registrar.Member{
			Incarnation:   name,
			Place:         strings.Split(name, "-")[0],
			CallerAddress: name,
		})
	}
	return locator.Source{
		Generation:  1,
		Revision:    7,
		Set:         set,
		Blocks:      locator.DeclaredBlocks(set),
		Members:     members,
		Home:        "worcester",
		ValidMillis: 5000,
	}
}

func incarnations(entries []locator.Entry) string {
	var out []string
	for _, entry := range entries {
		out = append(out, entry.Incarnation)
	}
	return strings.Join(out, " ")
}

func TestLocate(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		question locator.Question
		entries  string
	}{
		{
			name: "nearest first",
			question: locator.Question{
				Service: "shopfront",
				Client:  netip.MustParseAddr("10.1.0.9"),
			},
			entries: "derby-1 derby-2 lincoln-1 corby-1",
		},
		{
			name: "equally near instances rotate",
			question: locator.Question{
				Service: "shop.example",
				Client:  netip.MustParseAddr("10.1.0.9"),
				Random:  1,
			},
			entries: "derby-2 derby-1 lincoln-1 corby-1",
		},
		{
			name: "a client outside of all blocks gets the instances nearest to home",
			question: locator.Question{
				Service: "shopfront",
				Client:  netip.MustParseAddr("192.0.2.1"),
			},
			entries: "worcester-1 corby-1 derby-1 derby-2",
		},
	}
	subject := locator.New(fourPlaces())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.question.Now = now
			answer, found := subject.Locate(c.question)
			if !found || incarnations(answer.Entries) != c.entries {
				t.Fatalf("got %q, want %q", incarnations(answer.Entries), c.entries)
			}
			if !answer.ValidUntil.Equal(now.Add(5*time.Second)) || answer.Revision != 7 {
				t.Fatalf("got %+v, want revision 7 and validity until %s", answer, now.Add(5*time.Second))
			}
		})
	}
	if _, found := subject.Locate(locator.Question{Service: "other"}); found {
		t.Fatal("service other: got an answer, want none")
	}
}

func TestLocateAllocatesNothing(t *testing.T) {
	subject := locator.New(fourPlaces())
	question := locator.Question{
		Service: "shopfront",
		Client:  netip.MustParseAddr("10.1.0.9"),
		Now:     time.Now(),
	}
	allocations := testing.AllocsPerRun(1000, func() {
		if _, found := subject.Locate(question); !found {
			t.Fatalf("service %s: got no answer, want one", question.Service)
		}
	})
	if allocations != 0 {
		t.Fatalf("%v allocations, want 0", allocations)
	}
}
