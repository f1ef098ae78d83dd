package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// server is a candidate that serves requests one after another.
type server struct {
	queue  int
	broken bool
}

// nothing is the ask of requests that are all alike.
type nothing struct{}

func (s *server) Usable(nothing) bool  { return !s.broken }
func (s *server) Load(nothing) float64 { return float64(s.queue) }

var policies = []struct {
	name   string
	policy picker.Policy[*server, nothing]
}{
	{
		name:   "power of two",
		policy: picker.PowerOfTwo[*server, nothing]{},
	},
	{
		name:   "random",
		policy: picker.Random[*server, nothing]{},
	},
	{
		name:   "least loaded",
		policy: picker.LeastLoaded[*server, nothing]{},
	},
}

func TestOnlyUsableOnesArePicked(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	for _, p := range policies {
		for count := range 6 {
			servers := make([]*server, count)
			usable := 0
			for i := range servers {
				servers[i] = &server{
					broken: random.IntN(2) == 0,
				}
				if servers[i].Usable(nothing{}) {
					usable++
				}
			}
			for range 50 {
				picked, found := p.policy.Pick(servers, random.Uint64(), nothing{})
				if found != (usable > 0) || (found && picked.broken) {
					t.Fatalf("%s: of %d with %d usable picked %+v, %t", p.name, count, usable, picked, found)
				}
			}
		}
	}
}

// longest plays a trace: each step brings a request to one of 36 servers and each
// server that is busy ends one with a probability, so that 80% are busy. It
// returns the longest queue seen.
func longest(policy picker.Policy[*server, nothing], seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 8))
	servers := make([]*server, 36)
	for i := range servers {
		servers[i] = &server{}
	}
	worst := 0
	for range 20_000 {
		if picked, found := policy.Pick(servers, random.Uint64(), nothing{}); found {
			picked.queue++
			worst = max(worst, picked.queue)
		}
		for _, s := range servers {
			if s.queue > 0 && random.Float64() < 1/(0.8*float64(len(servers))) {
				s.queue--
			}
		}
	}
	return worst
}

// TestPowerOfTwoKeepsQueuesShort compares the policies on the same traces.
func TestPowerOfTwoKeepsQueuesShort(t *testing.T) {
	for seed := range uint64(5) {
		two := longest(picker.PowerOfTwo[*server, nothing]{}, seed)
		chance := longest(picker.Random[*server, nothing]{}, seed)
		least := longest(picker.LeastLoaded[*server, nothing]{}, seed)
		if 2*two > chance || two < least {
			t.Errorf("seed %d: longest queue %d, random %d, least loaded %d", seed, two, chance, least)
		}
	}
}
