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
