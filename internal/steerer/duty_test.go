package steerer

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// TestUnlinkedPlaceIsExpected checks that a failure domain of which no instance is linked at the
// moment still belongs to the fleet. Otherwise a holder whose link was cut for a moment would take
// a window as complete without the counts of that failure domain.
func TestUnlinkedPlaceIsExpected(t *testing.T) {
	self := registrar.Member{
		Name:        "front-1",
		Incarnation: "front-1/1",
		Place:       "derby",
	}
	s := &Steerer{
		self: self,
		hub: linker.New(linker.Options{
			Self:  self,
			Clock: timestamper.New(time.Now),
		}),
	}
	roster := registrar.NewRoster(storer.Position{
		Revision: 1,
	}, self, registrar.Member{
		Name:        "front-2",
		Incarnation: "front-2/1",
		Place:       "york",
	})
	s.roster.Store(&roster)
	members := map[string]int{}
	for _, place := range s.dutyFleet("").Places {
		members[place.Name] = len(place.Members)
	}
	if count, found := members["york"]; !found || count != 0 || members["derby"] != 1 {
		t.Fatalf("got the members %v, want derby with one and york with none", members)
	}
}
