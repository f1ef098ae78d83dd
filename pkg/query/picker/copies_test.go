package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// groupedServer is a server in a group whose objects have a number of copies.
type groupedServer struct {
	hashedServer
	group  int
	copies int
	// needed is the number of copies that the demand needs; 0 counts as 1.
	needed int
}

func (s *groupedServer) Needed(anyRequest, uint64) int     { return max(s.needed, 1) }
func (s *groupedServer) Group() int                        { return s.group }
func (s *groupedServer) ExpectedTime(r anyRequest) float64 { return s.Load(r) }
func (s *groupedServer) Copies(anyRequest, uint64) int     { return s.copies }

// newGroupedServers returns servers of which the first few form group 0, at no distance, and
// the others group 1.
func newGroupedServers(count, near, copies int) []*groupedServer {
	servers := make([]*groupedServer, 0, count)
	for i, hashed := range newHashedServers(count) {
		grouped := &groupedServer{
			hashedServer: *hashed,
			copies:       copies,
		}
		if i >= near {
			grouped.group = 1
			grouped.distanceCost = 1
		}
		servers = append(servers, grouped)
	}
	return servers
}

func newCopies() picker.Copies[*groupedServer, anyRequest] {
	return picker.Copies[*groupedServer, anyRequest]{
		Rendezvous: picker.Rendezvous[*groupedServer, anyRequest]{
			Choices:    2,
			FreeLoad:   1,
			LoadWeight: 0.2,
		},
		Margin: 0.5,
		Spread: 2,
	}
}

// TestCopiesBoundTheServersOfAnObject loads each server that was chosen, and checks at how
// many servers, and in which group, an object ends up. It guards against objects at more
// servers than have room for them, and against load that moves requests to another group.
func TestCopiesBoundTheServersOfAnObject(t *testing.T) {
	cases := []struct {
		name   string
		copies int
		want   int
	}{
		{
			name:   "one copy",
			copies: 1,
			want:   1,
		},
		{
			name:   "three copies",
			copies: 3,
			want:   3,
		},
		{
			name:   "as many copies as servers",
			copies: 6,
			want:   6,
		},
		{
			name:   "more copies than servers and than MaxChoices",
			copies: 40,
			want:   6,
		},
	}
	for _, c := range cases {
		servers := newGroupedServers(40, 6, c.copies)
		random := rand.New(rand.NewPCG(2, 2))
		for range 50 {
			hash := random.Uint64()
			for _, server := range servers {
				server.queue = 0
			}
			chosen := map[*groupedServer]bool{}
			for range 100 {
				picked, found := newCopies().Pick(servers, hash, anyRequest{})
				if !found || picked.group != 0 {
					t.Fatalf("%s: got a server of group 0 %t, want true", c.name, found && picked.group == 0)
				}
				picked.queue += 2
				chosen[picked] = true
			}
			if len(chosen) != c.want {
				t.Errorf("%s: got %d servers for an object, want %d", c.name, len(chosen), c.want)
			}
		}
	}
}

// TestRequestsForAnObjectMeet checks that instances in two groups choose the same server for
// an object when both send its requests to the same group. It guards against a second set of
// copies for the requests that come from elsewhere.
func TestRequestsForAnObjectMeet(t *testing.T) {
	servers := newGroupedServers(40, 20, 1)
	random := rand.New(rand.NewPCG(4, 4))
	for range 200 {
		hash := random.Uint64()
		setDistances := func(near, far float64) {
			for _, server := range servers {
				server.distanceCost = near
				if server.group == 1 {
					server.distanceCost = far
				}
			}
		}
		setDistances(0, 0)
		spilled, _ := newCopies().Pick(servers, hash, anyRequest{})
		setDistances(float64(spilled.group), float64(1-spilled.group))
		local, _ := newCopies().Pick(servers, hash, anyRequest{})
		if spilled != local {
			t.Errorf("hash %d: got two servers in group %d for one object, want one", hash, spilled.group)
		}
	}
}

// TestWithoutCopiesTheChoiceIsThatOfRendezvous guards against another choice for requests
// that gain nothing from a server that has served their object.
func TestWithoutCopiesTheChoiceIsThatOfRendezvous(t *testing.T) {
	servers := newGroupedServers(40, 6, 0)
	random := rand.New(rand.NewPCG(5, 5))
	for range 500 {
		hash := random.Uint64()
		servers[random.IntN(len(servers))].queue = random.IntN(4)
		got, _ := newCopies().Pick(servers, hash, anyRequest{})
		want, _ := newCopies().Rendezvous.Pick(servers, hash, anyRequest{})
		if got != want {
			t.Errorf("hash %d: got another server than Rendezvous chooses", hash)
		}
	}
}

// TestNeededCopiesShareTheRequests guards against a popular object whose requests all go to its
// first copy until that is overloaded: instances must be distributed among the needed copies,
// and leave the others alone.
func TestNeededCopiesShareTheRequests(t *testing.T) {
	const (
		instances = 300
		copies    = 4
		needed    = 3
	)
	servers := newGroupedServers(40, 6, copies)
	for _, server := range servers {
		server.needed = needed
	}
	random := rand.New(rand.NewPCG(6, 6))
	hash := random.Uint64()
	counts := map[*groupedServer]int{}
	for range instances {
		policy := newCopies()
		policy.Salt = random.Uint64()
		picked, _ := policy.Pick(servers, hash, anyRequest{})
		counts[picked]++
	}
	if len(counts) != needed {
		t.Errorf("got %d servers for the object, want %d", len(counts), needed)
	}
	for server, count := range counts {
		if count < instances/needed/2 {
			t.Errorf("got %d of %d instances at a server of group %d, want about a third", count, instances, server.group)
		}
	}
}
