// Package merger merges the events of many processes into one time line.
package merger

import (
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/recorder"
)

// Filter chooses events. Its zero value takes all.
type Filter struct {
	// Process takes only the events of one process, unless empty.
	Process string
	// Object takes only the events whose object contains the text, unless empty.
	Object string
	// Since drops earlier events, unless zero.
	Since time.Time
}

// WithProcess returns a copy that takes only one process.
func (f Filter) WithProcess(process string) Filter {
	f.Process = process
	return f
}

// WithObject returns a copy that takes only objects with that text.
func (f Filter) WithObject(object string) Filter {
	f.Object = object
	return f
}

// WithSince returns a copy that drops earlier events.
func (f Filter) WithSince(since time.Time) Filter {
	f.Since = since
	return f
}

// Takes says whether the filter takes an event.
func (f Filter) Takes(event recorder.Event) bool {
	if f.Process != "" && event.Process != f.Process {
		return false
	}
	if f.Since.After(event.At.Time()) {
		return false
	}
	return strings.Contains(event.Object, f.Object)
}

// Merge returns the events that the filter takes, in causal order and each once.
func Merge(filter Filter, sources ...[]recorder.Event) []recorder.Event {
	var merged []recorder.Event
	for _, source := range sources {
		for _, event := range source {
			if filter.Takes(event) {
				merged = append(merged, event)
			}
		}
	}
	slices.SortFunc(merged, recorder.Compare)
	return slices.Compact(merged)
}
