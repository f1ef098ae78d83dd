package applier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/applier"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

func bundle(revision uint64, seats int) publisher.Bundle {
	return publisher.Bundle{
		Head: publisher.Head{
			Revision: revision,
		},
		Document: declarer.Document{
			Place: []declarer.Place{
				{
					Name:   "derby",
					Region: "east",
					Seats:  seats,
				},
			},
		},
	}
}

// TestNeverReverts applies bundles that arrive late, repeatedly and out of order, and
// checks that the highest revision so far is always the one in force.
func TestNeverReverts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 10_000
	properties := gopter.NewProperties(parameters)
	properties.Property("the highest revision is in force", prop.ForAll(
		func(seed uint64) bool {
			random := rand.New(rand.NewPCG(seed, 3))
			plans := holder.New[admitter.Plan]()
			a := applier.New(registrar.Member{Place: "derby"}, plans)
			highest := uint64(0)
			for range 30 {
				revision := uint64(random.IntN(20))
				advanced := a.Apply(bundle(revision, 1), time.Now())
				if advanced != (revision > highest) {
					return false
				}
				highest = max(highest, revision)
				if a.Revision() != highest || plans.Load().Table().RevisionNumber() != highest {
					return false
				}
			}
			return true
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// TestSeatFollowsConfiguration checks that the plan's seat has the number of seats of the
// configuration in force, and that the plan has no seat once the configuration does not
// declare it any more.
func TestSeatFollowsConfiguration(t *testing.T) {
	plans := holder.New[admitter.Plan]()
	a := applier.New(registrar.Member{Place: "derby"}, plans)
	second := registrar.Seat{
		Place:  "derby",
		Number: 1,
	}
	steps := []struct {
		name string
		run  func()
		of   int
	}{
		{
			name: "no seat yet",
			run:  func() { a.Apply(bundle(1, 2), time.Now()) },
		},
		{
			name: "seat claimed",
			run:  func() { a.SetSeats([]registrar.Seat{second}, false, time.Now()) },
			of:   2,
		},
		{
			name: "more seats declared",
			run:  func() { a.Apply(bundle(2, 3), time.Now()) },
			of:   3,
		},
		{
			name: "seat no longer declared",
			run:  func() { a.Apply(bundle(3, 1), time.Now()) },
		},
	}
	for _, step := range steps {
		step.run()
		of := 0
		for _, seat := range plans.Load().Seats() {
			of = seat.Count
		}
		if of != step.of {
			t.Fatalf("%s: got a plan for a seat among %d, want among %d", step.name, of, step.of)
		}
	}
}

// TestIncreasesWaitForConfirm checks that an increased part of a limit comes into force
// only when its own revision is confirmed, and not before all loans from it have ended.
// Otherwise two instances could use the same units of a limit.
func TestIncreasesWaitForConfirm(t *testing.T) {
	start := time.Now()
	plans := holder.New[admitter.Plan]()
	a := applier.New(registrar.Member{Place: "derby"}, plans)
	bundleWithTeam := func(revision uint64, burst int) publisher.Bundle {
		next := bundle(revision, 1)
		next.Document.Team = []declarer.Team{
			declarer.Team{
				Name: "quilters",
			}.WithRate(float64(burst), burst),
		}
		return next
	}
	seat := registrar.Seat{
		Place: "derby",
	}
	steps := []struct {
		name string
		run  func()
		// burst is the capacity of the team's bucket afterwards.
		burst int
	}{
		{
			name: "applied and seated, not confirmed",
			run: func() {
				a.Apply(bundleWithTeam(1, 20), start)
				a.SetSeats([]registrar.Seat{seat}, false, start)
			},
		},
		{
			name: "another revision confirmed",
			run:  func() { a.Confirm(2, start) },
		},
		{
			name:  "revision confirmed",
			run:   func() { a.Confirm(1, start) },
			burst: 20,
		},
		{
			name:  "decrease in force at once",
			run:   func() { a.Apply(bundleWithTeam(2, 8), start) },
			burst: 8,
		},
		{
			name:  "increase not confirmed",
			run:   func() { a.Apply(bundleWithTeam(3, 40), start) },
			burst: 8,
		},
		{
			name:  "increase confirmed before all loans have ended",
			run:   func() { a.Confirm(3, start.Add(sharer.LoanTerm)) },
			burst: 8,
		},
		{
			name:  "increase confirmed after all loans have ended",
			run:   func() { a.Confirm(3, start.Add(sharer.Quarantine)) },
			burst: 40,
		},
	}
	for _, step := range steps {
		step.run()
		limiter, _ := plans.Load().Limiter("quilters")
		if burst := limiter.Bucket.Limit().Burst; burst != step.burst {
			t.Fatalf("%s: got burst %d, want %d", step.name, burst, step.burst)
		}
	}
}
