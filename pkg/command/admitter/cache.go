package admitter

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/enumerator"
	"github.com/hemlockport/hemlockport/pkg/command/sketcher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// minObjectsChange is the relative change of the estimated number of objects that changes
	// the numbers of copies at once. A smaller one is noise of the estimate, and counts only
	// once the estimate has been steady for steadyTime.
	minObjectsChange = 0.1
	// maxSteadyChange is the relative change up to which an estimate is steady.
	maxSteadyChange = 0.01
	// steadyTime is how long an estimate must be steady: longer than all instances take to
	// learn what each has counted.
	steadyTime = 3 * time.Second
	// cacheNoticeLifetime is how long a number of objects that a peer has told counts.
	cacheNoticeLifetime = 5 * time.Second
)

// CacheID identifies the upstreams of one service in one region.
type CacheID struct {
	Service string
	Region  string
}

// cache holds how many distinct objects the upstreams of one service in one region serve.
// Successive plans share it. It is safe for concurrent use, and a request takes no lock.
type cache struct {
	// counted counts the objects of the requests that this instance sends to the upstreams.
	counted *enumerator.Enumerator
	// popular counts the requests for popular objects that have not been shared yet.
	popular *sketcher.Sketch
	// demands is what a peer has told last of the demand for popular objects; nil if nothing.
	demands atomic.Pointer[demands]
	// notice is what a peer has told last; nil before the first.
	notice atomic.Pointer[cacheNotice]
	// objectBits is the number of distinct objects in the form of math.Float64bits. It is 0
	// while the number is unknown.
	objectBits atomic.Uint64
	// estimate is the latest estimate of the number of objects. Only update uses it.
	estimate steadyEstimate
}

// steadyEstimate is an estimate and the time since which it has been steady. It is an immutable
// value.
type steadyEstimate struct {
	objects float64
	since   time.Time
}

// With returns e if a new estimate differs from it by no more than maxSteadyChange, or else the
// new one.
func (e steadyEstimate) With(objects float64, now time.Time) steadyEstimate {
	if math.Abs(objects-e.objects) <= maxSteadyChange*e.objects {
		return e
	}
	return steadyEstimate{
		objects: objects,
		since:   now,
	}
}

// isSteady reports whether the estimate has been steady for steadyTime.
func (e steadyEstimate) isSteady(now time.Time) bool {
	return now.Sub(e.since) >= steadyTime
}

// cacheNotice is a number of objects that a peer has told.
type cacheNotice struct {
	objects float64
	until   time.Time
}

// objects returns the number of distinct objects, or 0 while it is unknown.
func (r *cache) objects() float64 {
	return math.Float64frombits(r.objectBits.Load())
}

// update sets the number of objects to what a peer has told or else to what this instance has
// counted. One goroutine at a time may call it.
func (r *cache) update(now time.Time) {
	r.counted.Advance(now)
	objects := 0.0
	if notice := r.notice.Load(); notice != nil && now.Before(notice.until) {
		objects = notice.objects
	} else if counted, known := r.counted.Digest().Objects(); known {
		objects = counted
	}
	r.estimate = r.estimate.With(objects, now)
	before := r.objects()
	isSmall := before > 0 && math.Abs(objects/before-1) < minObjectsChange
	if isSmall && !r.estimate.isSteady(now) {
		return
	}
	r.objectBits.Store(math.Float64bits(objects))
}

// CacheDigest is what an instance or several have counted for the upstreams of one service in
// one region.
type CacheDigest struct {
	ID     CacheID
	Digest enumerator.Digest
	// Popular counts the requests for objects since the digest before.
	Popular []ObjectCount
}

// CacheNotice is the estimated number of distinct objects that the upstreams of one service in
// one region serve; 0 if it is unknown.
type CacheNotice struct {
	ID      CacheID
	Objects float64
	// Popular is the demand for the popular objects.
	Popular []ObjectDemand
}

// UpdateCaches updates the numbers of copies of all services. It must be called every
// SpilloverInterval. It has no effect in a plan whose upstreams keep no objects.
func (p *Plan) UpdateCaches(now time.Time) {
	for _, cache := range p.caches {
		cache.update(now)
	}
}

// Caches returns the numbers of objects that decide about the copies.
func (p *Plan) Caches() []CacheNotice {
	notices := make([]CacheNotice, 0, len(p.caches))
	for id, cache := range p.caches {
		notices = append(notices, CacheNotice{
			ID:      id,
			Objects: cache.objects(),
		})
	}
	return notices
}

// TakeCacheDigests returns what this instance has counted, without what it has counted nothing
// for. The counts of popular objects are those since the call before.
func (p *Plan) TakeCacheDigests() []CacheDigest {
	var digests []CacheDigest
	for id, cache := range p.caches {
		digest := cache.counted.Digest()
		if digest.Samples == 0 {
			continue
		}
		digests = append(digests, CacheDigest{
			ID:      id,
			Digest:  digest,
			Popular: cache.takePopular(),
		})
	}
	return digests
}

