package arbiter

// AnswerClaims is what an upstream's answer says about whether the upstream has run the
// request. The translator of a protocol reads it; Refusal decides what it proves.
type AnswerClaims struct {
	// StatesNotRun reports that the answer has the protocol's explicit statement that the
	// request has not run.
	StatesNotRun bool
	// Refuses reports that the answer's status is one with which upstreams refuse requests
	// without running them.
	Refuses bool
	// Misdirected reports that the answer's status says that the request was meant for another
	// upstream, and FromAnother that the answer names another upstream as its sender.
	Misdirected bool
	FromAnother bool
	// Signed reports that the answer is marked as the result of the upstream's work.
	Signed bool
	// PromisesNotRun reports that a caller would take the answer's status for the promise that
	// the request has not run and never will.
	PromisesNotRun bool
}

// Refusal returns why the answer must not be passed on, or nil if its claims allow it. The
// refusal has the verdict NotRun only if the answer proves that.
func (c AnswerClaims) Refusal() *Refusal {
	switch {
	case c.provesNotRun() && c.Misdirected:
		return Refuse(UpstreamReplaced, "another upstream has the address now")
	case c.provesNotRun():
		return Refuse(UpstreamShed, "the upstream has shed the request")
	case c.Misdirected:
		return Fail(UpstreamReplaced, "the upstream's answer says that another one has the address now, which nothing proves")
	case c.StatesNotRun:
		return Fail(NotRunUnproved, "the upstream's answer says that the request has not run, and contradicts that")
	case c.PromisesNotRun:
		return Fail(NotRunUnproved, "the upstream's status would promise that the request has not run, which nothing proves")
	default:
		return nil
	}
}

// provesNotRun reports whether the claims prove that the request has not run: the upstream
// states it with a status that refuses, or another upstream has the address and says so.
func (c AnswerClaims) provesNotRun() bool {
	if c.StatesNotRun {
		return c.Refuses
	}
	return c.Misdirected && c.FromAnother && !c.Signed
}
