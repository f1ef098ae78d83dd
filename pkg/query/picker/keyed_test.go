package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// site is a candidate that is chosen by key.
type site struct {
	server
	seed uint64
	far  float64
}

func (s *site) Seed() uint64        { return s.seed }
func (s *site) Far(nothing) float64 { return s.far }

func newSites(count int) []*site {
	random := rand.New(rand.NewPCG(3, 9))
	sites := make([]*site, count)
	for i := range sites {
		sites[i] = &site{
			seed: random.Uint64(),
		}
	}
	return sites
}

var keyed = picker.ByKey[*site, nothing]{
	Choices:    2,
	FreeLoad:   1,
	LoadWeight: 0.2,
}

// Keys spread over all candidates, and when one goes only its own keys move.
func TestKeysMoveOnlyWithTheirCandidate(t *testing.T) {
	const keys = 4000
	sites := newSites(16)
	random := rand.New(rand.NewPCG(1, 1))
	moved, lost := 0, 0
	counts := map[*site]int{}
	for range keys {
		key := random.Uint64()
		sites[0].broken = false
		before, _ := keyed.Pick(sites, key, nothing{})
		counts[before]++
		sites[0].broken = true
		after, found := keyed.Pick(sites, key, nothing{})
		switch {
		case !found || after == sites[0]:
			t.Fatal("a broken candidate was picked")
		case before == sites[0]:
			lost++
		case after != before:
			moved++
		}
	}
	if moved != 0 || lost == 0 {
		t.Fatalf("%d keys of others moved, %d of the lost one", moved, lost)
	}
	for _, one := range sites {
		if share := counts[one]; share < keys/16/2 || share > keys/16*2 {
			t.Errorf("%d of %d keys at one of 16", share, keys)
		}
	}
}

// Load takes a key to its second candidate and never to a third.
func TestLoadChoosesAmongTwo(t *testing.T) {
	sites := newSites(16)
	random := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		key := random.Uint64()
		seen := map[*site]bool{}
		for range 50 {
			for _, one := range sites {
				one.queue = random.IntN(12)
			}
			picked, _ := keyed.Pick(sites, key, nothing{})
			seen[picked] = true
		}
		if len(seen) > 2 {
			t.Fatalf("a key went to %d candidates", len(seen))
		}
	}
}

// Near candidates are preferred, by the cost of the way.
func TestFarCosts(t *testing.T) {
	sites := newSites(16)
	for _, one := range sites[4:] {
		one.far = 2
	}
	random := rand.New(rand.NewPCG(5, 5))
	for range 500 {
		picked, _ := keyed.Pick(sites, random.Uint64(), nothing{})
		if picked.far != 0 {
			t.Fatal("a far candidate was picked though near ones are free")
		}
	}
}