// ReceiveCacheNotices applies numbers of objects that a peer has told. They count for
// cacheNoticeLifetime instead of those that this instance has counted.
func (p *Plan) ReceiveCacheNotices(notices []CacheNotice, now time.Time) {
	for _, notice := range notices {
		if cache, found := p.caches[notice.ID]; found {
			cache.notice.Store(&cacheNotice{
				objects: max(notice.Objects, 0),
				until:   now.Add(cacheNoticeLifetime),
			})
			cache.demands.Store(newDemands(notice.Popular, now))
		}
	}
}

// cachesFor returns the caches of all services of a set. One that remains keeps what it has
// counted. There are none if upstreams keep no objects.
func (p *Plan) cachesFor(set declarer.Set, now time.Time) map[CacheID]*cache {
	if !p.keepsObjects() {
		return nil
	}
	// Upstreams in a failure domain that is not declared have the region "".
	regions := map[string]bool{
		"": true,
	}
	for place := range set.Places.All() {
		regions[place.Region] = true
	}
	caches := map[CacheID]*cache{}
	for service := range set.Services.All() {
		for region := range regions {
			id := CacheID{
				Service: service.Name,
				Region:  region,
			}
			caches[id] = p.cacheFor(id, now)
		}
	}
	return caches
}

// cacheFor returns the cache with an ID in p, or a new one.
func (p *Plan) cacheFor(id CacheID, now time.Time) *cache {
	if kept, found := p.caches[id]; found {
		return kept
	}
	return &cache{
		counted: enumerator.New(now),
		popular: sketcher.New(p.affinity.CountedObjects),
	}
}

// takePopular returns the counts of popular objects since the call before.
func (r *cache) takePopular() []ObjectCount {
	taken := r.popular.Take()
	counts := make([]ObjectCount, 0, len(taken))
	for _, count := range taken {
		counts = append(counts, ObjectCount{
			Object:   count.Object,
			Requests: count.Requests,
		})
	}
	return counts
}

// workTimesFor returns the work times of all services of a set. A service that remains keeps
// the one that it has. There are none if upstreams keep no objects.
func (p *Plan) workTimesFor(set declarer.Set) map[string]*workTime {
	if !p.keepsObjects() {
		return nil
	}
	workTimes := map[string]*workTime{}
	for service := range set.Services.All() {
		kept, found := p.workTimes[service.Name]
		if !found {
			kept = &workTime{}
		}
		workTimes[service.Name] = kept
	}
	return workTimes
}

// keepsObjects reports whether the number of copies of an object follows the room for
// objects.
func (p *Plan) keepsObjects() bool {
	return p.affinity != nil && p.affinity.ObjectsPerUpstream > 0
}

// group is the upstreams of a pool that lie in one region.
type group struct {
	// number identifies the group within its pool.
	number int
	// capacity is the number of objects that the upstreams keep together.
	capacity float64
	// slots is the mean number of slots of an upstream.
	slots float64
	// maxCopies is the largest number of copies.
	maxCopies int
	// work is the work time of the service; never nil.
	work *workTime
	// cache holds the number of objects; never nil.
	cache *cache
}

// copies returns the number of upstreams of the group that serve the object with a hash: as
// many as have room for all objects, at least 1 and at most maxCopies. If the room suffices
// for a number and a fraction, that fraction of the objects has one copy more. It is 1 while
// the number of objects is unknown, because copies that are removed again have displaced other
// objects.
func (g *group) copies(objectHash uint64) int {
	objects := g.cache.objects()
	if objects <= 0 {
		return 1
	}
	allowed := min(max(g.capacity/objects, 1), float64(g.maxCopies))
	whole := int(allowed)
	// The rotation makes this choice independent of those of moves and of the spillover.
	const rotation = 43
	if hashFraction(bits.RotateLeft64(objectHash, rotation)) < allowed-float64(whole) {
		return whole + 1
	}
	return whole
}

// groupUpstreams sets the groups of the candidates of a pool.
func groupUpstreams(
	candidates []*candidate,
	cacheOf func(region string) *cache,
	work *workTime,
	affinity Affinity,
) {
	groups := map[string]*group{}
	counts := map[*group]float64{}
	for _, member := range candidates {
		found, known := groups[member.region]
		if !known {
			found = &group{
				number:    len(groups),
				maxCopies: affinity.MaxCopies,
				cache:     cacheOf(member.region),
				work:      work,
			}
			groups[member.region] = found
		}
		found.capacity += float64(affinity.ObjectsPerUpstream)
		counts[found]++
		found.slots += (float64(member.declared.Load().Slots) - found.slots) / counts[found]
		member.group = found
	}
}

// countObject counts a request for the object with a hash that is sent to the upstream.
func (c *candidate) countObject(objectHash uint64, criteria criteria) {
	if c.group != nil && !criteria.anyChoice {
		c.group.cache.counted.Record(objectHash)
		c.group.cache.popular.Record(objectHash)
	}
}

// cachesOf returns a function that returns the cache of a service in a region.
func (p *Plan) cachesOf(service string) func(region string) *cache {
	return func(region string) *cache {
		return p.caches[CacheID{
			Service: service,
			Region:  region,
		}]
	}
}
