package checker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// validSet returns a set without faults.
func validSet() declarer.Set {
	return declarer.Set{}.
		WithPlace(declarer.Place{
			Name:         "derby",
			Region:       "east",
			Seats:        2,
			ClientBlocks: []string{"10.0.0.0/8"},
		}).
		WithService(declarer.Service{
			Name:    "shop",
			Version: "shop-v1",
		}).
		WithVersion(version("shop-v1", "10.0.0.1:80")).
		WithVersion(version("shop-v2", "10.0.0.2:80")).
		WithTeam(declarer.Team{
			Name: "quilters",
		}.WithRate(5, 3)).
		WithKey(declarer.Key{
			Name: "quilters-1",
			Team: "quilters",
			Hash: declarer.HashKey("secret").String(),
		}).
		WithMove(move())
}

func version(name, address string) declarer.Version {
	return declarer.Version{
		Name:    name,
		Service: "shop",
	}.WithUpstreams(declarer.Upstream{
		Name:    "u1",
		Place:   "derby",
		Address: address,
		Slots:   4,
	})
}

func move() declarer.Move {
	return declarer.Move{
		Name:          "to-v2",
		Service:       "shop",
		From:          "shop-v1",
		To:            "shop-v2",
		CanaryPercent: 1,
	}.WithDeadline(time.Unix(1_800_000_000, 0))
}

// TestCheckReportsEveryFault checks that Check returns one fault for each field that
// breaks a rule, and none for a valid set.
func TestCheckReportsEveryFault(t *testing.T) {
	second := move()
	second.Name = "again"
	sameVersion := move()
	sameVersion.To = "shop-v1"
	cases := []struct {
		name string
		set  declarer.Set
		// want holds the beginning of each expected fault, one a line.
		want string
	}{
		{
			name: "valid",
			set:  validSet(),
		},
		{
			name: "a failure domain with invalid fields",
			set: validSet().WithPlace(declarer.Place{
				Name:         "Lincoln",
				Region:       "",
				ClientBlocks: []string{"10.0.0.0/8", "10.1.0.1/16", "nowhere"},
				Links: []declarer.Link{
					{
						Region:        "mars",
						LatencyMillis: -1,
					},
				},
			}),
			want: `Place Lincoln: Name = "Lincoln"
Place Lincoln: Region = ""
Place Lincoln: Seats = "0"
Place Lincoln: ClientBlocks[1] = "10.1.0.1/16"
Place Lincoln: ClientBlocks[2] = "nowhere"
Place Lincoln: Links[0].Region = "mars"
Place Lincoln: Links[0].LatencyMillis = "-1"
Place derby: ClientBlocks[0] = "10.0.0.0/8": a prefix other than those of Place Lincoln`,
		},
		{
			name: "a service with the version and the host of another one",
			set: validSet().WithService(declarer.Service{
				Name:          "stall",
				Hosts:         []string{"shop", "Stall:80"},
				Version:       "shop-v1",
				TimeoutMillis: -1,
			}.WithRoutes(declarer.PathRule{
				Prefix:      "orders",
				Idempotence: "Perhaps",
			})),
			want: `Service stall: Hosts[0] = "shop": a host name other than those of Service shop
Service stall: Hosts[1] = "Stall:80"
Service stall: Version = "shop-v1": a Version of this Service
Service stall: TimeoutMillis = "-1"
Service stall: Routes[0].Prefix = "orders"
Service stall: Routes[0].Idempotence = "Perhaps"`,
		},
		{
			name: "a team without rate, for an undeclared service",
			set: validSet().WithTeam(declarer.Team{
				Name:     "idle",
				Services: []string{"none"},
			}),
			want: `Team idle: RatePerSecond = "0"
Team idle: Burst = "0"
Team idle: Services[0] = "none"`,
		},
		{
			name: "a key with the hash of another one",
			set: validSet().WithKey(declarer.Key{
				Name: "twin",
				Team: "nobody",
				Hash: declarer.HashKey("secret").String(),
			}),
			want: `Key twin: Team = "nobody"
Key twin: Hash = "` + declarer.HashKey("secret").String(),
		},
		{
			name: "upstreams with a host name, a duplicate name and a duplicate address",
			set: validSet().WithVersion(version("shop-v3", "10.0.0.1:80").WithUpstreams(
				declarer.Upstream{
					Name:    "u1",
					Place:   "mars",
					Address: "shop:80",
				},
				declarer.Upstream{
					Name:    "u1",
					Place:   "derby",
					Address: "10.0.0.1:80",
					Slots:   1,
				},
			)),
			want: `Version shop-v3: Upstreams[0].Place = "mars"
Version shop-v3: Upstreams[0].Address = "shop:80"
Version shop-v3: Upstreams[0].Slots = "0"
Version shop-v3: Upstreams[1].Name = "u1"
Version shop-v3: Upstreams[1].Address = "10.0.0.1:80"`,
		},
		{
			name: "two moves of one service",
			set:  validSet().WithMove(second),
			want: `Move to-v2: Service = "shop": a Service other than that of Move again`,
		},
		{
			name: "a move to the version that it starts from",
			set:  validSet().WithMove(sameVersion),
			want: `Move to-v2: To = "shop-v1": a Version other than From`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := checker.Check(c.set)
			var want []string
			if c.want != "" {
				want = strings.Split(c.want, "\n")
			}
			if len(faults) != len(want) {
				t.Fatalf("got %d faults %v, want %d: %v", len(faults), faults, len(want), want)
			}
			for i, fault := range faults {
				if !strings.HasPrefix(fault.String(), want[i]) {
					t.Errorf("fault %d: got %s, want a fault starting with %s", i, fault, want[i])
				}
			}
		})
	}
}

// TestRepeatedObjectIsReported checks that CheckDocument reports an object that a
// document declares twice.
func TestRepeatedObjectIsReported(t *testing.T) {
	document := validSet().Document()
	document.Team = append(document.Team, document.Team[0])
	faults := checker.CheckDocument(document)
	if len(faults) != 1 || faults[0].Object != "Team quilters" {
		t.Fatalf("got %v, want 1 fault of Team quilters", faults)
	}
}
