// Package recorder keeps the latest events of one process for the time line.
package recorder

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/hemlockport/hemlockport/pkg/stamper"
)

// DefaultCapacity is how many events a process keeps.
const DefaultCapacity = 4096

// Event is one change of state.
type Event struct {
	// At orders the event among those of all processes.
	At stamper.Stamp
	// Process names the process that recorded it.
	Process string
	// Kind names what happened, in Pascal case.
	Kind string
	// Object names what it happened to, or is empty.
	Object string
	// Detail is one line for a person. It never holds a key.
	Detail string
}

// Compare orders events causally, and those that happened apart by process.
func Compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process))
}

// Recorder is a ring of events. Recording takes no lock.
//
// Invariant: slot i holds the newest event whose number is i modulo capacity.
type Recorder struct {
	process string
	clock   *stamper.Clock
	next    atomic.Uint64
	slots   []atomic.Pointer[Event]
}

// New returns an empty recorder of that capacity.
func New(process string, clock *stamper.Clock, capacity int) *Recorder {
	return &Recorder{
		process: process,
		clock:   clock,
		slots:   make([]atomic.Pointer[Event], capacity),
	}
}

// Record adds an event and returns it. The oldest is dropped when all slots are
// taken.
func (r *Recorder) Record(kind, object, detail string) Event {
	event := Event{
		At:      r.clock.Next(),
		Process: r.process,
		Kind:    kind,
		Object:  object,
		Detail:  detail,
	}
	r.store(event)
	return event
}

// Keep adds copies of other processes' events.
func (r *Recorder) Keep(copied []Event) {
	for _, event := range copied {
		r.store(event)
	}
}

// Own returns the events of this process that are kept, in order.
func (r *Recorder) Own() []Event {
	return slices.DeleteFunc(r.Events(), func(event Event) bool {
		return event.Process != r.process
	})
}

func (r *Recorder) store(event Event) {
	number := r.next.Add(1) - 1
	r.slots[number%uint64(len(r.slots))].Store(&event)
}

// Events returns the events kept, in order.
func (r *Recorder) Events() []Event {
	events := make([]Event, 0, len(r.slots))
	for i := range r.slots {
		if event := r.slots[i].Load(); event != nil {
			events = append(events, *event)
		}
	}
	slices.SortFunc(events, Compare)
	return events
}
