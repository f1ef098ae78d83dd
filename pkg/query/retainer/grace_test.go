package retainer_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/query/retainer"
)

// TestGraceEnds checks how long an object that is missing is kept. It guards against a grace
// period that each further outage begins anew, so that it need not end (review case 7).
func TestGraceEnds(t *testing.T) {
	// step is an event at a time, in milliseconds after the begin.
	type step struct {
		atMillis int
		event    string
	}
	cases := []struct {
		name  string
		steps []step
		// keptUntil is when the object is kept no longer, in milliseconds; 0 if it is not kept.
		keptUntil int
	}{
		{
			name:  "missing in calm",
			steps: []step{{1000, "absent"}},
		},
		{
			name:      "missing after an outage",
			steps:     []step{{1000, "outage ended"}, {1000, "absent"}},
			keptUntil: 1000 + testKeepMillis,
		},
		{
			name:      "missing later in the grace period",
			steps:     []step{{1000, "outage ended"}, {2000, "absent"}},
			keptUntil: 1000 + testKeepMillis,
		},
		{
			name: "outages end again and again",
			steps: []step{
				{1000, "outage ended"}, {1000, "absent"}, {1500, "outage ended"}, {1500, "absent"}, {2500, "outage ended"}, {2600, "absent"},
			},
			keptUntil: 1000 + testKeepMillis,
		},
		{
			name: "listed between two absences",
			steps: []step{
				{1000, "outage ended"}, {1000, "absent"}, {1500, "listed"}, {2500, "outage ended"}, {2500, "absent"},
			},
			keptUntil: 2500 + testKeepMillis,
		},
		{
			name:  "missing before the outage ended, for long",
			steps: []step{{1000, "absent"}, {4000, "outage ended"}, {4000, "absent"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			at := func(millis int) time.Time { return begin.Add(time.Duration(millis) * time.Millisecond) }
			grace := retainer.NewGrace(testKeepMillis)
			last := 0
			for _, step := range c.steps {
				last = step.atMillis
				switch step.event {
				case "outage ended":
					grace = grace.WithOutageEnded(at(last))
				case "absent":
					grace = grace.WithAbsent([]string{"a"}, at(last))
				default:
					grace = grace.WithAbsent(nil, at(last))
				}
			}
			if got := grace.Keeps("a", at(last)); got != (c.keptUntil != 0) {
				t.Fatalf("got kept %t at the last step, want %t", got, c.keptUntil != 0)
			}
			if c.keptUntil != 0 && (!grace.Keeps("a", at(c.keptUntil-1)) || grace.Keeps("a", at(c.keptUntil))) {
				t.Errorf("want the object kept until %d ms exactly", c.keptUntil)
			}
		})
	}
}
