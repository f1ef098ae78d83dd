package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// Recheck checks the key of an admitted request, no byte of which has been sent, against
// the plan in force. It returns a refusal if the plan would not admit the request with the
// key, or would admit it for another team: upstreams are told the team, so that the request
// must be admitted again. A request on an open route stays valid.
func (a *Admitter) Recheck(admission Admission, now time.Time) *arbiter.Refusal {
	if admission.Key == nil {
		return nil
	}
	key, found := a.currentKey(admission)
	switch {
	case !found, key.Declared.Withdrawn:
		return refuseWithdrawn()
	case isMoved(admission, key):
		return arbiter.Refuse(arbiter.KeyMoved, "the key has moved to another team").WithRetryAt(now)
	default:
		return a.authorize(key, admission.Service, now)
	}
}

// RecheckSent checks the key of a request that may have been sent against the plan in force.
// It returns a refusal only if the key has been withdrawn or its team's keys have stopped. A
// key that has moved, or whose team may no longer use the service, has been valid for this
// request, whose result must not be lost.
func (a *Admitter) RecheckSent(admission Admission, now time.Time) *arbiter.Refusal {
	if admission.Key == nil {
		return nil
	}
	key, found := a.currentKey(admission)
	switch {
	case !found, key.Declared.Withdrawn:
		return refuseWithdrawn()
	case a.keysStopped(admission.Key.Team, now):
		return refuseUnconfirmed()
	default:
		return nil
	}
}

// IsMoved reports whether another team than the one that a request was admitted for holds
// its key by the plan in force.
func (a *Admitter) IsMoved(admission Admission) bool {
	if admission.Key == nil {
		return false
	}
	key, found := a.currentKey(admission)
	return found && isMoved(admission, key)
}

// currentKey returns the key of an admitted request, which has one, by the plan in force.
func (a *Admitter) currentKey(admission Admission) (*router.Key, bool) {
	plan := a.plans.Load()
	if plan == admission.Plan {
		return admission.Key, true
	}
	return plan.table.Key(admission.Key.Hash())
}

// isMoved reports whether another team than that of an admission holds a key.
func isMoved(admission Admission, key *router.Key) bool {
	return key.Declared.Team != admission.Key.Declared.Team
}

// refuseWithdrawn returns the refusal of a request whose key has been withdrawn.
func refuseWithdrawn() *arbiter.Refusal {
	return arbiter.Refuse(arbiter.KeyWithdrawn, "the key has been withdrawn")
}

// refuseUnconfirmed returns the refusal of a request whose team's keys have stopped.
func refuseUnconfirmed() *arbiter.Refusal {
	return arbiter.Refuse(arbiter.KeyUnconfirmed, "this instance is cut off and cannot tell whether the key still works")
}
