package rationer

import (
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// renewInterval is the time after which a limit that still holds is told to the others
// again, unless another instance has done so. Those that send nothing to the upstream learn
// in this way that the limit holds.
const renewInterval = time.Second

// Notice is what an instance tells the others of one upstream.
type Notice struct {
	// Upstream and Incarnation name one start of the upstream.
	Upstream    string
	Incarnation string
	// Limited says that the upstream states the limit PerSecond, in requests per second from
	// all instances together; otherwise it has stated one before and does not any more.
	Limited   bool
	PerSecond float64
	// AgeMillis is how long ago an instance was told of the limit or of its end, in
	// milliseconds. If it is negative, none has ever been told of one.
	AgeMillis int64
	// Leaving says that the upstream is about to stop.
	Leaving bool
}

// noLimitAge is the AgeMillis of an upstream that has never stated a limit.
const noLimitAge = -1

// sharedNotice is what all instances have last been told of an upstream.
type sharedNotice struct {
	limited   bool
	perSecond float64
	// at is when an instance was told of the limit or of its end; zero if none was.
	at      time.Time
	leaving bool
}

// NextDigest returns what this instance has to tell the others now, sorted by upstream, and
// records it as told.
func (r *Rationer) NextDigest(plan *admitter.Plan, now time.Time) []Notice {
	var digest []Notice
	present := map[string]bool{}
	for _, upstream := range plan.Upstreams() {
		advertisement := upstream.Advertisement()
		if advertisement.LimitAt.IsZero() && !advertisement.Leaving {
			continue
		}
		declared := upstream.Declared()
		present[declared.Name] = true
		if !isDue(r.shared[declared.Name], advertisement) {
			continue
		}
		notice := newNotice(declared, advertisement, now)
		r.recordShared(notice, advertisement.LimitAt)
		digest = append(digest, notice)
	}
	for name := range r.shared {
		if !present[name] {
			delete(r.shared, name)
		}
	}
	slices.SortFunc(digest, func(a, b Notice) int { return strings.Compare(a.Upstream, b.Upstream) })
	return digest
}

// newNotice returns the notice of an upstream.
func newNotice(declared declarer.Upstream, advertisement admitter.Advertisement, now time.Time) Notice {
	notice := Notice{
		Upstream:    declared.Name,
		Incarnation: declared.Incarnation,
		Limited:     advertisement.Limited,
		PerSecond:   advertisement.LimitPerSecond,
		AgeMillis:   noLimitAge,
		Leaving:     advertisement.Leaving,
	}
	if !advertisement.LimitAt.IsZero() {
		notice.AgeMillis = max(now.Sub(advertisement.LimitAt).Milliseconds(), 0)
	}
	return notice
}

// isDue reports whether the others have to be told of an advertisement: it is news, or a limit
// that holds for renewInterval longer than they know.
func isDue(known sharedNotice, advertisement admitter.Advertisement) bool {
	if advertisement.Leaving && !known.leaving {
		return true
	}
	if known.limited != advertisement.Limited || known.perSecond != advertisement.LimitPerSecond {
		return advertisement.LimitAt.After(known.at)
	}
	return advertisement.Limited && advertisement.LimitAt.Sub(known.at) >= renewInterval
}

// recordShared records what all instances have been told of an upstream; at is the time of
// what the notice says of its limit.
func (r *Rationer) recordShared(notice Notice, at time.Time) {
	r.shared[notice.Upstream] = sharedNotice{
		limited:   notice.Limited,
		perSecond: notice.PerSecond,
		at:        at,
		leaving:   notice.Leaving,
	}
}

// Receive applies a digest of another instance, and returns the upstreams of which it was
// news.
func (r *Rationer) Receive(plan *admitter.Plan, digest []Notice, now time.Time) []*admitter.Upstream {
	var news []*admitter.Upstream
	upstreams := upstreamsByName(plan)
	for _, notice := range digest {
		upstream, found := upstreams[upstreamName{
			name:        notice.Upstream,
			incarnation: notice.Incarnation,
		}]
		if found && r.receive(upstream, notice, now) {
			news = append(news, upstream)
		}
	}
	return news
}

// receive applies the notice of an upstream, and reports whether it was news.
func (r *Rationer) receive(upstream *admitter.Upstream, notice Notice, now time.Time) bool {
	at := time.Time{}
	if notice.AgeMillis != noLimitAge {
		at = now.Add(-time.Duration(notice.AgeMillis) * time.Millisecond)
	}
	known := r.shared[notice.Upstream]
	if at.After(known.at) || notice.Leaving != known.leaving {
		r.recordShared(notice, at)
	}
	isNews := upstream.RecordLimitNotice(notice.Limited, notice.PerSecond, at)
	if notice.Leaving {
		isNews = upstream.RecordLeavingNotice() || isNews
	}
	return isNews
}
