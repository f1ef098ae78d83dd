package mover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
)

// exposureShare and exposureSlack bound how many requests a bad version gets between the
// order of the move and its deadline: at most exposureShare of the service's requests,
// plus exposureSlack.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// simulation runs one move over simulated requests.
type simulation struct {
	random    *rand.Rand
	perSecond float64
	allowed   time.Duration
	// fails reports whether a request at the new version fails when elapsed has passed
	// since the move began.
	fails func(route string, elapsed time.Duration, share float64) bool
	// oldRate is the fraction of requests that fail at the old versions.
	oldRate float64
	// lag is the staleness of the sums that the instances evaluate.
	lag time.Duration
}

// outcome is the result of a simulated move.
type outcome struct {
	state mover.State
	// exposed counts the requests that the new version got, and requests counts all.
	exposed  int
	requests int
}

var routes = []string{"view", "pay"}

func (s simulation) run() outcome {
	const tick = 50 * time.Millisecond
	result := outcome{
		state: mover.Running,
	}
	var history [][]mover.Evidence
	var evidence []mover.Evidence
	share := mover.Share(0, s.allowed)
	for elapsed := time.Duration(0); elapsed < s.allowed; elapsed += tick {
		for range int(s.perSecond * tick.Seconds()) {
			evidence = s.request(&result, evidence, elapsed, share)
		}
		history = append(history, evidence)
		if result.state != mover.Running {
			continue
		}
		visible := max(len(history)-1-int(s.lag/tick), 0)
		if _, faulty := mover.Faulty(history[visible]); faulty {
			result.state = mover.TakenBack
			continue
		}
		if mover.Doubtful(history[visible]) {
			if mover.Overdue(elapsed, s.allowed) {
				result.state = mover.TakenBack
			}
			continue
		}
		share = mover.Share(elapsed, s.allowed)
		if mover.Finished(elapsed, s.allowed) {
			result.state = mover.Done
		}
	}
	return result
}

func (s simulation) request(
	result *outcome,
	evidence []mover.Evidence,
	elapsed time.Duration,
	share float64,
) []mover.Evidence {
	result.requests++
	switch result.state {
	case mover.Done:
		share = 1
	case mover.TakenBack:
		share = 0
	}
	entry := mover.Evidence{
		Route: routes[s.random.IntN(len(routes))],
	}
	if s.random.Float64() < share {
		result.exposed++
		entry.New.Requests = 1
		if s.fails(entry.Route, elapsed, share) {
			entry.New.Failures = 1
		}
	} else {
		entry.Old.Requests = 1
		if s.random.Float64() < s.oldRate {
			entry.Old.Failures = 1
		}
	}
	return mover.Merge(evidence, []mover.Evidence{entry})
}

// TestMoves checks that moves to bad versions are rolled back before the version gets more
// requests than exposureShare and exposureSlack allow, and that moves to good ones are
// done in time.
func TestMoves(t *testing.T) {
	const seeds = 300
	cases := []struct {
		name string
		// fails returns the fraction of requests that the new version fails.
		fails   func(route string, elapsed time.Duration, share float64) float64
		oldRate float64
		want    mover.State
	}{
		{
			name:    "good",
			fails:   func(string, time.Duration, float64) float64 { return 0.004 },
			oldRate: 0.004,
			want:    mover.Done,
		},
		{
			name:    "good while old versions fail as often",
			fails:   func(string, time.Duration, float64) float64 { return 0.2 },
			oldRate: 0.2,
			want:    mover.Done,
		},
		{
			name:    "errors",
			fails:   func(string, time.Duration, float64) float64 { return 0.35 },
			oldRate: 0.004,
			want:    mover.TakenBack,
		},
		{
			name: "errors on one route",
			fails: func(route string, _ time.Duration, _ float64) float64 {
				if route == "pay" {
					return 0.35
				}
				return 0.004
			},
			oldRate: 0.004,
			want:    mover.TakenBack,
		},
		{
			name: "late errors",
			fails: func(_ string, elapsed time.Duration, _ float64) float64 {
				if elapsed > 3500*time.Millisecond {
					return 0.35
				}
				return 0.004
			},
			oldRate: 0.004,
			want:    mover.TakenBack,
		},
		{
			name: "errors under load",
			fails: func(_ string, _ time.Duration, share float64) float64 {
				if share >= 0.25 {
					return 0.35
				}
				return 0.004
			},
			oldRate: 0.004,
			want:    mover.TakenBack,
		},
	}
	for _, c := range cases {
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 5))
			s := simulation{
				random:    random,
				perSecond: 120 + random.Float64()*200,
				allowed:   time.Duration(12+random.IntN(5)) * time.Second,
				oldRate:   c.oldRate,
				lag:       time.Duration(random.IntN(600)) * time.Millisecond,
			}
			s.fails = func(route string, elapsed time.Duration, share float64) bool {
				return random.Float64() < c.fails(route, elapsed, share)
			}
			got := s.run()
			if got.state != c.want {
				t.Errorf("%s, seed %d: got state %s, want %s", c.name, seed, got.state, c.want)
			}
			bound := int(exposureShare*float64(got.requests)) + exposureSlack
			if c.want == mover.TakenBack && got.exposed > bound {
				t.Errorf("%s, seed %d: got %d requests at a bad version, want at most %d", c.name, seed, got.exposed, bound)
			}
		}
	}
}

// TestUnseenVersionsAreDoubtful checks that a move takes no further step while its new
// version gets hardly any requests: there is no evidence yet that the version is good.
func TestUnseenVersionsAreDoubtful(t *testing.T) {
	cases := []struct {
		name     string
		newCount int
		oldCount int
		want     bool
	}{
		{
			name: "no requests yet",
		},
		{
			name:     "too few requests to decide",
			oldCount: 300,
		},
		{
			name:     "the new version gets no requests",
			oldCount: 700,
			want:     true,
		},
		{
			name:     "the new version gets its share",
			newCount: 35,
			oldCount: 700,
		},
	}
	for _, c := range cases {
		evidence := []mover.Evidence{
			{
				Route: "view",
				New: mover.Count{
					Requests: c.newCount,
				},
				Old: mover.Count{
					Requests: c.oldCount,
				},
			},
		}
		if got := mover.Doubtful(evidence); got != c.want {
			t.Errorf("%s: got doubtful %t, want %t", c.name, got, c.want)
		}
	}
}
