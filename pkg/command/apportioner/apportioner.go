// Package apportioner splits limits between instances by their demand. Each instance
// computes its own fraction from the reports of all, so no coordinator is needed.
//
// The package decides the fractions only. Package steerer sends the reports, and package
// sharer lends units between the parts. Package splitter splits limits by seat instead,
// whatever the demand.
//
// A holder is an instance that owns a part of a limit.
package apportioner

import (
	"math"
	"time"
)

const (
	// DrainWait is how long an instance that has left still counts as a member, because
	// it may use its parts until its drain ends.
	DrainWait = 6 * time.Second
	// ReportWait is how long a starting instance waits for the reports of all others.
	// After that, it assumes that an instance without a report has the average demand
	// of the others: most likely that instance has ended.
	ReportWait = 4 * time.Second
	// evenSplitFraction is the fraction of a limit that is split evenly whatever the demand, so
	// that an instance has a part when its first callers arrive.
	evenSplitFraction = 0.25
	// demandTimeConstant is the time constant of the moving average of the demand. It is
	// longer than that of package sharer, whose average decides how much to borrow.
	demandTimeConstant = 3 * time.Second
	// minRelativeChange is the fraction by which demand must change before it is
	// reported again. DefaultMinChange is the same in requests per second, because
	// small demand varies by that much at random. The larger of the two applies.
	minRelativeChange = 0.2
	DefaultMinChange  = 0.7
	// MaxDemand is the largest demand, in requests per second, that is reported and claimed.
	// The encoding of a report must hold it (32 bits of tenths).
	MaxDemand = 1e8
	// reportIntervalPerMember, times the number of members, is the minimum time between
	// two reports of an instance. The rate of the reports that an instance receives
	// thus does not grow with the number of members. Beyond fullRateMembers the time grows
	// with the square, as each report costs a message to each member and an answer.
	reportIntervalPerMember = 20 * time.Millisecond
	fullRateMembers         = 100
)

// Apportioner tracks the demand of all instances and computes the fractions of one of
// them. It must be used by one goroutine at a time.
//
// The claim of an instance to a resource is the demand that it counts on, in requests per
// second: the lowest in its newest report that all others have confirmed and in all its
// later reports. Of a limit, evenSplitFraction is split evenly between the holders. The
// rest is split by demand: an instance gets its claim, divided by the sum of its claim
// and of the demands in the newest reports received from all others. The newest report
// received from another instance is never below that instance's claim, because a claim
// grows only when all others have received the report that raises it.
//
// Invariant: the fractions of all instances, removed ones included, add up to at most 1,
// unless a starting instance is partitioned from a live one for longer than ReportWait, starts
// after the removal of a live one without being told of it (see Reserve), or an instance loses contact and does not Lapse before
// the others have removed it.
type Apportioner struct {
	self        string
	incarnation string
	// members holds the instances between which limits are split, by name. It includes
	// those that left less than DrainWait ago.
	members map[string]memberState
	// splits holds how resources are split, if not like all others.
	splits map[string]Split
	// cachedHolders caches the results of Holders by resource, until the members or the
	// number of holders change. holdersVersion increases when cached results are dropped.
	cachedHolders  map[string][]string
	holdersVersion uint64
	// nextRemovalAt is the earliest removeAt of a member; zero if no member has left.
	nextRemovalAt time.Time
	// reports holds the newest report of each other instance. An instance that sends no
	// more reports keeps its last one, and so its fraction. demands holds the same demands
	// by resource and instance.
	reports map[string]indexedReport
	demands map[string]map[string]float64
	// meters measure this instance's demand by resource. The caller of Measure counts
	// remote demand too (sharer.Limiter.TotalDemand).
	meters map[string]*meter
	// confirmed is the newest report that all others have confirmed. pending holds the
	// later ones in order.
	confirmed *indexedReport
	pending   []indexedReport
	// nextReportAt is the instant from which the next report may be made.
	nextReportAt time.Time
	// waitUntil is the end of the wait for the reports of all others. It is zero until
	// this instance is a member.
	waitUntil time.Time
	// restarted is true if the others already counted this instance as a member when it
	// started.
	restarted bool
	// lapse is the lapse of this instance's fractions, or nil.
	lapse *lapse
	// lost holds, by name, the fractions of each member whose link is lost, as of then. left
	// holds the members that have announced that they stop.
	lost map[string]map[string]float64
	left map[string]bool
	// reservations holds what is reserved for each removed instance, by its name.
	reservations map[string]reservation
}

