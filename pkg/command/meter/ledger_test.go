package meter_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

// TestLedgerIsBounded checks that the record does not outgrow the store's objects while the
// platform accepts nothing: a holder could not renew its lease any more. The windows that are
// given up stay decided.
func TestLedgerIsBounded(t *testing.T) {
	const windows = 5000
	ledger := meter.Ledger{}
	for window := int64(1); window <= windows; window++ {
		ledger = ledger.WithReport(meter.WindowCounts{
			Window: window,
		})
	}
	if len(ledger.Reports) != meter.MaxReports || ledger.Last != windows {
		t.Fatalf("got %d reports through window %d, want %d through %d", len(ledger.Reports), ledger.Last, meter.MaxReports, windows)
	}
	oldest := ledger.Reports[0]
	if oldest.Window != windows-meter.MaxReports+1 {
		t.Errorf("got window %d as the oldest, want the latest ones to be kept", oldest.Window)
	}
	again := ledger.WithReport(meter.WindowCounts{
		Window: oldest.Window - 1,
	})
	if len(again.Reports) != meter.MaxReports || again.Reports[0].Window != oldest.Window {
		t.Error("a window that was given up was recorded again")
	}
	if givenUp := again.GivenUp(meter.Ledger{
		Reports: []meter.WindowCounts{
			{
				Window: 7,
			},
			oldest,
		},
	}, meter.Progress{}); len(givenUp) != 1 || givenUp[0] != 7 {
		t.Errorf("got %v as given up, want window 7", givenUp)
	}
}
