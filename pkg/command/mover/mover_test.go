package mover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/mover"
)

// exposureShare and exposureSlack bound what a bad version gets of all requests of
// its service between the order and the deadline.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// world plays a move.
type world struct {
	random    *rand.Rand
	perSecond float64
	total     time.Duration
	// fails says whether a request at the new version fails, so long after the start.
	fails func(route string, elapsed time.Duration, share float64) bool
	// oldRate is the part of requests that fail at the old versions.
	oldRate float64
	// lag is how old the sums are by which the instances judge.
	lag time.Duration
}

// played is what came of a move.
type played struct {
	state    mover.State
	exposed  int
	requests int
}

var routes = []string{"view", "pay"}

func (w world) play() played {
	const tick = 50 * time.Millisecond
	result := played{
		state: mover.Running,
	}
	var history [][]mover.Evidence
	var evidence []mover.Evidence
	share := mover.Share(0, w.total)
	for elapsed := time.Duration(0); elapsed < w.total; elapsed += tick {
		for range int(w.perSecond * tick.Seconds()) {
			evidence = w.request(&result, evidence, elapsed, share)
		}
		history = append(history, evidence)
		if result.state != mover.Running {
			continue
		}
		seen := max(len(history)-1-int(w.lag/tick), 0)
		if _, faulty := mover.Faulty(history[seen]); faulty {
			result.state = mover.TakenBack
			continue
		}
		if mover.Doubtful(history[seen]) {
			if mover.Overdue(elapsed, w.total) {
				result.state = mover.TakenBack
			}
			continue
		}
		share = mover.Share(elapsed, w.total)
		if mover.Finished(elapsed, w.total) {
			result.state = mover.Done
		}
	}
	return result
}

func (w world) request(
	result *played,
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
	one := mover.Evidence{
		Route: routes[w.random.IntN(len(routes))],
	}
	if w.random.Float64() < share {
		result.exposed++
		one.New.Requests = 1
		if w.fails(one.Route, elapsed, share) {
			one.New.Failures = 1
		}
	} else {
		one.Old.Requests = 1
		if w.random.Float64() < w.oldRate {
			one.Old.Failures = 1
		}
	}
	return mover.Merge(evidence, []mover.Evidence{one})
}

// Bad versions are taken back before they get more than their share of requests,
// good ones are done in time.
func TestMoves(t *testing.T) {
	const seeds = 300
	cases := []struct {
		name string
		// fails is the part of requests that the new version fails.
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
			name:    "good while all fail",
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
			name: "one route",
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
			name: "late",
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
			name: "under load",
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
			w := world{
				random:    random,
				perSecond: 120 + random.Float64()*200,
				total:     time.Duration(12+random.IntN(5)) * time.Second,
				oldRate:   c.oldRate,
				lag:       time.Duration(random.IntN(600)) * time.Millisecond,
			}
			w.fails = func(route string, elapsed time.Duration, share float64) bool {
				return random.Float64() < c.fails(route, elapsed, share)
			}
			got := w.play()
			if got.state != c.want {
				t.Errorf("%s, seed %d: %s, want %s", c.name, seed, got.state, c.want)
			}
			bound := int(exposureShare*float64(got.requests)) + exposureSlack
			if c.want == mover.TakenBack && got.exposed > bound {
				t.Errorf("%s, seed %d: %d requests at a bad version, want at most %d", c.name, seed, got.exposed, bound)
			}
		}
	}
}

// A move takes no further step while its new version is hardly reached: nothing that
// is seen speaks for it.
func TestUnseenVersionsAreDoubtful(t *testing.T) {
	cases := []struct {
		name     string
		newCount int
		oldCount int
		want     bool
	}{
		{
			name: "nothing has come yet",
		},
		{
			name:     "too little has come to tell",
			oldCount: 300,
		},
		{
			name:     "the new version gets nothing",
			oldCount: 700,
			want:     true,
		},
		{
			name:     "the new version gets its part",
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
			t.Errorf("%s: doubtful %t, want %t", c.name, got, c.want)
		}
	}
}
