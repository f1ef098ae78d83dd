package balancer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// adoptTime is how long an instance that has become the leader of its region, or was cut
	// off, follows the other instances of the region before it decides, so that their parts go
	// on from where they are.
	adoptTime = 2500 * time.Millisecond
	// maxPause is the time between two calls of Adjust from which on the instance was paused:
	// another one may have led the region meanwhile.
	maxPause = 2 * time.Second
	// maxLead is how far a leader's part may be from those of its region. They follow by what a
	// part moves within two seconds, the time of a message and of a report, unless the leader's
	// messages do not arrive.
	maxLead = 0.1
)

// Member is an instance as far as balancing is concerned.
type Member struct {
	Name   string
	Region string
	// Linked says that messages reach the instance and that it is not about to stop.
	Linked bool
}

// Message is what an instance tells another one. Its maps are by the name of the service, and
// must not be changed.
type Message struct {
	// Region is the sender's region.
	Region string
	// Demands is the demand of the sender alone. Only the leader of its region gets it.
	Demands map[string]Demand
	// Sums is the demand of the sender's region. Only the leaders of other regions get it.
	Sums map[string]Demand
	// Fractions are the parts of the objects that roam, at the sender.
	Fractions map[string]float64
}

// Service is what Adjust needs to know of a service.
type Service struct {
	Name string
	// Slots is the number of slots of the live upstreams, by region.
	Slots map[string]float64
	// Requests is the number of requests of this instance so far.
	Requests uint64
	// Fraction is the part of the objects that roam now.
	Fraction float64
	// FractionFor returns the part of the objects that must roam so that a part of the
	// requests is spread over the slots of all regions.
	FractionFor func(roaming float64) float64
}

// Decision is what Adjust decides on a service.
type Decision struct {
	Service string
	// Fraction is the part of the objects that roam from now on.
	Fraction float64
	// Target is where the part moves to.
	Target float64
	// Began says that the part has begun to move, and Leads that this instance has decided it.
	Began bool
	Leads bool
	// Rooms is what the leader has decided by; nil at the others.
	Rooms []Room
}

// Balancer keeps the parts of the objects that roam at one instance. The instance with the
// first name of each region leads it: it sums the region's demand, tells the sum to the leaders
// of the other regions, decides the parts, and tells them to its region, which follows. It is
// not safe for concurrent use.
type Balancer struct {
	self      Member
	perWindow float64
	// members are the other listed instances.
	members []Member
	// leader and leaders are the names of the leaders of the own region and of all others.
	leader  string
	leaders map[string]string
	// trends and courses are this instance's own, by service.
	trends  map[string]Trend
	courses map[string]Course
	// demands and reported are what the instances of the region have told, by their names.
	demands  Ledger[string, map[string]Demand]
	reported Ledger[string, map[string]float64]
	// sums is the demand of the other regions, and lead the parts that leaders have told.
	sums Ledger[string, map[string]Demand]
	lead Ledger[string, map[string]float64]
	// adoptUntil is the time until which this instance follows although it leads.
	adoptUntil time.Time
	// adjustedAt is when Adjust was last called.
	adjustedAt time.Time
}

// New returns the balancer of an instance. perWindow is the most by which a part may change
// within two seconds.
func New(self Member, perWindow float64) *Balancer {
	return &Balancer{
		self:      self,
		perWindow: perWindow,
		leaders:   map[string]string{},
		trends:    map[string]Trend{},
		courses:   map[string]Course{},
	}
}

// SetMembers replaces the other listed instances, and reports whether this instance has begun
// or ceased to lead its region.
func (b *Balancer) SetMembers(members []Member, now time.Time) bool {
	wasCutOff := b.isCutOff()
	b.members = members
	leader := b.self.Name
	leaders := map[string]string{}
	for _, member := range members {
		if !member.Linked {
			continue
		}
		if member.Region == b.self.Region {
			leader = min(leader, member.Name)
			continue
		}
		if first, found := leaders[member.Region]; !found || member.Name < first {
			leaders[member.Region] = member.Name
		}
	}
	changed := (leader == b.self.Name) != b.Leads()
	b.leader, b.leaders = leader, leaders
	// The monotonic clock may not show a pause, but the links have been lost in it.
	if b.Leads() && (changed || wasCutOff && !b.isCutOff()) {
		b.adoptUntil = now.Add(adoptTime)
	}
	return changed
}

// Leads reports whether this instance leads its region.
func (b *Balancer) Leads() bool {
	return b.leader == b.self.Name
}

// Observe records the requests of a service so far and the slots that they take now. It must be
// called once a second.
func (b *Balancer) Observe(service string, requests uint64, inUse float64, now time.Time) {
	b.trends[service] = b.trends[service].WithSample(requests, inUse, now)
}

// MessageTo returns the message to another instance, or false if there is none. It must be
// called once a second, with the parts in force.
func (b *Balancer) MessageTo(member Member, fractions map[string]float64, now time.Time) (Message, bool) {
	message := Message{
		Region: b.self.Region,
	}
	switch {
	case !member.Linked:
		return Message{}, false
	case member.Region != b.self.Region:
		if !b.Leads() || b.leaders[member.Region] != member.Name {
			return Message{}, false
		}
		message.Sums = b.regionDemand(now)
	case b.Leads():
		if now.Before(b.adoptUntil) {
			return Message{}, false
		}
		message.Fractions = fractions
	case member.Name == b.leader:
		message.Demands = b.ownDemand()
		message.Fractions = fractions
	default:
		return Message{}, false
	}
	return message, true
}

