package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

// SetLimitPart sets this instance's part of the limit that the upstream states, which it may
// use until a time. Before the first call the part is empty: an instance that has just
// learned of a limit sends nothing.
func (u *Upstream) SetLimitPart(part limiter.Limit, until, now time.Time) {
	u.limitBucket.SetDeadline(until)
	if part != u.limitBucket.Limit() {
		u.limitBucket.SetLimit(part, now)
	}
}

// LimitDemand returns how many requests of this instance have been sent to the upstream
// while it stated a limit, or would have been but for the limit. It never decreases.
func (u *Upstream) LimitDemand() uint64 {
	return u.limitDemand.Load()
}

// limitValidity is how long a limit holds after an instance was last told of it. While an
// instance sends requests to the upstream, the others learn each second that it holds.
const limitValidity = 10 * time.Second

// IsLimited reports whether the upstream states a limit.
func (u *Upstream) IsLimited(now time.Time) bool {
	advertisement := u.advertisement.Load()
	return advertisement != nil && advertisement.Limited && now.Sub(advertisement.LimitAt) < limitValidity
}

// admitsLimit reports whether this instance's part of the upstream's limit admits another
// request, or there is no limit.
func (u *Upstream) admitsLimit(now time.Time) bool {
	if !u.IsLimited(now) {
		return true
	}
	next := u.limitBucket.Next(now)
	return !next.IsZero() && !next.After(now)
}

// takeLimit takes a token of this instance's part of the upstream's limit. It returns false
// if there is a limit and no token is left.
func (u *Upstream) takeLimit(now time.Time) bool {
	if !u.IsLimited(now) {
		return true
	}
	if _, taken := u.limitBucket.Take(now); !taken {
		return false
	}
	u.limitDemand.Add(1)
	return true
}
