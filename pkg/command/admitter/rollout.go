package admitter

import (
	"math"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// versionPools holds the upstreams of one service. During a move they are split by
// version. It is immutable.
type versionPools struct {
	// stable serves the objects that have not moved to the new version: it holds the
	// upstreams of all other versions. next holds upstreams of the new version for the
	// objects that have moved; it is nil while none has. Both are nil for a service that
	// is not declared.
	stable *Pool
	next   *Pool
	// share is the fraction of objects that have moved, from 0 to 1.
	share float64
}

// acquire takes a slot at the best upstream for an object, given by its hash. If the
// object has moved to the new version and that has no free slot, acquire tries the stable
// pool. An object that has not moved never goes to the new version.
func (p versionPools) acquire(objectHash uint64, criteria criteria) (*Upstream, bool) {
	primary, fallback := p.poolsForObject(objectHash)
	if upstream, found := primary.Acquire(objectHash, criteria); found {
		return upstream, true
	}
	return fallback.Acquire(objectHash, criteria)
}

// nextRetryAt returns the earliest time at which an upstream that may serve the object takes
// requests from this instance; zero if one does at any time.
func (p versionPools) nextRetryAt(objectHash uint64, criteria criteria) time.Time {
	primary, fallback := p.poolsForObject(objectHash)
	earliest := primary.nextRetryAt(criteria)
	if fallback == nil {
		return earliest
	}
	if retryAt := fallback.nextRetryAt(criteria); retryAt.Before(earliest) {
		return retryAt
	}
	return earliest
}

// poolsForObject returns the pool that serves an object, and the pool to use if that one
// has no free slot. The fallback is nil if there is none.
func (p versionPools) poolsForObject(objectHash uint64) (primary, fallback *Pool) {
	switch {
	case p.next == nil:
		return p.stable, nil
	case p.share >= 1 || hashFraction(objectHash) < p.share:
		return p.next, p.stable
	default:
		return p.stable, nil
	}
}

// hashFraction maps the hash of an object to a number from 0 up to but not including 1.
// The multiplication (Fibonacci hashing) makes the result independent of other uses of
// the same hash.
func hashFraction(objectHash uint64) float64 {
	const fibonacciMultiplier = 0x9e3779b97f4a7c15
	return float64((objectHash*fibonacciMultiplier)>>11) / (1 << 53)
}

// canaryHeadroom is the ratio between the number of upstreams of a new version that are
// used and the number that the move's share needs. Only a few are used, so that each
// bears as much load as it will after the move.
const canaryHeadroom = 1.5

// canaryCount returns how many of a new version's count upstreams are used while the
// version serves a share of the requests: one more than canaryHeadroom calls for.
func canaryCount(count int, share float64) int {
	return min(int(math.Ceil(float64(count)*share*canaryHeadroom))+1, count)
}

// poolsFor returns the pools of a service, by the progress of its move if it has one.
// While the move's share is 0, before the first step or after the move was rolled back,
// the upstreams of the new version get no requests. Upstreams of withheld versions get none
// either, unless the service has no others.
func (p *Plan) poolsFor(service declarer.Service) versionPools {
	move, moving := findMove(p.table.Set(), service)
	groups := p.groupsOf(service, move, moving)
	next := groups.next
	stable := groups.stable
	switch {
	case len(stable) > 0:
	case len(groups.unjudged) > 0:
		stable = groups.unjudged
	case len(groups.rolledBack) > 0 && len(next) > 0 && move.Share > 0:
		// A version that is on trial is better than one that was rolled back.
		move = move.WithShare(1)
	default:
		stable = groups.rolledBack
	}
	if !moving || move.Share == 0 {
		return versionPools{
			stable: p.newPool(service.Name, stable),
		}
	}
	if move.Share < 1 {
		next = next[:canaryCount(len(next), max(move.Share, move.CanaryPercent/100))]
	}
	return versionPools{
		stable: p.newPool(service.Name, stable),
		next:   p.newPool(service.Name, next),
		share:  move.Share,
	}
}

// versionGroups holds the upstreams of a service by what is known of their versions.
type versionGroups struct {
	// next are those of the target of the service's move.
	next []*Upstream
	// stable are those of the versions that serve without a move. rolledBack and unjudged are
	// those of withheld versions (see declarer.Set).
	stable     []*Upstream
	rolledBack []*Upstream
	unjudged   []*Upstream
}

// groupsOf returns the upstreams of a service. The move is that of the service, if it has one.
func (p *Plan) groupsOf(service declarer.Service, move declarer.Move, moving bool) versionGroups {
	set := p.table.Set()
	var groups versionGroups
	for version := range set.Versions.All() {
		upstreams := p.upstreamsOf(version)
		switch {
		case moving && version.Name == move.To:
			groups.next = append(groups.next, upstreams...)
		case !serves(service, version):
		case set.IsUnjudged(version.Name):
			groups.unjudged = append(groups.unjudged, upstreams...)
		case set.IsWithheld(version.Name):
			groups.rolledBack = append(groups.rolledBack, upstreams...)
		default:
			groups.stable = append(groups.stable, upstreams...)
		}
	}
	return groups
}

// findMove returns the move of a service, or false if it has none. A move of a service
// that names its version has no effect, so it is not returned.
func findMove(set declarer.Set, service declarer.Service) (declarer.Move, bool) {
	for move := range set.Moves.All() {
		if move.Service == service.Name && service.Version == "" {
			return move, true
		}
	}
	return declarer.Move{}, false
}

// serves reports whether a version serves a service's requests. If the service names a
// version, only that one does; otherwise all versions of the service do.
func serves(service declarer.Service, version declarer.Version) bool {
	if service.Version != "" {
		return version.Name == service.Version
	}
	return version.Service == service.Name
}

// upstreamsOf returns the upstreams of a version in the order of their declaration.
func (p *Plan) upstreamsOf(version declarer.Version) []*Upstream {
	upstreams := make([]*Upstream, 0, len(version.Upstreams))
	for _, declared := range version.Upstreams {
		upstreams = append(upstreams, p.upstreams[idOf(declared)])
	}
	return upstreams
}

// newPool returns a pool that orders a service's upstreams by affinity if the plan has
// settings for it, and by distance from this instance otherwise.
func (p *Plan) newPool(service string, upstreams []*Upstream) *Pool {
	topology := topology{
		places: p.table.Set().Places,
		home:   p.home,
	}
	switch {
	case p.keepsObjects():
		pool := newAffinityPool(upstreams, topology, *p.affinity)
		return pool.withCopies(p.cachesOf(service), p.workTimes[service], p.salt, *p.affinity)
	case p.affinity != nil:
		return newAffinityPool(upstreams, topology, *p.affinity)
	}
	return newNearestPool(upstreams, topology)
}
