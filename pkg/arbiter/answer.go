package arbiter

// AnswerClaims is what an upstream's answer says about whether the upstream has run the
// request. The translator of a protocol reads it; Refusal decides what it proves.
type AnswerClaims struct {
	// StatesNotRun reports that the answer has the protocol's explicit statement that the
	// request has not run.
	StatesNotRun bool
	// Misdirected reports that the answer says that the request was meant for another upstream.
	Misdirected bool
	// PromisesNotRun reports that a caller would take the answer's status for the promise that
	// the request has not run and never will.
	PromisesNotRun bool
}

// Refusal returns why the answer must not be passed on, or nil if its claims allow it. The
// refusal has the verdict NotRun only if the answer proves that.
func (c AnswerClaims) Refusal() *Refusal {
	switch {
	case c.Misdirected:
		return Refuse(UpstreamReplaced, "another upstream has the address now")
	case c.StatesNotRun:
		return Refuse(UpstreamShed, "the upstream has shed the request")
	case c.PromisesNotRun:
		return Fail(NotRunUnproved, "the upstream's status would promise that the request has not run, which nothing proves")
	default:
		return nil
	}
}
