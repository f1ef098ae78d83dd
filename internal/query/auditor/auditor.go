// Package auditor tells from the logs of several instances who held the duty to report the usage
// of teams, since when, and what became of each window. It knows only what the logs hold.
package auditor

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/explainer"
)

// Line holds the fields of a log line about the duty. Fields that the line lacks are empty.
type Line struct {
	Time             time.Time `json:"time"`
	Message          string    `json:"message"`
	Instance         string    `json:"Instance"`
	Token            uint64    `json:"Token"`
	Previous         string    `json:"Previous"`
	PreviousReleased bool      `json:"PreviousReleased"`
	FirstCallMillis  int64     `json:"FirstCallMillis"`
	Reason           string    `json:"Reason"`
	Window           int64     `json:"Window"`
	From             int64     `json:"From"`
	Through          int64     `json:"Through"`
	Requests         int64     `json:"Requests"`
	Complete         bool      `json:"Complete"`
	AgeMillis        int64     `json:"AgeMillis"`
	Late             bool      `json:"Late"`
	Attempts         int       `json:"Attempts"`
	LastError        string    `json:"LastError"`
	Error            string    `json:"error"`
}

// Tenure is the time in which an instance held the duty.
type Tenure struct {
	Holder string
	Token  uint64
	Since  time.Time
	// Start says from whom the duty was taken over, and End how it ended; empty if the logs do
	// not say.
	Start string
	End   string
}

// Window is what became of a window.
type Window struct {
	Number int64
	// State is Recorded, Skipped, InTime, Late or Rejected.
	State    string
	Token    uint64
	Requests int64
	// RecordedMillis and ReportedMillis are the times from the window's end, in milliseconds;
	// 0 if the logs do not say.
	RecordedMillis int64
	ReportedMillis int64
	// Cause says why the window was not reported in time, or is not complete.
	Cause string
}

// The states of windows.
const (
	stateRecorded = "Recorded"
	stateSkipped  = "Skipped"
	stateInTime   = "InTime"
	stateLate     = "Late"
	stateRejected = "Rejected"
)

// Audit is what the logs say about the duty.
type Audit struct {
	// Tenures are in the order of their tokens, and Windows in that of their numbers.
	Tenures []Tenure
	Windows []Window
	// Foreign counts the lines that were skipped, as they are truncated or of another program.
	Foreign int
}

// Log holds the lines that one or more instances logged.
type Log struct {
	Lines   []Line
	Foreign int
}

// Read reads a log.
func Read(source io.Reader) (Log, error) {
	lines, foreign, err := explainer.ReadLines(source, func(line Line) bool {
		return line.Message != "" && line.Instance != "" && !line.Time.IsZero()
	})
	return Log{
		Lines:   lines,
		Foreign: foreign,
	}, err
}

// Examine returns what the logs say.
func Examine(logs []Log) Audit {
	var audit Audit
	var lines []Line
	for _, log := range logs {
		lines = append(lines, log.Lines...)
		audit.Foreign += log.Foreign
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	tenures := map[uint64]Tenure{}
	windows := map[int64]Window{}
	for _, line := range lines {
		addTenure(tenures, line)
		addWindows(windows, line, tenures[line.Token])
	}
	audit.Tenures = slices.SortedFunc(maps.Values(tenures), func(a, b Tenure) int { return cmp.Compare(a.Token, b.Token) })
	audit.Windows = slices.SortedFunc(maps.Values(windows), func(a, b Window) int { return cmp.Compare(a.Number, b.Number) })
	return audit
}

// addTenure adds what a line says about a holder.
func addTenure(tenures map[uint64]Tenure, line Line) {
	tenure := tenures[line.Token]
	tenure.Token = line.Token
	switch line.Message {
	case "DutyAcquired":
		tenure.Holder = line.Instance
		tenure.Since = line.Time
		tenure.Start = startOf(line)
	case "DutyReleased":
		tenure.End = "released: " + line.Reason
		if line.LastError != "" {
			tenure.End += ", " + line.LastError
		}
	default:
		return
	}
	tenures[line.Token] = tenure
}

func startOf(line Line) string {
	first := fmt.Sprintf("first call after %d ms", line.FirstCallMillis)
	switch {
	case line.Previous == "":
		return "nobody held it; " + first
	case line.PreviousReleased:
		return line.Previous + " released it; " + first
	default:
		return line.Previous + " did not renew it; " + first
	}
}

// addWindows adds what a line says about windows. tenure is that of the line's token.
func addWindows(windows map[int64]Window, line Line, tenure Tenure) {
	window := windows[line.Window]
	if line.Message != "WindowsSkipped" && isReported(window) {
		// A later holder repeats a report that it does not know to be accepted.
		return
	}
	window.Number = line.Window
	window.Token = line.Token
	switch line.Message {
	case "WindowRecorded":
		window.State = stateRecorded
		window.Requests = line.Requests
		window.RecordedMillis = line.AgeMillis
		window.Cause = "no report is logged"
		if !line.Complete {
			window.Cause = "recorded without all counts; no report is logged"
		}
	case "ReportFailed":
		window.Cause = "a call failed: " + line.Error
	case "WindowReported":
		window = reported(window, line, tenure)
	case "WindowsSkipped":
		for number := line.From; number <= line.Through; number++ {
			if isReported(windows[number]) {
				continue
			}
			windows[number] = Window{
				Number: number,
				State:  stateSkipped,
				Token:  line.Token,
				Cause:  "given up: it may have been reported by a holder that the store has forgotten, or nobody held the duty for long",
			}
		}
		return
	default:
		return
	}
	windows[line.Window] = window
}

// isReported reports whether the platform has accepted a window's report before.
func isReported(window Window) bool {
	return window.State == stateInTime || window.State == stateLate
}

// reported returns a window after its report was accepted or rejected for good.
func reported(window Window, line Line, tenure Tenure) Window {
	window.ReportedMillis = line.AgeMillis
	switch {
	case line.Error != "":
		window.State = stateRejected
		window.Cause = line.Error
	case line.Late:
		window.State = stateLate
		window.Cause = lateCause(window, line, tenure)
	default:
		window.State = stateInTime
		window.Cause = ""
	}
	return window
}

// lateCause says why a report was late.
func lateCause(window Window, line Line, tenure Tenure) string {
	switch {
	case line.LastError != "":
		return fmt.Sprintf("%d calls; the last failure: %s", line.Attempts, line.LastError)
	case 2*window.RecordedMillis > line.AgeMillis:
		return "recorded late; the holder then: " + tenure.Start
	default:
		return "sent late; the holder: " + tenure.Start
	}
}
