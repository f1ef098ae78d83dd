package leaser

import "github.com/hemlockport/hemlockport/pkg/storer"

// State is what one instance knows of a lease. It is immutable.
type State[T any] struct {
	terms Terms
	self  Holder
	// view is the latest view of the object, and unchangedSince when this instance first saw
	// it, or when it started.
	view           View[T]
	unchangedSince Instant
	// readAt is when the view was last read from the store.
	readAt Instant
	// latest is the latest record that is known to have been written, also one that the store
	// has lost since.
	latest Record[T]
	// token is the fencing token of this instance's lease, or 0 if it holds none.
	token uint64
	// callFrom and expiresAt are the time in which the holder may make calls.
	callFrom  Instant
	expiresAt Instant
	// renewAt is when the holder writes again.
	renewAt Instant
	// unread says that the object has to be read before the next write.
	unread bool
	// contested says that a conditional write of the holder was refused, so that it makes no
	// call before it has read the object.
	contested bool
	// retryAt is the time before which the store is not called again after a failure.
	retryAt Instant
}

// New returns the state of an instance that knows nothing yet.
func New[T any](terms Terms, self Holder, now Instant) State[T] {
	return State[T]{
		terms:          terms,
		self:           self,
		unchangedSince: now,
		unread:         true,
	}
}

// View returns the latest view of the object.
func (s State[T]) View() View[T] {
	return s.view
}

// Holds reports whether this instance has taken the duty over and has not seen that it lost it.
// It may make calls only while MayCall says so.
func (s State[T]) Holds() bool {
	return s.token != 0
}

// Token returns the fencing token of this instance's lease, or 0 if it holds none.
func (s State[T]) Token() uint64 {
	return s.token
}

// MayCall reports whether this instance may make a call now. It may not while the view is from
// after a return of the store from an older copy: what a late write of its own has put there is
// not what the lease goes on with.
func (s State[T]) MayCall(now Instant) bool {
	isRecorded := s.view.isFromThisEra() && s.isOwn(s.view.Record)
	return s.Holds() && isRecorded && !s.contested && now >= s.callFrom && now < s.expiresAt
}

// CallFrom returns the time of the holder's first call.
func (s State[T]) CallFrom() Instant {
	return s.callFrom
}

// isRestored reports whether the store has returned from an older copy since this instance's
// last write.
func (s State[T]) isRestored() bool {
	return s.view.Position.Era != s.latest.Era
}

// isContinuous reports whether this instance has held the duty all the time up to now, so
// that no other one can have recorded anything.
func (s State[T]) isContinuous(now Instant) bool {
	return s.Holds() && now < s.expiresAt && s.latest.Machine == s.self.Machine
}

// isSuperseded reports whether the lease does not count any more because the store has returned
// from an older copy and the lease has expired.
func (s State[T]) isSuperseded(now Instant) bool {
	return !s.unread && s.isRestored() && !s.isContinuous(now)
}

// Relayed returns the state after a peer has told of a record that was written.
func (s State[T]) Relayed(view View[T], now Instant) State[T] {
	s = s.withLatest(view.Record)
	if view.Position.IsAfter(s.view.Position) {
		s = s.withView(view, now)
	}
	return s
}

// Read returns the state after the object was read from the store.
func (s State[T]) Read(view View[T], now Instant) State[T] {
	if view.Position.Era < s.view.Position.Era {
		s.retryAt = now + s.terms.Retry
		return s
	}
	s.unread = false
	s.contested = false
	s.readAt = now
	if view.Position != s.view.Position {
		s = s.withView(view, now)
	}
	if view.isFromThisEra() {
		s = s.withLatest(view.Record)
	}
	if s.Holds() && view.isFromThisEra() && !s.isOwn(view.Record) {
		s = s.withoutLease()
	}
	if s.Holds() && !view.isFromThisEra() && view.Position.Era == s.latest.Era {
		// The object has been removed.
		s = s.withoutLease()
	}
	return s
}

// Written returns the state after a write was carried out. position has the era of the store's
// answer; startedAt and now are the times of the call and the answer.
func (s State[T]) Written(record Record[T], position storer.Position, startedAt, now Instant) State[T] {
	if position.Era != record.Era || s.latest.isLaterThan(record) || s.view.Position.IsAfter(position) {
		// The store has returned from an older copy, so that the condition was not about the
		// object that was read, or another instance has taken the duty over since.
		s.unread = true
		return s
	}
	if record.Token != s.token {
		// A lease that is taken again keeps the quiet time of the first acquisition.
		s.callFrom = max(s.callFrom, now+s.quietTime(now))
	}
	s = s.withLatest(record)
	s.view = View[T]{
		Position: position,
		Record:   record,
	}
	s.unchangedSince = now
	s.token = record.Token
	s.expiresAt = startedAt + s.terms.Lease
	s.renewAt = startedAt + s.terms.Renew
	if record.Released {
		s = s.withoutLease()
	}
	return s
}

// quietTime returns the time before the first call of a lease that this instance has just
// acquired.
func (s State[T]) quietTime(now Instant) Instant {
	switch {
	case s.isContinuous(now):
		return 0
	case s.view.isFromThisEra():
		return s.terms.Quiet
	default:
		// A holder whose record the store has lost may act until its lease has expired.
		return s.terms.Lease + s.terms.Margin
	}
}

// Refused returns the state after a write whose condition did not hold.
func (s State[T]) Refused(now Instant) State[T] {
	s.unread = true
	s.contested = true
	s.retryAt = now
	return s
}

// Failed returns the state after a call to the store has failed. mayHaveRun says that it was a
// write that may have been carried out or may still be.
func (s State[T]) Failed(mayHaveRun bool, now Instant) State[T] {
	s.unread = s.unread || mayHaveRun
	s.retryAt = now + s.terms.Retry
	return s
}

// withView returns the state with a newer view.
func (s State[T]) withView(view View[T], now Instant) State[T] {
	s.view = view
	s.unchangedSince = now
	return s
}

// withLatest returns the state after a record is known to have been written. A later record of
// another process ends this instance's lease.
func (s State[T]) withLatest(record Record[T]) State[T] {
	if record.isLaterThan(s.latest) {
		s.latest = record
	}
	if s.Holds() && record.Token > s.token && record.Machine != s.self.Machine {
		s = s.withoutLease()
	}
	return s
}

func (s State[T]) withoutLease() State[T] {
	s.token = 0
	s.callFrom = 0
	s.expiresAt = 0
	s.contested = false
	return s
}

// isOwn reports whether a record is one of this instance's present lease.
func (s State[T]) isOwn(record Record[T]) bool {
	return record.Machine == s.self.Machine && record.Token == s.token
}
