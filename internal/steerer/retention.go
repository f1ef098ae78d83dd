package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// keepMillis is how long after a return of the store orders of operators and entries of
// instances are kept that the copy lacks, in milliseconds. Upstreams are kept for the setting
// Upstreams.LapseMillis.
const keepMillis = 6000

// plainRetention is the policy of a collection whose objects have no identity beside their
// names: after a return of the store the listed value counts, and nothing is left out.
type plainRetention[T any] struct{}

// Identity returns the empty identity.
func (plainRetention[T]) Identity(T) string {
	return ""
}

// Merge returns the listed value.
func (plainRetention[T]) Merge(_, listed T) T {
	return listed
}

// registrationRetention is the policy of upstreams, which their incarnations identify.
type registrationRetention struct{}

// Identity returns the incarnation.
func (registrationRetention) Identity(registration registrar.Registration) string {
	return registration.Upstream.Incarnation
}

// Merge returns the listed registration, but an upstream that is leaving stays so, and one
// that is cold is so no longer than was known: a copy may tell of an earlier time.
func (registrationRetention) Merge(known, listed registrar.Registration) registrar.Registration {
	listed.Upstream.Leaving = listed.Upstream.Leaving || known.Upstream.Leaving
	listed.Upstream.ColdUntil = earlier(listed.Upstream.ColdUntil, known.Upstream.ColdUntil)
	return listed
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// moveRetention is the policy of moves, which their versions identify.
type moveRetention struct{}

// Identity returns the version that the move is to.
func (moveRetention) Identity(order MoveOrder) string {
	return order.Move.To
}

// Merge returns the listed order. Its state may be one from before the last report, so that
// the state is reported again.
func (moveRetention) Merge(_, listed MoveOrder) MoveOrder {
	return listed
}

var (
	_ retainer.Policy[registrar.Registration] = registrationRetention{}
	_ retainer.Policy[MoveOrder]              = moveRetention{}
)
