package steerer

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

func newRegistration(name, version string, leaving bool) registrar.Registration {
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

func joinedNames(registrations []registrar.Registration) string {
	joined := ""
	for _, registration := range registrations {
		joined += registration.Upstream.Name
	}
	return joined
}

// The platform may have lost registrations during an outage. Upstreams that it no
// longer lists must be kept, unless they were leaving.
func TestMergeKeepsUnlistedUpstreams(t *testing.T) {
	cases := []struct {
		name     string
		previous []registrar.Registration
		listed   []registrar.Registration
		want     string
	}{
		{
			name: "nothing listed before",
			listed: []registrar.Registration{
				newRegistration("a", "v1", false),
			},
			want: "a",
		},
		{
			name: "no longer listed",
			previous: []registrar.Registration{
				newRegistration("a", "v1", false),
				newRegistration("c", "v1", false),
			},
			listed: []registrar.Registration{
				newRegistration("b", "v1", false),
			},
			want: "abc",
		},
		{
			name: "was leaving",
			previous: []registrar.Registration{
				newRegistration("a", "v1", true),
			},
			listed: []registrar.Registration{
				newRegistration("b", "v1", false),
			},
			want: "b",
		},
	}
	for _, c := range cases {
		if got := joinedNames(mergeRegistrations(c.previous, c.listed, func(string) bool { return true })); got != c.want {
			t.Errorf("%s: got upstreams %q, want %q", c.name, got, c.want)
		}
	}
}

func shopInputs() planInputs {
	return planInputs{
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
		newRegistration("a", "v1", false),
		newRegistration("b", "v2", false),
	})
}

// The set must hold each registered version, and a move must refer to its version by
// the name that it has in the set.
func TestMovesReferToRegisteredVersions(t *testing.T) {
	set := shopInputs().withMoves([]declarer.Move{
		{
			Name:    "shop",
			Service: "shop",
			To:      "v2",
		},
	}).configurationSet()
	version, found := set.Versions.Get("shop@v2")
	if !found || len(version.Upstreams) != 1 || version.Upstreams[0].ColdPerSecond != 6 {
		t.Fatalf("got version shop@v2 %+v, want one upstream with ColdPerSecond 6", version)
	}
	if move, _ := set.Moves.Get("shop"); move.To != version.Name {
		t.Fatalf("got move %+v, want one to %q", move, version.Name)
	}
}

// The upstreams of a failure domain must count as cold when its evacuation ends, since
// they got no requests until then.
func TestUpstreamsAreColdAfterEvacuation(t *testing.T) {
	now := time.Now()
	evacuated := shopInputs().withEvacuatedPlaces([]string{"derby"}, now)
	if place, _ := evacuated.configurationSet().Places.Get("derby"); !place.Evacuated {
		t.Fatal("derby: got evacuated false, want true")
	}
	returned := evacuated.withEvacuatedPlaces(nil, now).configurationSet()
	if place, _ := returned.Places.Get("derby"); place.Evacuated {
		t.Fatal("derby: got evacuated true after the end of its evacuation, want false")
	}
	version, _ := returned.Versions.Get("shop@v1")
	if until := version.Upstreams[0].ColdUntil; !until.Equal(now.Add(3 * time.Second)) {
		t.Fatalf("got cold until %v, want three seconds after %v", until, now)
	}
}

// An overload must not flood the log: the lines of one kind are bounded per second, and
// those left out are counted.
func TestLineLimiterCountsOmittedLines(t *testing.T) {
	limiter := newLineLimiter("Test", metrics.NewRegistry())
	now := time.Unix(1000, 0)
	written := 0
	for range 3 * maxLinesPerSecond {
		if _, ok := limiter.allow(now); ok {
			written++
		}
	}
	if written != maxLinesPerSecond {
		t.Fatalf("line limiter: got %d of %d lines written in one second, want %d", written, 3*maxLinesPerSecond, maxLinesPerSecond)
	}
	leftOut, ok := limiter.allow(now.Add(time.Second))
	if !ok || leftOut != 2*maxLinesPerSecond {
		t.Fatalf("got %d lines left out and allowed %t, want %d and true", leftOut, ok, 2*maxLinesPerSecond)
	}
}
