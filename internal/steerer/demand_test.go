package steerer

import (
	"slices"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestReportsGoToLinkedInstances checks to whom a report of demand is sent: once to each instance
// that is linked, again to those that have not answered, and to those that link later.
func TestReportsGoToLinkedInstances(t *testing.T) {
	others := []registrar.Member{
		{
			Incarnation: "entry-1/1",
		},
		{
			Incarnation: "entry-2/1",
		},
	}
	steps := []struct {
		name   string
		linked []string
		// answered are the incarnations that answer after the step, and failed those whose
		// answer is an error.
		answered []string
		failed   []string
		want     []string
	}{
		{
			name: "nobody is linked",
		},
		{
			name:   "one is linked",
			linked: []string{"entry-1/1"},
			failed: []string{"entry-1/1"},
			want:   []string{"entry-1/1"},
		},
		{
			name:     "both are linked, and the first has not confirmed",
			linked:   []string{"entry-1/1", "entry-2/1"},
			answered: []string{"entry-1/1"},
			want:     []string{"entry-1/1", "entry-2/1"},
		},
		{
			name:   "the first has confirmed, and the second has not answered",
			linked: []string{"entry-1/1", "entry-2/1"},
		},
	}
	broadcast := newDemandBroadcast(apportioner.Report{})
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			isLinked := func(incarnation string) bool { return slices.Contains(step.linked, incarnation) }
			var got []string
			for _, receiver := range broadcast.nextReceivers(slices.Values(others), isLinked) {
				got = append(got, receiver.Incarnation)
			}
			if !slices.Equal(got, step.want) {
				t.Errorf("got %v, want %v", got, step.want)
			}
			for _, incarnation := range step.answered {
				delete(broadcast.pending, incarnation)
				broadcast.confirmed[incarnation] = true
			}
			for _, incarnation := range step.failed {
				delete(broadcast.pending, incarnation)
			}
		})
	}
}

// TestReportsSayNoLessThanIsClaimed checks that the demand in a report on a link is never below
// the one that the instance claims. It guards against a demand that does not fit its encoding,
// of which peers would count next to nothing.
func TestReportsSayNoLessThanIsClaimed(t *testing.T) {
	demands := []float64{0, 0.01, 19.99, 20, 1e6, apportioner.MaxDemand}
	for _, claimed := range demands {
		source := apportioner.Report{
			Demands: []apportioner.Demand{
				{
					Resource:  "team",
					PerSecond: claimed,
				},
			},
		}
		got := newReport(source).apportionerReport().Demands[0].PerSecond
		if got < claimed || got > claimed+0.1 {
			t.Errorf("got %v requests a second at the peer, want %v to %v", got, claimed, claimed+0.1)
		}
	}
}
