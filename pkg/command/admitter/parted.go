package admitter

import (
	"math"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// parted is the upstreams of one service, parted while the service moves to another
// version. It is immutable.
type parted struct {
	// stable serves all objects but those that have moved; next serves those. Either
	// may be nil.
	stable *Pool
	next   *Pool
	// share is the part of objects that have moved, from 0 to 1.
	share float64
}

// acquire claims a slot of the best upstream with room for an object.
func (p parted) acquire(object uint64, ask ask) (*Upstream, bool) {
	first, second := p.choose(object)
	if upstream, found := first.Acquire(object, ask); found {
		return upstream, true
	}
	return second.Acquire(object, ask)
}

// choose returns the pool for an object, and the one that serves in its place if it
// has no room, which may be nil.
func (p parted) choose(object uint64) (first, second *Pool) {
	switch {
	case p.next == nil:
		return p.stable, nil
	case p.share >= 1 || part(object) < p.share:
		return p.next, p.stable
	default:
		return p.stable, nil
	}
}

// part returns where an object stands between 0 and 1, whatever its hash is used for
// besides.
func part(object uint64) float64 {
	const golden = 0x9e3779b97f4a7c15
	return float64((object*golden)>>11) / (1 << 53)
}

// canaryRoom is how many times as many upstreams of a new version are used as its
// share of the traffic needs. Few are, so that they bear as much as they will.
const canaryRoom = 1.5

// canaries returns how many upstreams of a new version are used at a share.
func canaries(count int, share float64) int {
	return min(int(math.Ceil(float64(count)*share*canaryRoom))+1, count)
}

// parted returns the upstreams of a service.
func (p *Plan) parted(service declarer.Service) parted {
	set := p.table.Set()
	move, moving := moveOf(set, service)
	var stable, next []*Upstream
	for version := range set.Versions.All() {
		switch {
		case moving && version.Name == move.To:
			next = append(next, p.upstreamsOf(version)...)
		case serves(service, version):
			stable = append(stable, p.upstreamsOf(version)...)
		}
	}
	if !moving || move.Share == 0 {
		return parted{
			stable: p.pool(stable),
		}
	}
	if move.Share < 1 {
		next = next[:canaries(len(next), move.Share)]
	}
	return parted{
		stable: p.pool(stable),
		next:   p.pool(next),
		share:  move.Share,
	}
}

func moveOf(set declarer.Set, service declarer.Service) (declarer.Move, bool) {
	for move := range set.Moves.All() {
		if move.Service == service.Name && service.Version == "" {
			return move, true
		}
	}
	return declarer.Move{}, false
}

// serves says whether a version serves a service's requests: the one that the
// service names, or else all of it.
func serves(service declarer.Service, version declarer.Version) bool {
	if service.Version != "" {
		return version.Name == service.Version
	}
	return version.Service == service.Name
}

func (p *Plan) upstreamsOf(version declarer.Version) []*Upstream {
	upstreams := make([]*Upstream, 0, len(version.Upstreams))
	for _, declared := range version.Upstreams {
		upstreams = append(upstreams, p.upstreams[identify(declared)])
	}
	return upstreams
}

// pool returns the pool of upstreams as this instance sees them.
func (p *Plan) pool(upstreams []*Upstream) *Pool {
	seen := view{
		places: p.table.Set().Places,
		home:   p.home,
	}
	if p.keyed != nil {
		return newKeyed(upstreams, seen, *p.keyed)
	}
	return newNearest(upstreams, seen)
}