// meter is the exponentially weighted moving average of a rate of requests.
type meter struct {
	perSecond float64
	// lastTotal is the count of requests at measuredAt.
	lastTotal  uint64
	measuredAt time.Time
	startedAt  time.Time
}

// New returns an apportioner for the instance with the name self. The parameter
// incarnation identifies the start of its process.
func New(self, incarnation string) *Apportioner {
	return &Apportioner{
		incarnation:   incarnation,
		self:          self,
		members:       map[string]memberState{},
		splits:        map[string]Split{},
		cachedHolders: map[string][]string{},
		reports:       map[string]indexedReport{},
		demands:       map[string]map[string]float64{},
		meters:        map[string]*meter{},
		lost:          map[string]map[string]float64{},
		left:          map[string]bool{},
		reservations:  map[string]reservation{},
	}
}

// MarkRestarted records that an instance of this name was already a member when this one
// started. The others then count it as a member already, so that it may use its even
// fraction before they have confirmed its first report.
func (a *Apportioner) MarkRestarted() {
	a.restarted = true
}

// SetMembers sets the instances between which limits are split.
func (a *Apportioner) SetMembers(members []Member, now time.Time) {
	listed := make(map[string]memberState, len(members))
	for _, member := range members {
		listed[member.Name] = memberState{
			group: member.Group,
		}
	}
	for name, previous := range a.members {
		if _, found := listed[name]; found {
			continue
		}
		if previous.removeAt.IsZero() && a.isCutOff(name) {
			// It has lapsed and learns of nothing, so that its claim says nothing about what it uses.
			a.reserve(name, now)
			a.forgetReport(name)
			continue
		}
		if previous.removeAt.IsZero() {
			a.MarkLost(name)
			previous.removeAt = now.Add(DrainWait)
			a.scheduleRemoval(previous.removeAt)
		}
		listed[name] = previous
	}
	if !sameGroups(a.members, listed) {
		a.dropHolders()
	}
	a.members = listed
	if self, found := listed[a.self]; found && self.removeAt.IsZero() && a.waitUntil.IsZero() {
		a.waitUntil = now.Add(ReportWait)
	}
}

