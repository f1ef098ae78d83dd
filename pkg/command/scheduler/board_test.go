package scheduler_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// overloaded are figures of which a level follows that admits little of priority 1.
var overloaded = scheduler.Figures{
	"shopfront": scheduler.Counts{
		{
			Served: 50,
		},
		{
			Full: 200,
		},
	},
}

// calm are figures of which a level follows that admits all.
var calm = scheduler.Figures{
	"shopfront": scheduler.Counts{
		{
			Served: 200,
		},
	},
}

// TestBoardFollowsFreshFigures guards against an admission level that goes on refusing by the
// figures of an instance that is gone, and against one that ignores those of the fleet.
func TestBoardFollowsFreshFigures(t *testing.T) {
	cases := []struct {
		name  string
		board scheduler.Board
		leads bool
		// atMillis is when the level is computed.
		atMillis int
		refuses  bool
	}{
		{
			name: "nothing is known",
		},
		{
			name:    "the leader tells of an overload",
			board:   scheduler.Board{}.WithMember("self", calm, at(0)).WithFleet(overloaded, at(0)),
			refuses: true,
		},
		{
			name:     "the leader has died",
			board:    scheduler.Board{}.WithMember("self", calm, at(3500)).WithFleet(overloaded, at(0)),
			atMillis: 3500,
		},
		{
			name:    "an instance alone",
			board:   scheduler.Board{}.WithMember("self", overloaded, at(0)),
			refuses: true,
		},
		{
			name: "the leader sums its members and the other domains",
			board: scheduler.Board{}.WithMember("self", calm, at(0)).
				WithDomain("derby", overloaded, at(0)).
				WithDomain("corby", overloaded, at(0)),
			leads:   true,
			refuses: true,
		},
		{
			name:     "a domain is cut off from the leader",
			board:    scheduler.Board{}.WithDomain("derby", overloaded, at(0)).WithMember("self", calm, at(3500)),
			leads:    true,
			atMillis: 3500,
		},
		{
			name:  "a leader does not follow what another leader has told",
			board: scheduler.Board{}.WithMember("self", calm, at(0)).WithFleet(overloaded, at(0)),
			leads: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			level := c.board.Levels(c.leads, at(c.atMillis))["shopfront"]
			if got := !level.AdmitsAll(); got != c.refuses {
				t.Errorf("got level %+v, want that it refuses: %t", level, c.refuses)
			}
			if level.Share(0) < level.Share(1) {
				t.Errorf("got level %+v, want that the more urgent priority goes first", level)
			}
		})
	}
}
