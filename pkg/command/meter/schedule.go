package meter

import "time"

// Schedule says when windows are recorded.
type Schedule struct {
	// Length is the length of a window.
	Length time.Duration
	// Settle is the time after a window's end after which it is recorded if its counts are
	// complete, and SettleLatest the time after which it is recorded as it is.
	Settle       time.Duration
	SettleLatest time.Duration
}

// CountFunc returns the counts of a window, and whether they are complete. It returns nil if
// the instance does not know them.
type CountFunc func(window int64) (counts Counts, complete bool)

// Advance returns the ledger with the windows recorded that are due at a true time, and whether
// there are any. The reports that need no further call are left out.
func (s Schedule) Advance(ledger Ledger, progress Progress, now time.Time, count CountFunc) (Ledger, bool) {
	next := ledger.WithoutReports(progress)
	current := WindowAt(now, s.Length)
	for window := ledger.Next(current); window < current; window++ {
		since := now.Sub(EndOf(window, s.Length))
		if since < s.Settle {
			break
		}
		counts, complete := count(window)
		if counts == nil || !complete && since < s.SettleLatest {
			break
		}
		next = next.WithReport(WindowCounts{
			Window: window,
			Counts: counts,
		})
	}
	return next, next.Last != ledger.Last
}
