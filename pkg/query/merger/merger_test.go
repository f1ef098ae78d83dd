package merger_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/query/merger"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// TestCausalOrder checks that an event comes after the events that caused it, even if the
// wall clocks of the two processes are a second apart, and that duplicate events are
// returned only once.
func TestCausalOrder(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	ahead := timestamper.New(func() time.Time { return start.Add(time.Second) })
	behind := timestamper.New(func() time.Time { return start })
	first := recorder.New("ahead", ahead, 8)
	second := recorder.New("behind", behind, 8)
	second.Record("Before", "Place derby", "")
	sent := first.Record("Sent", "Place derby", "")
	behind.Observe(sent.At)
	second.Record("Received", "Place derby", "")
	second.Record("Other", "Team x", "")
	second.AddCopies(first.Events())
	cases := []struct {
		name   string
		filter merger.Filter
		kinds  string
	}{
		{
			name:  "all",
			kinds: "Before Sent Received Other",
		},
		{
			name:   "one process",
			filter: merger.Filter{}.WithProcess("behind"),
			kinds:  "Before Received Other",
		},
		{
			name:   "one object",
			filter: merger.Filter{}.WithObject("derby"),
			kinds:  "Before Sent Received",
		},
		{
			name:   "since",
			filter: merger.Filter{}.WithSince(start.Add(500 * time.Millisecond)),
			kinds:  "Sent Received Other",
		},
	}
	for _, c := range cases {
		var kinds []string
		for _, event := range merger.Merge(c.filter, second.Events(), first.Events()) {
			kinds = append(kinds, event.Kind)
		}
		if got := strings.Join(kinds, " "); got != c.kinds {
			t.Errorf("%s: got %q, want %q", c.name, got, c.kinds)
		}
	}
}

// TestRecorderKeepsTheNewest checks that a full recorder drops its oldest event.
func TestRecorderKeepsTheNewest(t *testing.T) {
	r := recorder.New("p", timestamper.New(time.Now), 3)
	for _, kind := range []string{"A", "B", "C", "D"} {
		r.Record(kind, "", "")
	}
	var kinds []string
	for _, event := range r.Events() {
		kinds = append(kinds, event.Kind)
	}
	if got := strings.Join(kinds, " "); got != "B C D" {
		t.Fatalf("got %q, want the newest 3 events B C D", got)
	}
}
