package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// server is a candidate with a capacity of 1, so that its load is the length of its queue.
type server struct {
	queue    int
	unusable bool
}

// anyRequest is a request without properties: all requests are alike.
type anyRequest struct{}

func (s *server) Usable(anyRequest) bool  { return !s.unusable }
func (s *server) Load(anyRequest) float64 { return float64(s.queue) }

var policies = []struct {
	name   string
	policy picker.Policy[*server, anyRequest]
}{
	{
		name:   "power of two",
		policy: picker.PowerOfTwo[*server, anyRequest]{},
	},
	{
		name:   "random",
		policy: picker.Random[*server, anyRequest]{},
	},
	{
		name:   "least loaded",
		policy: picker.LeastLoaded[*server, anyRequest]{},
	},
}

func TestOnlyUsableCandidatesArePicked(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	for _, p := range policies {
		for count := range 6 {
			servers := make([]*server, count)
			usable := 0
			for i := range servers {
				servers[i] = &server{
					unusable: random.IntN(2) == 0,
				}
				if servers[i].Usable(anyRequest{}) {
					usable++
				}
			}
			for range 50 {
				picked, found := p.policy.Pick(servers, random.Uint64(), anyRequest{})
				if found != (usable > 0) || (found && picked.unusable) {
					t.Fatalf("%s: %d servers, %d of them usable: got %+v, found %t", p.name, count, usable, picked, found)
				}
			}
		}
	}
}

// longestQueue simulates a policy and returns the longest queue seen. In each step one
// request goes to one of 36 servers, and each busy server completes a request with the
// probability that keeps 80% of the servers busy.
func longestQueue(policy picker.Policy[*server, anyRequest], seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 8))
	servers := make([]*server, 36)
	for i := range servers {
		servers[i] = &server{}
	}
	longest := 0
	for range 20_000 {
		if picked, found := policy.Pick(servers, random.Uint64(), anyRequest{}); found {
			picked.queue++
			longest = max(longest, picked.queue)
		}
		for _, s := range servers {
			if s.queue > 0 && random.Float64() < 1/(0.8*float64(len(servers))) {
				s.queue--
			}
		}
	}
	return longest
}

// TestPowerOfTwoKeepsQueuesShort compares the policies with the same random seeds. Two
// choices must at least halve the longest queue of a random choice.
func TestPowerOfTwoKeepsQueuesShort(t *testing.T) {
	for seed := range uint64(5) {
		powerOfTwo := longestQueue(picker.PowerOfTwo[*server, anyRequest]{}, seed)
		random := longestQueue(picker.Random[*server, anyRequest]{}, seed)
		leastLoaded := longestQueue(picker.LeastLoaded[*server, anyRequest]{}, seed)
		if 2*powerOfTwo > random || powerOfTwo < leastLoaded {
			t.Errorf("seed %d: power of two: got longest queue %d, want at most half of %d (random) and at least %d (least loaded)",
				seed, powerOfTwo, random, leastLoaded)
		}
	}
}
