package leaser

// noEnd is the end of a wait that only an event ends.
const noEnd = Instant(1<<63 - 1)

// Decide returns the next action.
func (s State[T]) Decide(wants Wants[T], now Instant) Action[T] {
	if s.Holds() && !s.isSuperseded(now) {
		return s.decideHolding(wants, now)
	}
	if !wants.Eligible {
		return waitUntil[T](noEnd)
	}
	turn := s.turnAt(wants.Rank)
	switch {
	case now < turn:
		return waitUntil[T](turn)
	case s.unread || s.readAt < turn:
		return Action[T]{
			Step: Read,
		}
	default:
		return s.write(s.acquisition(wants, now))
	}
}

// decideHolding returns the next action of the holder.
func (s State[T]) decideHolding(wants Wants[T], now Instant) Action[T] {
	storeDue := s.unread || s.isRestored() || wants.HasUpdate || wants.Release || now >= s.renewAt
	if storeDue && now >= s.retryAt {
		return s.decideStoreCall(wants, now)
	}
	if wants.Pending && s.MayCall(now) && !wants.Release {
		return Action[T]{
			Step:  Call,
			Until: s.expiresAt,
		}
	}
	next := s.renewAt
	if storeDue {
		next = s.retryAt
	}
	if wants.Pending && now < s.callFrom {
		next = min(next, s.callFrom)
	}
	return waitUntil[T](next)
}

// decideStoreCall returns the holder's next call to the store.
func (s State[T]) decideStoreCall(wants Wants[T], now Instant) Action[T] {
	switch {
	case s.unread:
		return Action[T]{
			Step: Read,
		}
	case s.isRestored():
		return s.write(s.acquisition(wants, now))
	}
	next := s.view.Record
	next.Sequence++
	next.Released = wants.Release
	if wants.HasUpdate {
		next.Value = wants.Update
	}
	return s.write(next)
}

// turnAt returns when an instance that does not hold the duty may call the store to take it
// over. While the store is down, an instance repeats its calls the less often the more of the
// others precede it.
func (s State[T]) turnAt(rank int) Instant {
	from := s.unchangedSince
	if !s.isVacant() {
		from += s.terms.Lease + s.terms.Margin
	}
	return max(from, s.retryAt) + Instant(rank)*s.terms.Turn
}

// isVacant reports whether no other instance can hold the duty: it was never held, or was
// released, or the lease is one of this process that it does not count as held, such as one
// whose write got no answer.
func (s State[T]) isVacant() bool {
	if s.view.Position.Revision == 0 {
		return s.latest.Token == 0
	}
	free := s.view.Record.Released || s.view.Record.Machine == s.self.Machine
	return free && s.view.isFromThisEra()
}

// acquisition returns the record with which this instance takes the duty over, or takes it
// again after a return of the store from an older copy.
func (s State[T]) acquisition(wants Wants[T], now Instant) Record[T] {
	recorded, complete := s.latest, s.isContinuous(now)
	if s.view.isFromThisEra() {
		recorded, complete = s.view.Record, true
	}
	highest := max(s.latest.Token, s.view.Record.Token)
	era := s.view.Position.Era
	return Record[T]{
		Name:     s.self.Name,
		Machine:  s.self.Machine,
		Token:    max(highest, era*tokensPerEra) + 1,
		Sequence: max(s.latest.Sequence, s.view.Record.Sequence) + 1,
		Era:      era,
		Value:    wants.Adopt(recorded.Value, complete),
	}
}

func (s State[T]) write(record Record[T]) Action[T] {
	return Action[T]{
		Step:     Write,
		Record:   record,
		Revision: s.view.Position.Revision,
	}
}

func waitUntil[T any](until Instant) Action[T] {
	return Action[T]{
		Step:  Wait,
		Until: until,
	}
}
