package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// keyedServer is a server that is chosen by key.
type keyedServer struct {
	server
	seed     uint64
	distance float64
}

func (s *keyedServer) Seed() uint64                { return s.seed }
func (s *keyedServer) Distance(anyRequest) float64 { return s.distance }

func newKeyedServers(count int) []*keyedServer {
	random := rand.New(rand.NewPCG(3, 9))
	servers := make([]*keyedServer, count)
	for i := range servers {
		servers[i] = &keyedServer{
			seed: random.Uint64(),
		}
	}
	return servers
}

var rendezvous = picker.Rendezvous[*keyedServer, anyRequest]{
	Choices:    2,
	FreeLoad:   1,
	LoadWeight: 0.2,
}

// TestKeysMoveOnlyWithTheirCandidate checks that keys spread evenly over all candidates,
// and that only the keys of an unusable candidate move to others.
func TestKeysMoveOnlyWithTheirCandidate(t *testing.T) {
	const keys = 4000
	servers := newKeyedServers(16)
	random := rand.New(rand.NewPCG(1, 1))
	moved, lost := 0, 0
	counts := map[*keyedServer]int{}
	for range keys {
		key := random.Uint64()
		servers[0].broken = false
		before, _ := rendezvous.Pick(servers, key, anyRequest{})
		counts[before]++
		servers[0].broken = true
		after, found := rendezvous.Pick(servers, key, anyRequest{})
		switch {
		case !found || after == servers[0]:
			t.Fatalf("key %d: got broken server %t, found %t, want a usable server", key, after == servers[0], found)
		case before == servers[0]:
			lost++
		case after != before:
			moved++
		}
	}
	if moved != 0 || lost == 0 {
		t.Fatalf("got %d moved keys of usable servers and %d of the broken one, want 0 and more than 0", moved, lost)
	}
	for _, s := range servers {
		if share := counts[s]; share < keys/16/2 || share > keys/16*2 {
			t.Errorf("one of 16 servers got %d of %d keys, want %d to %d", share, keys, keys/16/2, keys/16*2)
		}
	}
}

// TestLoadDecidesAmongTwoCandidates checks that load moves a key to its second candidate
// at most, and never to a third.
func TestLoadDecidesAmongTwoCandidates(t *testing.T) {
	servers := newKeyedServers(16)
	random := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		key := random.Uint64()
		seen := map[*keyedServer]bool{}
		for range 50 {
			for _, s := range servers {
				s.queue = random.IntN(12)
			}
			picked, _ := rendezvous.Pick(servers, key, anyRequest{})
			seen[picked] = true
		}
		if len(seen) > 2 {
			t.Fatalf("key %d: got %d candidates, want at most 2", key, len(seen))
		}
	}
}

// TestNearCandidatesArePreferred checks that the cost of distance keeps keys from far
// candidates while near ones have no load.
func TestNearCandidatesArePreferred(t *testing.T) {
	servers := newKeyedServers(16)
	for _, s := range servers[4:] {
		s.distance = 2
	}
	random := rand.New(rand.NewPCG(5, 5))
	for range 500 {
		picked, _ := rendezvous.Pick(servers, random.Uint64(), anyRequest{})
		if picked.distance != 0 {
			t.Fatalf("got a candidate at distance %v, want one at distance 0", picked.distance)
		}
	}
}
