package steerer

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

func registered(name, version string, leaving bool) registrar.Registration {
	return registrar.Registration{
		Service: "shop",
		Version: version,
		Upstream: declarer.Upstream{
			Name:    name,
			Place:   "derby",
			Slots:   4,
			Leaving: leaving,
		},
	}
}

func names(registrations []registrar.Registration) string {
	joined := ""
	for _, one := range registrations {
		joined += one.Upstream.Name
	}
	return joined
}

// After the platform's return, upstreams that it has forgotten are kept, unless they
// were leaving.
func TestMerge(t *testing.T) {
	cases := []struct {
		name   string
		before []registrar.Registration
		after  []registrar.Registration
		want   string
	}{
		{
			name: "nothing before",
			after: []registrar.Registration{
				registered("a", "v1", false),
			},
			want: "a",
		},
		{
			name: "forgotten",
			before: []registrar.Registration{
				registered("a", "v1", false),
				registered("c", "v1", false),
			},
			after: []registrar.Registration{
				registered("b", "v1", false),
			},
			want: "abc",
		},
		{
			name: "left",
			before: []registrar.Registration{
				registered("a", "v1", true),
			},
			after: []registrar.Registration{
				registered("b", "v1", false),
			},
			want: "b",
		},
	}
	for _, c := range cases {
		if got := names(merge(c.before, c.after)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func shopInputs() inputs {
	return inputs{
		places: []declarer.Place{
			{
				Name:   "derby",
				Region: "east",
			},
		},
	}.withDeclaration(declarer.Declaration{
		Revision: 1,
		Set: declarer.Set{}.WithService(declarer.Service{
			Name:          "shop",
			Registered:    true,
			ColdPerSecond: 6,
			ColdMillis:    3000,
		}),
	}).withRegistrations([]registrar.Registration{
		registered("a", "v1", false),
		registered("b", "v2", false),
	})
}

// Each version that has registered is one of the set, and a move names it.
func TestSetOfInputs(t *testing.T) {
	set := shopInputs().withMoves([]declarer.Move{
		{
			Name:    "shop",
			Service: "shop",
			To:      "v2",
		},
	}).set()
	version, found := set.Versions.Get("shop@v2")
	if !found || len(version.Upstreams) != 1 || version.Upstreams[0].ColdPerSecond != 6 {
		t.Fatalf("version %+v", version)
	}
	if move, _ := set.Moves.Get("shop"); move.To != version.Name {
		t.Fatalf("move %+v", move)
	}
}

// The upstreams of a place are taken to be cold when its evacuation ends.
func TestReturningPlaceIsCold(t *testing.T) {
	now := time.Now()
	evacuated := shopInputs().withEvacuated([]string{"derby"}, now)
	if place, _ := evacuated.set().Places.Get("derby"); !place.Evacuated {
		t.Fatal("the place is not evacuated")
	}
	back := evacuated.withEvacuated(nil, now).set()
	if place, _ := back.Places.Get("derby"); place.Evacuated {
		t.Fatal("the place is still evacuated")
	}
	version, _ := back.Versions.Get("shop@v1")
	if until := version.Upstreams[0].ColdUntil; !until.Equal(now.Add(3 * time.Second)) {
		t.Fatalf("cold until %v, want three seconds from %v", until, now)
	}
}

// Lines of one kind are bounded a second, and what is left out is counted.
func TestLineBudget(t *testing.T) {
	budget := newLineBudget("Test", metrics.NewRegistry())
	now := time.Unix(1000, 0)
	written := 0
	for range 3 * linesPerSecond {
		if _, ok := budget.take(now); ok {
			written++
		}
	}
	if written != linesPerSecond {
		t.Fatalf("%d lines in a second, want %d", written, linesPerSecond)
	}
	left, ok := budget.take(now.Add(time.Second))
	if !ok || left != 2*linesPerSecond {
		t.Fatalf("%d left out, %t, want %d", left, ok, 2*linesPerSecond)
	}
}
