package arbiter

import "sync/atomic"

// Exchange tracks how far one attempt to send a request to an upstream has come, and
// derives the verdict from it. One goroutine records the progress; any goroutine may call
// Verdict.
//
// Invariant: the stage never decreases.
type Exchange struct {
	stage atomic.Uint32
}

// The stages of an attempt, in the order in which it passes through them.
const (
	stageUnsent uint32 = iota
	stageConnected
	stageAnswered
)

// Connected records that a connection to the upstream is available. From here on bytes
// of the request may leave the process.
func (e *Exchange) Connected() {
	e.advance(stageConnected)
}

// Answered records that the upstream has answered and has not shed the request.
func (e *Exchange) Answered() {
	e.advance(stageAnswered)
}

// Verdict returns the verdict for the stage that the attempt has reached.
func (e *Exchange) Verdict() Verdict {
	switch e.stage.Load() {
	case stageUnsent:
		return NotRun
	case stageAnswered:
		return Ran
	default:
		return MayHaveRun
	}
}

// advance sets the stage unless it is that far already.
func (e *Exchange) advance(to uint32) {
	for {
		from := e.stage.Load()
		if from >= to {
			return
		}
		if e.stage.CompareAndSwap(from, to) {
			return
		}
	}
}
