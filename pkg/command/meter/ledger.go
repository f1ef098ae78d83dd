package meter

import "slices"

// MaxReports is the number of recorded windows that are kept until they are acknowledged: ten
// minutes of windows of 5 s. With 140 teams they take 186 KB, a quarter of the largest value of the
// store.
const MaxReports = 120

// Ledger says which windows have been decided: recorded with their counts or given up. It is
// stored in the object of the duty before a report is sent, and is immutable.
//
// Invariant: a window is recorded at most once, because only windows after Last are.
type Ledger struct {
	_ struct{} `cbor:",toarray"`
	// Last is the latest window that was decided; 0 before the first.
	Last int64
	// Reports are the windows that are recorded and not known to be acknowledged, in order, at
	// most MaxReports.
	Reports []WindowCounts
	// Failures counts the holders in sequence that gave the duty up because the platform
	// accepted none of their calls.
	Failures int
}

// WithReport returns the ledger with a window recorded. A window that was decided before
// changes nothing. If there are more than MaxReports, the oldest one is given up, which stays
// decided.
func (l Ledger) WithReport(report WindowCounts) Ledger {
	if report.Window <= l.Last {
		return l
	}
	l.Last = report.Window
	kept := l.Reports[max(0, len(l.Reports)+1-MaxReports):]
	l.Reports = append(slices.Clip(slices.Clone(kept)), report)
	return l
}

// GivenUp returns the windows of an earlier ledger that are neither recorded in this one nor
// accepted.
func (l Ledger) GivenUp(earlier Ledger, progress Progress) []int64 {
	var windows []int64
	for _, report := range earlier.Reports {
		if len(l.Reports) > 0 && report.Window < l.Reports[0].Window && !progress.IsAccepted(report.Window) {
			windows = append(windows, report.Window)
		}
	}
	return windows
}

// WithoutReports returns the ledger without the reports that need no further call.
func (l Ledger) WithoutReports(progress Progress) Ledger {
	kept := make([]WindowCounts, 0, len(l.Reports))
	for _, report := range l.Reports {
		if !progress.IsAccepted(report.Window) {
			kept = append(kept, report)
		}
	}
	l.Reports = kept
	return l
}

// WithFailures returns the ledger with that number of failed holders.
func (l Ledger) WithFailures(failures int) Ledger {
	l.Failures = failures
	return l
}

// Adopted returns the ledger with which an instance takes over at a time in the window current.
// If the ledger may not be the latest one, a holder that the store has forgotten may have
// recorded any window that has ended, so all of them count as decided.
func (l Ledger) Adopted(current int64, complete bool) Ledger {
	if complete && l.Last != 0 {
		return l
	}
	l.Last = max(l.Last, current-1)
	return l
}

// Next returns the first window that is not decided, of those that can still be reported.
func (l Ledger) Next(current int64) int64 {
	return max(l.Last+1, current-Retained+1)
}
