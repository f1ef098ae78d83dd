// Package leaser decides which instance holds a duty: a lease with a fencing token, stored in
// one object that is written conditionally. It does no I/O and reads no clock. A State is an
// immutable value; its Decide says what to do next, and its other methods return the state
// after an event.
//
// What keeps two instances from acting at the same time:
//   - A holder acts until Terms.Lease after the start of its last write, on a clock that counts
//     suspended time.
//   - Another instance takes the duty over only after it has seen the object unchanged for
//     longer, by a write on the condition that it still is.
//   - A new holder waits before its first call: Terms.Quiet, or the whole lease if the store
//     has returned from an older copy since the object was written.
//
// What keeps fencing tokens and recorded values unique: within an era of the store the
// conditional writes form one chain, and a token starts with the number of the era.
package leaser

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Instant is a time on the clock of one machine that counts suspended time and never jumps. It
// must not be compared with that of another machine.
type Instant = time.Duration

// tokensPerEra is the number of fencing tokens in an era of the store. A token of a later era
// is thus above all of an earlier one, also of those that the store has lost.
const tokensPerEra = 1 << 20

// Terms are the times of a lease.
type Terms struct {
	// Lease is how long a holder may act after the start of its last write. It is longer than
	// the time between two writes.
	Lease time.Duration
	// Quiet is the time between a take-over and the first call of the new holder.
	Quiet time.Duration
	// Margin is how much longer than Lease another instance waits.
	Margin time.Duration
	// Turn is the time between the turns of two instances to take over.
	Turn time.Duration
	// Renew is the time after the start of a holder's last write after which it writes also
	// without anything to record.
	Renew time.Duration
	// Retry is the time between a failed call to the store and the next one.
	Retry time.Duration
}

// Holder identifies an instance that holds the duty.
type Holder struct {
	// Name is the name of the instance, and Machine identifies its process among all that
	// were ever started.
	Name    string
	Machine string
}

// Record is what the object holds.
type Record[T any] struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Machine string
	// Token is the fencing token of the holder's lease, at least 1.
	Token uint64
	// Sequence counts the writes. The store does not change the revision if a write changes
	// nothing, so no two writes are the same.
	Sequence uint64
	// Era is the era of the store, as the writer knew it.
	Era uint64
	// Released says that the holder has ended its last call and gives the duty up.
	Released bool
	// Value is stored together with the lease.
	Value T
}

// isLaterThan reports whether the record was written after other, also across eras.
func (r Record[T]) isLaterThan(other Record[T]) bool {
	if r.Token != other.Token {
		return r.Token > other.Token
	}
	return r.Sequence > other.Sequence
}

// View is the object at a point in the store's history.
type View[T any] struct {
	// Position has the store's era and the revision of the object's last write; the revision
	// is 0 if there is no object.
	Position storer.Position
	Record   Record[T]
}

// isFromThisEra reports whether the object was written in the era in which it was seen. If
// not, the store has returned from an older copy since, and may have lost later writes.
func (v View[T]) isFromThisEra() bool {
	return v.Position.Revision != 0 && v.Record.Era == v.Position.Era
}

// Step is a kind of action.
type Step int

const (
	// Wait means to ask again when something has changed, or at Action.Until.
	Wait Step = iota
	// Read means to read the object, and to report it to State.Read or State.Failed.
	Read
	// Write means to write the record on the condition that the object is as in the view,
	// and to report the result to State.Written, State.Refused or State.Failed.
	Write
	// Call means to make a call with the fencing token, which must have ended at Until.
	Call
)

// Action is what an instance is to do next.
type Action[T any] struct {
	Step Step
	// Record is what to write, and Revision the revision that the object must have, or 0 if it
	// must not exist.
	Record   Record[T]
	Revision uint64
	// Until is the end of a wait, or of the permission to make a call.
	Until Instant
}

// Wants is what an instance has to do for the duty, and its place in the order of precedence.
type Wants[T any] struct {
	// Eligible says that the instance can carry out the duty. Rank is how many instances
	// precede it.
	Eligible bool
	Rank     int
	// HasUpdate says that Update has to be recorded before the next call.
	HasUpdate bool
	Update    T
	// Pending says that a call is due whose content is recorded.
	Pending bool
	// Release says that the instance gives the duty up, if it holds it.
	Release bool
	// Adopt returns the value with which the instance takes the duty over. recorded is the
	// latest value that it knows, and complete says that no later one can have been recorded.
	Adopt func(recorded T, complete bool) T
}
