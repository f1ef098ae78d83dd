package meter

import "maps"

// Progress is what a holder knows of the calls that it has made. Reports are sent in passes, each
// in the order of the windows. It is immutable; the zero value is that of a new holder.
type Progress struct {
	// accepted holds the windows whose reports need no further call.
	accepted map[int64]bool
	// tried is the latest window of this pass whose call got no answer; 0 if there is none.
	tried int64
}

// IsAccepted reports whether the report of a window needs no further call.
func (p Progress) IsAccepted(window int64) bool {
	return p.accepted[window]
}

// HasAccepted reports whether any report was accepted.
func (p Progress) HasAccepted() bool {
	return len(p.accepted) > 0
}

// WithAccepted returns the progress after the platform has accepted the report of a window, or
// has rejected it for good.
func (p Progress) WithAccepted(window int64) Progress {
	next := maps.Clone(p.accepted)
	if next == nil {
		next = map[int64]bool{}
	}
	maps.DeleteFunc(next, func(known int64, _ bool) bool { return window-known > 2*Retained })
	next[window] = true
	p.accepted = next
	return p
}

// WithUnanswered returns the progress after the call for a window may have been received, but was
// not answered. Later windows do not wait for its repeat, which comes in the next pass.
func (p Progress) WithUnanswered(window int64) Progress {
	p.tried = window
	return p
}

// WithFailed returns the progress after a call was not received or was refused. The next pass
// begins.
func (p Progress) WithFailed() Progress {
	p.tried = 0
	return p
}

// Next returns the report to send next, and false if none is left.
func (p Progress) Next(ledger Ledger) (WindowCounts, bool) {
	first, found := WindowCounts{}, false
	for _, report := range ledger.Reports {
		if p.accepted[report.Window] {
			continue
		}
		if report.Window > p.tried {
			return report, true
		}
		if !found {
			first, found = report, true
		}
	}
	return first, found
}
