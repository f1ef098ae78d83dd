package arbiter

// History is what is known of all attempts to send one request. The goroutine that serves
// the request keeps it; whoever else ends the request, such as a timer, a change of the
// configuration or a stop, only cancels its context. The zero value means that no attempt
// has begun. A History is immutable: the With methods return changed copies.
type History struct {
	// begun counts the attempts that have begun.
	begun int
	// notRun counts those of them that are proved not to have run the request; it is not
	// above begun.
	notRun int
}

// WithAttempt returns a copy to which an attempt is added that begins now.
func (h History) WithAttempt() History {
	h.begun++
	return h
}

// WithResult returns a copy in which the attempt that has begun last has ended with a verdict.
func (h History) WithResult(verdict Verdict) History {
	if verdict == NotRun {
		h.notRun++
	}
	return h
}

// Allows reports whether the request may end with a verdict: with NotRun only if each
// attempt that has begun is proved not to have run it.
func (h History) Allows(verdict Verdict) bool {
	return verdict != NotRun || h.notRun == h.begun
}

// Bound returns the refusal with which the request may end: the given one, or a copy with
// the verdict MayHaveRun if the attempts do not allow its verdict.
func (h History) Bound(refusal *Refusal) *Refusal {
	if refusal == nil || h.Allows(refusal.Verdict) {
		return refusal
	}
	return refusal.WithVerdict(MayHaveRun)
}
