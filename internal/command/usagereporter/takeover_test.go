package usagereporter

import (
	"math"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestSuccessorWaitsForSums checks that a new holder does not record a window before the other
// failure domains have sent it their sums: they have sent them to the holder before it, and a
// window that is recorded without them has a wrong report.
func TestSuccessorWaitsForSums(t *testing.T) {
	const requests = 70
	h := newHarness(t)
	other := registrar.Member{
		Name:        "peer",
		Incarnation: "peer-1",
		Place:       "york",
	}
	h.fleet.Places = append(h.fleet.Places, Place{
		Name:    other.Place,
		Members: []registrar.Member{other},
	})
	last := int64(1000)
	h.startAt(meter.EndOf(last+1, h.reporter.schedule.Length).Add(-time.Second))
	h.storeRecord(leaser.Record[ledger]{
		Name:     "earlier",
		Machine:  "earlier-1",
		Token:    3,
		Sequence: 5,
		Era:      h.position.Era,
		Value: ledger{
			Last: last,
		},
	})
	for !h.reporter.state.Holds() {
		h.run(tickInterval)
	}
	// The leader of the other failure domain learns of the new holder and sends at its next round.
	h.run(exchangeInterval)
	through := meter.WindowAt(h.reporter.trueTime(), h.reporter.schedule.Length) - 1
	sums := countsMessage{
		Place:   other.Place,
		Through: through,
	}
	for window := last + 1; window <= through; window++ {
		sums.Windows = append(sums.Windows, meter.WindowCounts{
			Window: window,
			Counts: meter.Counts{
				"team": requests,
			},
		})
	}
	h.reporter.receiveSums(other, sums)
	h.run(4 * time.Second)
	if len(h.calls) == 0 {
		t.Fatal("got no calls of the new holder")
	}
	for _, report := range h.record().Value.Reports {
		if report.Window <= through && report.Counts["team"] < requests {
			t.Errorf("window %d: got %d requests, want at least %d", report.Window, report.Counts["team"], requests)
		}
	}
	for _, call := range h.calls {
		if call.Window <= through && call.Counts["team"] < requests {
			t.Errorf("call for window %d: got %d requests, want at least %d", call.Window, call.Counts["team"], requests)
		}
	}
}

// startAt makes true time begin at a time.
func (h *harness) startAt(started time.Time) {
	from := h.now
	h.reporter.wall = func() time.Time { return started.Add(h.now - from) }
	h.reporter.clocks = meter.NewClocks(started, from)
}

// storeRecord puts a record into the store.
func (h *harness) storeRecord(record leaser.Record[ledger]) {
	h.t.Helper()
	encoded, err := recordCodec.Encode(record)
	if err != nil {
		h.t.Fatal(err)
	}
	h.value = encoded
	h.position.Revision++
}

// TestOddWindowsOfAPeerAreDropped checks that windows which cannot be counted any more or not yet
// take no memory. Their difference from the present one may overflow.
func TestOddWindowsOfAPeerAreDropped(t *testing.T) {
	h := newHarness(t)
	current := meter.WindowAt(h.reporter.trueTime(), h.reporter.schedule.Length)
	cases := []struct {
		name   string
		window int64
		kept   int
	}{
		{
			name:   "very low number",
			window: math.MinInt64 + 1,
		},
		{
			name:   "greatest number",
			window: math.MaxInt64,
		},
		{
			name:   "too old",
			window: current - meter.Retained,
		},
		{
			name:   "present",
			window: current,
			kept:   1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h.reporter.members = meter.NewTally()
			h.reporter.receiveCounts(registrar.Member{
				Incarnation: "peer-1",
			}, countsMessage{
				Windows: []meter.WindowCounts{
					{
						Window: current - 1,
					},
					{
						Window: c.window,
					},
				},
			})
			if got := len(h.reporter.members.Sums(math.MinInt64)); got != c.kept+1 {
				t.Errorf("got %d windows, want %d", got, c.kept+1)
			}
		})
	}
}

// TestEarlierCountsDoNotReplaceLaterOnes checks that the latest counts of a peer remain if a link
// hands over two messages in another order: the peer would not send them again.
func TestEarlierCountsDoNotReplaceLaterOnes(t *testing.T) {
	const requests = 70
	cases := []struct {
		name    string
		numbers []uint64
	}{
		{
			name:    "in order",
			numbers: []uint64{1, 2},
		},
		{
			name:    "exchanged",
			numbers: []uint64{2, 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			peer := registrar.Member{
				Incarnation: "peer-1",
			}
			current := meter.WindowAt(h.reporter.trueTime(), h.reporter.schedule.Length)
			for _, number := range c.numbers {
				received := countsMessage{
					Number: number,
					Place:  "york",
					Windows: []meter.WindowCounts{
						{
							Window: current,
							Counts: meter.Counts{
								"team": int64(number) * requests,
							},
						},
					},
				}
				h.reporter.receiveCounts(peer, received)
				h.reporter.receiveSums(peer, received)
			}
			counted := h.reporter.members.Sum(current)["team"]
			summed := h.reporter.places["york"].tally.Highest(current)["team"]
			if counted != 2*requests || summed != 2*requests {
				t.Errorf("got %d counted and %d summed, want %d", counted, summed, 2*requests)
			}
		})
	}
}