// Receive records the message of another instance.
func (b *Balancer) Receive(from string, message Message, now time.Time) {
	if message.Sums != nil {
		b.sums = b.sums.With(message.Region, message.Sums, now)
	}
	if message.Region != b.self.Region {
		return
	}
	if message.Demands != nil {
		b.demands = b.demands.With(from, message.Demands, now)
		b.reported = b.reported.With(from, message.Fractions, now)
	} else if message.Fractions != nil {
		b.lead = b.lead.With(from, message.Fractions, now)
	}
}

// Adjust decides the parts of all services. It must be called every StepInterval or less
// often.
func (b *Balancer) Adjust(services []Service, now time.Time) []Decision {
	if b.Leads() && now.Sub(b.adjustedAt) > maxPause {
		b.adoptUntil = now.Add(adoptTime)
	}
	b.adjustedAt = now
	decisions := make([]Decision, 0, len(services))
	courses := make(map[string]Course, len(services))
	for _, service := range services {
		decision, course := b.adjust(service, now)
		decisions = append(decisions, decision)
		courses[service.Name] = course
	}
	b.courses = courses
	return decisions
}

func (b *Balancer) adjust(service Service, now time.Time) (Decision, Course) {
	before := b.courses[service.Name]
	before.Fraction = service.Fraction
	decision := Decision{
		Service:  service.Name,
		Fraction: service.Fraction,
		Target:   service.Fraction,
	}
	target, follows, known := b.targetOf(service, &decision, now)
	if !known || b.isCutOff() {
		before.Moving = false
		return decision, before
	}
	after := before.Next(target, b.perWindow)
	if follows {
		after = before.Follow(target, b.perWindow)
	}
	if service.Requests == 0 {
		// No request has an upstream yet that it could change.
		after.Fraction = target
	}
	decision.Target = target
	decision.Fraction = after.Fraction
	decision.Began = after.Moving && !before.Moving
	return decision, after
}

// targetOf returns where the part of a service is to move to, and whether another instance has
// decided it. It returns false if that is not known.
func (b *Balancer) targetOf(service Service, decision *Decision, now time.Time) (target float64, follows, known bool) {
	if !b.Leads() {
		fractions, _ := b.lead.Get(b.leader, now)
		target, known = fractions[service.Name]
		return target, true, known
	}
	reported, known := b.medianReported(service.Name, now)
	if now.Before(b.adoptUntil) || known && math.Abs(service.Fraction-reported) > maxLead {
		return reported, true, known
	}
	rooms, complete := b.rooms(service, now)
	if !complete {
		return 0, false, false
	}
	roaming, known := Roaming(rooms, b.self.Region)
	if !known {
		return 0, false, false
	}
	decision.Leads = true
	decision.Rooms = rooms
	least, most := service.FractionFor(roaming.Least), service.FractionFor(roaming.Most)
	return min(max(service.Fraction, least), max(least, most)), false, true
}

// rooms returns the rooms of a service by the name of their regions. It returns false if the
// demand of a region with linked instances is not known.
func (b *Balancer) rooms(service Service, now time.Time) (rooms []Room, complete bool) {
	names := slices.Collect(maps.Keys(service.Slots))
	for region := range b.leaders {
		names = append(names, region)
	}
	names = append(names, b.self.Region)
	slices.Sort(names)
	for _, region := range slices.Compact(names) {
		room := Room{
			Region: region,
			Slots:  service.Slots[region],
		}
		if region == b.self.Region {
			room.Demand = b.regionDemand(now)[service.Name]
		} else if _, hasInstances := b.leaders[region]; hasInstances {
			sums, fresh := b.sums.Get(region, now)
			if !fresh {
				return nil, false
			}
			room.Demand = sums[service.Name]
		}
		rooms = append(rooms, room)
	}
	return rooms, true
}

// isCutOff reports whether this instance is linked to fewer than half of the others, so that
// what it knows says little about all.
func (b *Balancer) isCutOff() bool {
	linked := 0
	for _, member := range b.members {
		if member.Linked {
			linked++
		}
	}
	return 2*linked < len(b.members)
}

// ownDemand returns this instance's demand.
func (b *Balancer) ownDemand() map[string]Demand {
	own := make(map[string]Demand, len(b.trends))
	for service, trend := range b.trends {
		own[service] = trend.Demand()
	}
	return own
}

// regionDemand returns the demand of all instances of the region.
func (b *Balancer) regionDemand(now time.Time) map[string]Demand {
	sum := b.ownDemand()
	for _, demands := range b.demands.Fresh(now) {
		for service, demand := range demands {
			sum[service] = sum[service].Plus(demand)
		}
	}
	return sum
}

// medianReported returns the median of the parts of a service that the other instances of the
// region have told, or false if none has.
func (b *Balancer) medianReported(service string, now time.Time) (float64, bool) {
	var fractions []float64
	for _, reported := range b.reported.Fresh(now) {
		if fraction, found := reported[service]; found {
			fractions = append(fractions, fraction)
		}
	}
	if len(fractions) == 0 {
		return 0, false
	}
	slices.Sort(fractions)
	return fractions[len(fractions)/2], true
}
