package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// hashedServer is a server that is chosen by the hash of an object.
type hashedServer struct {
	server
	seed         uint64
	distanceCost float64
	// full says that the server is eligible and not usable.
	full bool
}

func (s *hashedServer) Seed() uint64                    { return s.seed }
func (s *hashedServer) DistanceCost(anyRequest) float64 { return s.distanceCost }
func (s *hashedServer) Eligible(anyRequest) bool        { return !s.unusable }
func (s *hashedServer) Usable(anyRequest) bool          { return !s.unusable && !s.full }

func newHashedServers(count int) []*hashedServer {
	random := rand.New(rand.NewPCG(3, 9))
	servers := make([]*hashedServer, count)
	for i := range servers {
		servers[i] = &hashedServer{
			seed: random.Uint64(),
		}
	}
	return servers
}

var rendezvous = picker.Rendezvous[*hashedServer, anyRequest]{
	Choices:    2,
	FreeLoad:   1,
	LoadWeight: 0.2,
}

// TestObjectsSpreadEvenlyAndMoveOnlyWithTheirCandidate checks that objects spread evenly
// over all candidates, and that only the objects of an unusable candidate move to others.
func TestObjectsSpreadEvenlyAndMoveOnlyWithTheirCandidate(t *testing.T) {
	const objects = 4000
	servers := newHashedServers(16)
	random := rand.New(rand.NewPCG(1, 1))
	moved, lost := 0, 0
	counts := map[*hashedServer]int{}
	for range objects {
		hash := random.Uint64()
		servers[0].unusable = false
		before, _ := rendezvous.Pick(servers, hash, anyRequest{})
		counts[before]++
		servers[0].unusable = true
		after, found := rendezvous.Pick(servers, hash, anyRequest{})
		switch {
		case !found || after == servers[0]:
			t.Fatalf("hash %d: got the unusable server %t, found %t, want a usable server", hash, after == servers[0], found)
		case before == servers[0]:
			lost++
		case after != before:
			moved++
		}
	}
	if moved != 0 || lost == 0 {
		t.Fatalf("got %d moved objects of usable servers and %d of the unusable one, want 0 and more than 0", moved, lost)
	}
	for _, s := range servers {
		if share := counts[s]; share < objects/16/2 || share > objects/16*2 {
			t.Errorf("got %d of %d objects at one of 16 servers, want %d to %d", share, objects, objects/16/2, objects/16*2)
		}
	}
}

// TestLoadDecidesAmongTwoCandidates checks that load moves an object to its second
// candidate at most, and never to a third.
func TestLoadDecidesAmongTwoCandidates(t *testing.T) {
	servers := newHashedServers(16)
	random := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		hash := random.Uint64()
		seen := map[*hashedServer]bool{}
		for range 50 {
			for _, s := range servers {
				s.queue = random.IntN(12)
			}
			picked, _ := rendezvous.Pick(servers, hash, anyRequest{})
			seen[picked] = true
		}
		if len(seen) > 2 {
			t.Fatalf("hash %d: got %d candidates, want at most 2", hash, len(seen))
		}
	}
}

// TestNearCandidatesArePreferred checks that the cost of distance keeps objects from far
// candidates while near ones have no load.
func TestNearCandidatesArePreferred(t *testing.T) {
	servers := newHashedServers(16)
	for _, s := range servers[4:] {
		s.distanceCost = 2
	}
	random := rand.New(rand.NewPCG(5, 5))
	for range 500 {
		picked, _ := rendezvous.Pick(servers, random.Uint64(), anyRequest{})
		if picked.distanceCost != 0 {
			t.Fatalf("got a candidate with distance cost %v, want one with 0", picked.distanceCost)
		}
	}
}

// TestRankCountsUnusableCandidates makes the candidates unusable one after another, in the
// order in which they are picked, and checks that the rank grows by one each time.
func TestRankCountsUnusableCandidates(t *testing.T) {
	servers := newHashedServers(16)
	random := rand.New(rand.NewPCG(6, 6))
	hash := random.Uint64()
	for want := 1; want <= len(servers); want++ {
		picked, _ := rendezvous.Pick(servers, hash, anyRequest{})
		got := rendezvous.Rank(servers, hash, anyRequest{}, func(s *hashedServer) bool { return s == picked })
		if got != want {
			t.Fatalf("got rank %d, want %d", got, want)
		}
		picked.unusable = true
	}
}

// TestFullCandidatesKeepTheirObjects checks that objects whose first candidate is full go to
// their second, and that objects whose candidates are both full go to no other.
func TestFullCandidatesKeepTheirObjects(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		servers := newHashedServers(16)
		hash := random.Uint64()
		first, _ := rendezvous.Pick(servers, hash, anyRequest{})
		first.full = true
		second, found := rendezvous.Pick(servers, hash, anyRequest{})
		rank := rendezvous.Rank(servers, hash, anyRequest{}, func(s *hashedServer) bool { return s == second })
		if !found || rank != 2 {
			t.Fatalf("hash %d: got rank %d, found %t, want the second candidate", hash, rank, found)
		}
		second.full = true
		if _, found = rendezvous.Pick(servers, hash, anyRequest{}); found {
			t.Fatalf("hash %d: got a third candidate, want none", hash)
		}
	}
}
