package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// departedRetention is how long the state of an upstream is kept after it is no longer declared.
// It covers the time for which a limit that the upstream has stated holds, and an entry that is
// missing in one version of the list and returns in the next one. The state of an upstream with
// requests in flight is kept longer, until they have ended.
const departedRetention = 2 * limitValidity

// departedUpstream is an upstream that is not declared any more. If it returns, its slots in
// use, its cold rate and the limit that it has stated still count; a new state would
// permit them a second time.
type departedUpstream struct {
	upstream *Upstream
	// service is the service that it served.
	service string
	// at is when the upstream was first missing.
	at time.Time
}

// departedAfter returns the departed upstreams of the plan that follows p and has the given
// upstreams.
func (p *Plan) departedAfter(declared map[upstreamID]*Upstream, now time.Time) map[upstreamID]departedUpstream {
	departed := map[upstreamID]departedUpstream{}
	for id, earlier := range p.departed {
		_, returned := declared[id]
		isKept := now.Sub(earlier.at) < departedRetention || earlier.upstream.InUse() > 0
		if !returned && isKept {
			departed[id] = earlier
		}
	}
	for id, upstream := range p.upstreams {
		if _, kept := declared[id]; kept {
			continue
		}
		version, _ := p.table.Set().Versions.Get(upstream.Version())
		departed[id] = departedUpstream{
			upstream: upstream,
			service:  version.Service,
			at:       now,
		}
	}
	return departed
}

// departedBound returns the load bound that the departed upstreams of a service had, or false if
// there are none.
func (p *Plan) departedBound(service string) (*loadBound, bool) {
	for _, departed := range p.departed {
		if departed.service == service {
			return departed.upstream.loadBound, true
		}
	}
	return nil, false
}

// applyReturn makes a departed upstream live again under a declaration with the same address
// and incarnation.
func (u *Upstream) applyReturn(declared declarer.Upstream, version string) {
	u.setLeaving(false)
	u.failures.Store(0)
	u.timeouts.Store(0)
	u.suspectUntil.Store(0)
	u.health.Store(uint32(Live))
	u.applyDeclaration(declared, version)
}
