package receiver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// InFlightRequest is one request in flight, as CancelInvalid needs it: its admission and
// the function that cancels it.
type InFlightRequest struct {
	admission admitter.Admission
	cancel    context.CancelCauseFunc
	// ending is the end that CancelInvalid has set for the request, or nil. A key that works
	// again removes it.
	ending atomic.Pointer[ending]
}

// ending is the end of a request whose key was withdrawn.
type ending struct {
	// refusal is why the request ends.
	refusal *arbiter.Refusal
}

// CancelInvalid cancels the requests in flight whose key was withdrawn or has stopped (see
// admitter.Admitter.RecheckSent), finishMillis after the check that finds it first. If the
// key works for the request's team again by then, the request goes on. CancelInvalid must be
// called after each change of the plan.
func (r *Receiver) CancelInvalid() {
	r.inFlight.Each(func(request *InFlightRequest) {
		refusal := r.admitter.RecheckSent(request.admission, time.Now())
		switch {
		case refusal != nil:
			r.endLater(request, refusal)
		case !r.admitter.IsMoved(request.admission):
			request.ending.Store(nil)
		}
	})
}

// endLater cancels a request after finishMillis, unless its end has been set already.
func (r *Receiver) endLater(request *InFlightRequest, refusal *arbiter.Refusal) {
	if r.finishMillis == 0 {
		request.cancel(refusal)
		return
	}
	end := &ending{
		refusal: refusal,
	}
	if !request.ending.CompareAndSwap(nil, end) {
		return
	}
	wait := time.Duration(r.finishMillis) * time.Millisecond
	time.AfterFunc(wait, func() { request.endIfStill(end) })
}

// endIfStill cancels the request if the given end is still set. Canceling a request that has
// ended meanwhile has no effect.
func (i *InFlightRequest) endIfStill(end *ending) {
	if i.ending.Load() == end {
		i.cancel(end.refusal)
	}
}
