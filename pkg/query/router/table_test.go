package router_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// routedSet returns a set with one service and three routes, one without a backend.
func routedSet() declarer.Set {
	return declarer.Set{}.
		WithService(declarer.Service{
			Name: "shopfront",
		}.WithRoutes(declarer.PathRule{
			Prefix: "/patterns",
			Open:   true,
		})).
		WithRoute(declarer.Route{
			Name:   "all",
			Host:   "quilts.example",
			Prefix: "/a/",
		}.WithBackends(declarer.Backend{
			Service: "shopfront",
			Weight:  1,
		})).
		WithRoute(declarer.Route{
			Name:   "deep",
			Host:   "quilts.example",
			Prefix: "/a/b/",
		}.WithBackends(declarer.Backend{
			Service: "sewingroom",
			Weight:  1,
		})).
		WithRoute(declarer.Route{
			Name:   "nowhere",
			Host:   "quilts.example",
			Prefix: "/a/b/c/",
		})
}

func TestLongestPrefixOfAHostIsRouted(t *testing.T) {
	table := router.New(1, routedSet())
	cases := []struct {
		host string
		path string
		want string
	}{
		{
			host: "quilts.example",
			path: "/a/",
			want: "all",
		},
		{
			host: "Quilts.Example:8388",
			path: "/a/x/y",
			want: "all",
		},
		{
			host: "quilts.example",
			path: "/a/b/x",
			want: "deep",
		},
		{
			// A route without a backend doesn't hide one with a shorter prefix.
			host: "quilts.example",
			path: "/a/b/c/x",
			want: "deep",
		},
		{
			// The prefix "/a/" ends with a slash, which the path lacks.
			host: "quilts.example",
			path: "/a",
		},
		{
			host: "quilts.example",
			path: "/ab/",
		},
		{
			host: "other.example",
			path: "/a/",
		},
		{
			host: "shopfront",
			path: "/anything",
			want: "shopfront",
		},
		{
			host: "shopfront",
			path: "/patterns/1",
			want: "shopfront",
		},
	}
	for _, c := range cases {
		route, found := table.Route(c.host, c.path)
		if found != (c.want != "") || (found && route.Declared.Name != c.want) {
			t.Errorf("%s%s: got route %+v, found %t, want route %q", c.host, c.path, route, found, c.want)
		}
	}
	open, _ := table.Route("shopfront", "/patterns/1")
	closed, _ := table.Route("shopfront", "/patternsx")
	if !open.Declared.Open || closed.Declared.Open {
		t.Errorf("got Open %t for the route of /patterns/1 and %t for that of /patternsx, want true and false",
			open.Declared.Open, closed.Declared.Open)
	}
}

// TestWeightsSplitRequests checks that each service of a route gets requests in proportion
// to its weight.
func TestWeightsSplitRequests(t *testing.T) {
	table := router.New(1, declarer.Set{}.WithRoute(declarer.Route{
		Name:   "split",
		Host:   "a",
		Prefix: "/",
	}.WithBackends(
		declarer.Backend{
			Service: "one",
			Weight:  90,
		},
		declarer.Backend{
			Service: "two",
			Weight:  10,
		},
	)))
	route, _ := table.Route("a", "/x")
	counts := map[string]int{}
	for random := range uint64(1000) {
		counts[route.Service(random)]++
	}
	if counts["one"] != 900 || counts["two"] != 100 {
		t.Fatalf("got requests %v, want 900 for one and 100 for two", counts)
	}
}
