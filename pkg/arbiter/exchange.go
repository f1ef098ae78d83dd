package arbiter

import "sync/atomic"

// Exchange follows one sending of a request to an upstream and derives the
// verdict from how far it came. One goroutine sends; any may read.
//
// Invariant: the stage only grows.
type Exchange struct {
	stage atomic.Uint32
}

// The stages of an exchange, in order.
const (
	stageUnsent uint32 = iota
	stageConnected
	stageAnswered
)

// Connected records that a connection is at hand. From here on bytes of the
// request may leave the process.
func (e *Exchange) Connected() {
	e.advance(stageConnected)
}

// Answered records that the upstream has answered without shedding.
func (e *Exchange) Answered() {
	e.advance(stageAnswered)
}

// Verdict says whether the request may have run.
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