// Measure updates the demand for a resource from the total number of requests that this
// instance has received so far. A total below the last one has been counted anew, because its
// owner was dropped and created again. Such a total says nothing about the rate, so the demand
// stays as it is and is measured from that total on.
func (a *Apportioner) Measure(resource string, total uint64, now time.Time) {
	m, found := a.meters[resource]
	if !found {
		m = &meter{
			lastTotal:  total,
			measuredAt: now,
			startedAt:  now,
		}
		a.meters[resource] = m
		return
	}
	elapsed := now.Sub(m.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if total < m.lastTotal {
		m.lastTotal = total
		m.measuredAt = now
		return
	}
	// The demand before the first measurement is unknown, so the average covers at most
	// the time since then.
	timeConstant := min(demandTimeConstant.Seconds(), now.Sub(m.startedAt).Seconds())
	weight := 1 - math.Exp(-elapsed/timeConstant)
	m.perSecond += weight * (float64(total-m.lastTotal)/elapsed - m.perSecond)
	m.lastTotal = total
	m.measuredAt = now
}

// Forget drops the demand for a resource that is not split any more. The next reports do not
// mention it.
func (a *Apportioner) Forget(resource string) {
	delete(a.meters, resource)
	delete(a.splits, resource)
	delete(a.cachedHolders, resource)
	a.holdersVersion++
}

// ownClaim returns this instance's claim to a resource, in requests per second.
func (a *Apportioner) ownClaim(resource string) float64 {
	lowest := a.confirmed.perSecond[resource]
	for _, pending := range a.pending {
		lowest = min(lowest, pending.perSecond[resource])
	}
	return lowest
}

// Fraction returns the fraction of a resource, from 0 to 1, that this instance may use now.
// It is 0 if the instance is not a holder. The even fraction is evenSplitFraction
// divided by the number of holders. Before all others have confirmed its first report,
// the instance gets the even fraction if it was a member before it started, and
// otherwise 0. After that, it gets the even fraction as long as claimOfOthers waits for
// reports. All of these are fractions of what is not reserved for removed instances (see
// MarkLost). During a lapse (see Lapse) it is what the instance keeps.
func (a *Apportioner) Fraction(resource string, now time.Time) float64 {
	a.removeDeparted(now)
	if a.lapse != nil {
		return a.lapse.fraction(resource, now)
	}
	self, listed := a.members[a.self]
	if !listed || !self.removeAt.IsZero() || !a.isHolder(resource) {
		return 0
	}
	return a.claimedFraction(resource, now) * a.unreserved(resource, now)
}

// claimedFraction returns the fraction of what is not reserved that this instance, a holder,
// may use of a resource.
func (a *Apportioner) claimedFraction(resource string, now time.Time) float64 {
	count := float64(len(a.Holders(resource)))
	switch {
	case a.confirmed == nil && a.restarted:
		return evenSplitFraction / count
	case a.confirmed == nil:
		return 0
	}
	others, complete := a.claimOfOthers(resource, now)
	if !complete {
		return evenSplitFraction / count
	}
	own := a.ownClaim(resource)
	if own+others == 0 {
		return 1 / count
	}
	return evenSplitFraction/count + (1-evenSplitFraction)*own/(own+others)
}

// removeDeparted removes the members that left at least DrainWait ago.
func (a *Apportioner) removeDeparted(now time.Time) {
	if a.nextRemovalAt.IsZero() || now.Before(a.nextRemovalAt) {
		return
	}
	a.nextRemovalAt = time.Time{}
	for name, member := range a.members {
		switch {
		case member.removeAt.IsZero():
		case now.Before(member.removeAt):
			a.scheduleRemoval(member.removeAt)
		default:
			delete(a.members, name)
			if name != a.self {
				a.reserve(name, now)
			}
			a.forgetReport(name)
			a.dropHolders()
		}
	}
}

// scheduleRemoval makes removeDeparted look for members at that time.
func (a *Apportioner) scheduleRemoval(at time.Time) {
	if a.nextRemovalAt.IsZero() || at.Before(a.nextRemovalAt) {
		a.nextRemovalAt = at
	}
}

// claimOfOthers returns the most that all others together may claim of a resource, in
// requests per second. It returns false while it still waits for reports of holders:
// until ReportWait has passed, and after that as long as no other holder has reported.
// After ReportWait, holders without a report count with the average of those with one.
// Instances that are no longer holders are included, because they may claim a part until
// they learn of it.
func (a *Apportioner) claimOfOthers(resource string, now time.Time) (float64, bool) {
	sum := 0.0
	for _, perSecond := range a.demands[resource] {
		sum += perSecond
	}
	reported := 0
	missing := 0
	for _, name := range a.Holders(resource) {
		_, found := a.reports[name]
		switch {
		case name == a.self:
		case found:
			reported++
		default:
			missing++
		}
	}
	if missing == 0 {
		return sum, true
	}
	if now.Before(a.waitUntil) || reported == 0 {
		return 0, false
	}
	return sum * float64(reported+missing) / float64(reported), true
}
