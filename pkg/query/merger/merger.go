// Package merger merges the events of several processes into one timeline.
package merger

import (
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/recorder"
)

// Filter selects events. Its zero value matches all events.
type Filter struct {
	// Process is the process whose events match; empty matches every process.
	Process string
	// Object is a text that the object of a matching event contains; empty matches every
	// object.
	Object string
	// Since is the earliest time of a matching event; zero matches every time.
	Since time.Time
}

// WithProcess returns a copy that matches only the events of one process.
func (f Filter) WithProcess(process string) Filter {
	f.Process = process
	return f
}

// WithObject returns a copy that matches only events whose object contains a text.
func (f Filter) WithObject(object string) Filter {
	f.Object = object
	return f
}

// WithSince returns a copy that matches no events before a time.
func (f Filter) WithSince(since time.Time) Filter {
	f.Since = since
	return f
}

// Matches reports whether the filter matches an event.
func (f Filter) Matches(event recorder.Event) bool {
	if f.Process != "" && event.Process != f.Process {
		return false
	}
	if f.Since.After(event.At.Time()) {
		return false
	}
	return strings.Contains(event.Object, f.Object)
}

// Merge returns the events of all sources that the filter matches, in causal order and
// without duplicates.
func Merge(filter Filter, sources ...[]recorder.Event) []recorder.Event {
	var merged []recorder.Event
	for _, source := range sources {
		for _, event := range source {
			if filter.Matches(event) {
				merged = append(merged, event)
			}
		}
	}
	slices.SortFunc(merged, recorder.Compare)
	return slices.Compact(merged)
}
