package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// Advertisement is what an upstream has said about itself: its limit and its stop, to this
// instance or to another one, and when this instance may retry. It is immutable.
type Advertisement struct {
	// Limited says that the upstream states a limit, which is LimitPerSecond requests per
	// second from all instances together.
	Limited        bool
	LimitPerSecond float64
	// LimitAt is when the upstream last stated a limit or, if it is not Limited any more,
	// when it first answered without one; zero if it has never stated one.
	LimitAt time.Time
	// Leaving says that the upstream is about to stop. It holds until the upstream withdraws
	// its registration as leaving.
	Leaving bool
	// RetryAt is the time before which the upstream takes no requests from this instance,
	// because it has turned one away; zero if it has never named such a time. It says nothing
	// about other instances.
	RetryAt time.Time
}

// Advertisement returns what the upstream has said; the zero value if nothing.
func (u *Upstream) Advertisement() Advertisement {
	if advertisement := u.advertisement.Load(); advertisement != nil {
		return *advertisement
	}
	return Advertisement{}
}

// RecordAdvertisement records what the upstream says in its answer to a request that was
// sent at sentAt, and reports whether that differs from before in more than the time.
func (u *Upstream) RecordAdvertisement(report registrar.Report, sentAt, now time.Time) bool {
	if report.Leaving {
		u.health.Store(uint32(Leaving))
	}
	return u.replaceAdvertisement(func(previous Advertisement) Advertisement {
		return previous.withReport(report, sentAt, now)
	})
}

// RecordLimitNotice records that another instance has been told at the time at whether the
// upstream states a limit, and which. It has no effect if this instance knows later news. It
// reports whether that differs from before in more than the time.
func (u *Upstream) RecordLimitNotice(limited bool, perSecond float64, at time.Time) bool {
	return u.replaceAdvertisement(func(previous Advertisement) Advertisement {
		if !at.After(previous.LimitAt) {
			return previous
		}
		previous.Limited = limited
		previous.LimitPerSecond = perSecond
		previous.LimitAt = at
		return previous
	})
}

// RecordLeavingNotice records that the upstream has told another instance that it is about to
// stop, and reports whether that is news.
func (u *Upstream) RecordLeavingNotice() bool {
	u.health.Store(uint32(Leaving))
	return u.setLeaving(true)
}

// setLeaving replaces what the upstream has said about its stop, and reports whether it has
// changed.
func (u *Upstream) setLeaving(leaving bool) bool {
	return u.replaceAdvertisement(func(previous Advertisement) Advertisement {
		previous.Leaving = leaving
		return previous
	})
}

// replaceAdvertisement replaces the advertisement by the one that next returns for it, and
// reports whether they differ in more than their times.
func (u *Upstream) replaceAdvertisement(next func(Advertisement) Advertisement) bool {
	for {
		before := u.advertisement.Load()
		previous := Advertisement{}
		if before != nil {
			previous = *before
		}
		replacement := next(previous)
		if replacement == previous {
			return false
		}
		if u.advertisement.CompareAndSwap(before, &replacement) {
			return replacement.differs(previous)
		}
	}
}

// withReport returns the advertisement that follows when the upstream has answered a request
// that was sent at sentAt. An answer without a limit ends an earlier limit only if the
// request was sent after that was stated: answers may overtake each other. A leaving
// upstream stays so.
func (a Advertisement) withReport(report registrar.Report, sentAt, now time.Time) Advertisement {
	a.Leaving = a.Leaving || report.Leaving
	if report.RetryAt.After(a.RetryAt) {
		a.RetryAt = report.RetryAt
	}
	switch {
	case report.HasLimit:
		a.Limited = true
		a.LimitPerSecond = report.LimitPerSecond
		a.LimitAt = now
	case a.Limited && sentAt.After(a.LimitAt):
		a.Limited = false
		a.LimitPerSecond = 0
		a.LimitAt = now
	}
	return a
}

// acceptsAt reports whether the upstream takes requests from this instance at a time.
func (a *Advertisement) acceptsAt(now time.Time) bool {
	return a == nil || !now.Before(a.RetryAt)
}

// differs reports whether two advertisements differ in more than their times.
func (a Advertisement) differs(other Advertisement) bool {
	a.LimitAt = other.LimitAt
	return a != other
}
