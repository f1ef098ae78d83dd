package adopter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/adopter"
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

// TestNeverReverts hands bundles over late, doubled and out of order.
func TestNeverReverts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 10_000
	properties := gopter.NewProperties(parameters)
	properties.Property("revision in force", prop.ForAll(
		func(seed uint64) bool {
			random := rand.New(rand.NewPCG(seed, 3))
			plans := holder.New[admitter.Plan]()
			adopt := adopter.New(registrar.Member{Place: "derby"}, plans)
			highest := uint64(0)
			for range 30 {
				revision := uint64(random.IntN(20))
				advanced := adopt.Adopt(bundle(revision, 1), time.Now())
				if advanced != (revision > highest) {
					return false
				}
				highest = max(highest, revision)
				if adopt.Revision() != highest || plans.Load().Table().RevisionNumber() != highest {
					return false
				}
			}
			return true
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestSeatFollowsConfiguration(t *testing.T) {
	plans := holder.New[admitter.Plan]()
	adopt := adopter.New(registrar.Member{Place: "derby"}, plans)
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
			run:  func() { adopt.Adopt(bundle(1, 2), time.Now()) },
		},
		{
			name: "seat claimed",
			run:  func() { adopt.TakeSeats([]registrar.Seat{second}, false, time.Now()) },
			of:   2,
		},
		{
			name: "more seats declared",
			run:  func() { adopt.Adopt(bundle(2, 3), time.Now()) },
			of:   3,
		},
		{
			name: "the seat is declared no more",
			run:  func() { adopt.Adopt(bundle(3, 1), time.Now()) },
		},
	}
	for _, step := range steps {
		step.run()
		of := 0
		for _, seat := range plans.Load().Seats() {
			of = seat.Of
		}
		if of != step.of {
			t.Fatalf("%s: seat of %d, want %d", step.name, of, step.of)
		}
	}
}

// TestConfirm asks that a larger part comes into force only for the revision that
// all others have, and not before what was lent from it has ended.
func TestConfirm(t *testing.T) {
	start := time.Now()
	plans := holder.New[admitter.Plan]()
	adopt := adopter.New(registrar.Member{Place: "derby"}, plans)
	withTeam := func(revision uint64, burst int) publisher.Bundle {
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
		// burst is what the team's bucket has room for afterwards.
		burst int
	}{
		{
			name: "adopted and seated",
			run: func() {
				adopt.Adopt(withTeam(1, 20), start)
				adopt.TakeSeats([]registrar.Seat{seat}, false, start)
			},
		},
		{
			name: "confirmed for another revision",
			run:  func() { adopt.Confirm(2, start) },
		},
		{
			name:  "confirmed",
			run:   func() { adopt.Confirm(1, start) },
			burst: 20,
		},
		{
			name:  "a decrease is in force at once",
			run:   func() { adopt.Adopt(withTeam(2, 8), start) },
			burst: 8,
		},
		{
			name:  "an increase is not",
			run:   func() { adopt.Adopt(withTeam(3, 40), start) },
			burst: 8,
		},
		{
			name:  "nor when it is confirmed before loans have ended",
			run:   func() { adopt.Confirm(3, start.Add(sharer.UnitTerm)) },
			burst: 8,
		},
		{
			name:  "but then",
			run:   func() { adopt.Confirm(3, start.Add(sharer.Quarantine)) },
			burst: 40,
		},
	}
	for _, step := range steps {
		step.run()
		desk, _ := plans.Load().Desk("quilters")
		if burst := desk.Bucket.Limit().Burst; burst != step.burst {
			t.Fatalf("%s: room for %d, want %d", step.name, burst, step.burst)
		}
	}
}
