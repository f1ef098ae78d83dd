// Package recorder keeps the latest events of one process, and copies of those of other
// processes, for the time line of events.
package recorder

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// DefaultCapacity is the default number of events that a process keeps.
const DefaultCapacity = 4096

// Event is one change of state.
type Event struct {
	// At orders the event among the events of all processes.
	At timestamper.Timestamp
	// Process names the process that recorded the event.
	Process string
	// Kind names what happened, in Pascal case.
	Kind string
	// Object names the object that it happened to, or is empty.
	Object string
	// Detail is one line of text for people. It never holds a key.
	Detail string
}

// Compare orders events by their stamps, which follow causality, and events with the
// same stamp by process.
func Compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process))
}

// Recorder is a ring buffer of events. Recording takes no lock.
//
// Invariant: slot i holds the newest event whose sequence number is i modulo capacity.
type Recorder struct {
	process string
	clock   *timestamper.Clock
	next    atomic.Uint64
	slots   []atomic.Pointer[Event]
}

// New returns an empty recorder with the given capacity, in events.
func New(process string, clock *timestamper.Clock, capacity int) *Recorder {
	return &Recorder{
		process: process,
		clock:   clock,
		slots:   make([]atomic.Pointer[Event], capacity),
	}
}

// Record adds an event and returns it. It replaces the oldest event if all slots are
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

// AddCopies adds copies of events that other processes recorded.
func (r *Recorder) AddCopies(copies []Event) {
	for _, event := range copies {
		r.store(event)
	}
}

// OwnEvents returns the events kept that this process recorded, in the order of Compare.
func (r *Recorder) OwnEvents() []Event {
	return slices.DeleteFunc(r.Events(), func(event Event) bool {
		return event.Process != r.process
	})
}

func (r *Recorder) store(event Event) {
	sequence := r.next.Add(1) - 1
	r.slots[sequence%uint64(len(r.slots))].Store(&event)
}

// Events returns all events kept, in the order of Compare.
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
