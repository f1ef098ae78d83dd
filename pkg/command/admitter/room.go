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
	// the numbers of copies. Smaller changes are noise of the estimate.
	minObjectsChange = 0.1
	// roomNoticeLifetime is how long a number of objects that a peer has told counts.
	roomNoticeLifetime = 5 * time.Second
)

// RoomID identifies the upstreams of one service in one region.
type RoomID struct {
	Service string
	Region  string
}

// room holds how many distinct objects the upstreams of one service in one region serve.
// Successive plans share it. It is safe for concurrent use, and a request takes no lock.
type room struct {
	// counted counts the objects of the requests that this instance sends to the upstreams.
	counted *enumerator.Enumerator
	// popular counts the requests for popular objects that have not been shared yet.
	popular *sketcher.Sketch
	// demands is what a peer has told last of the demand for popular objects; nil if nothing.
	demands atomic.Pointer[demands]
	// notice is what a peer has told last; nil before the first.
	notice atomic.Pointer[roomNotice]
	// objectBits is the number of distinct objects in the form of math.Float64bits. It is 0
	// while the number is unknown.
	objectBits atomic.Uint64
}

// roomNotice is a number of objects that a peer has told.
type roomNotice struct {
	objects float64
	until   time.Time
}

// objects returns the number of distinct objects, or 0 while it is unknown.
func (r *room) objects() float64 {
	return math.Float64frombits(r.objectBits.Load())
}

// update sets the number of objects to what a peer has told or else to what this instance has
// counted.
func (r *room) update(now time.Time) {
	r.counted.Advance(now)
	objects := 0.0
	if notice := r.notice.Load(); notice != nil && now.Before(notice.until) {
		objects = notice.objects
	} else if counted, known := r.counted.Digest().Objects(); known {
		objects = counted
	}
	before := r.objects()
	if before > 0 && math.Abs(objects/before-1) < minObjectsChange {
		return
	}
	r.objectBits.Store(math.Float64bits(objects))
}

// RoomDigest is what an instance or several have counted for the upstreams of one service in
// one region.
type RoomDigest struct {
	ID     RoomID
	Digest enumerator.Digest
	// Popular counts the requests for objects since the digest before.
	Popular []ObjectCount
}

// RoomNotice is the estimated number of distinct objects that the upstreams of one service in
// one region serve; 0 if it is unknown.
type RoomNotice struct {
	ID      RoomID
	Objects float64
	// Popular is the demand for the popular objects.
	Popular []ObjectDemand
}

// UpdateRooms updates the numbers of copies of all services. It must be called every
// SpilloverInterval. It has no effect in a plan whose upstreams keep no objects.
func (p *Plan) UpdateRooms(now time.Time) {
	for _, room := range p.rooms {
		room.update(now)
	}
}

// Rooms returns the numbers of objects that decide about the copies.
func (p *Plan) Rooms() []RoomNotice {
	notices := make([]RoomNotice, 0, len(p.rooms))
	for id, room := range p.rooms {
		notices = append(notices, RoomNotice{
			ID:      id,
			Objects: room.objects(),
		})
	}
	return notices
}

// TakeRoomDigests returns what this instance has counted, without what it has counted nothing
// for. The counts of popular objects are those since the call before.
func (p *Plan) TakeRoomDigests() []RoomDigest {
	var digests []RoomDigest
	for id, room := range p.rooms {
		digest := room.counted.Digest()
		if digest.Samples == 0 {
			continue
		}
		digests = append(digests, RoomDigest{
			ID:      id,
			Digest:  digest,
			Popular: room.takePopular(),
		})
	}
	return digests
}

// ReceiveRoomNotices applies numbers of objects that a peer has told. They count for
// roomNoticeLifetime instead of those that this instance has counted.
func (p *Plan) ReceiveRoomNotices(notices []RoomNotice, now time.Time) {
	for _, notice := range notices {
		if room, found := p.rooms[notice.ID]; found {
			room.notice.Store(&roomNotice{
				objects: max(notice.Objects, 0),
				until:   now.Add(roomNoticeLifetime),
			})
			room.demands.Store(newDemands(notice.Popular, now))
		}
	}
}

// roomsFor returns the rooms of all services of a set. One that remains keeps what it has
// counted. There are none if upstreams keep no objects.
func (p *Plan) roomsFor(set declarer.Set, now time.Time) map[RoomID]*room {
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
	rooms := map[RoomID]*room{}
	for service := range set.Services.All() {
		for region := range regions {
			id := RoomID{
				Service: service.Name,
				Region:  region,
			}
			rooms[id] = p.roomFor(id, now)
		}
	}
	return rooms
}

// roomFor returns the room with an ID in p, or a new one.
func (p *Plan) roomFor(id RoomID, now time.Time) *room {
	if kept, found := p.rooms[id]; found {
		return kept
	}
	return &room{
		counted: enumerator.New(now),
		popular: sketcher.New(p.affinity.CountedObjects),
	}
}

// takePopular returns the counts of popular objects since the call before.
func (r *room) takePopular() []ObjectCount {
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
	// room holds the number of objects; never nil.
	room *room
}

// copies returns the number of upstreams of the group that serve the object with a hash: as
// many as have room for all objects, at least 1 and at most maxCopies. If the room suffices
// for a number and a fraction, that fraction of the objects has one copy more. It is 1 while
// the number of objects is unknown, because copies that are removed again have displaced other
// objects.
func (g *group) copies(objectHash uint64) int {
	objects := g.room.objects()
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
	roomOf func(region string) *room,
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
				room:      roomOf(member.region),
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
		c.group.room.counted.Record(objectHash)
		c.group.room.popular.Record(objectHash)
	}
}

// roomsOf returns a function that returns the room of a service in a region.
func (p *Plan) roomsOf(service string) func(region string) *room {
	return func(region string) *room {
		return p.rooms[RoomID{
			Service: service,
			Region:  region,
		}]
	}
}
