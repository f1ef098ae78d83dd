// Package apportioner splits limits over instances by their demand. Every instance
// computes the same parts from the same reports, so that nobody is asked.
package apportioner

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// LeaveWait is for how long a member that has left is counted on: it may go on
	// with what it has until its drain ends.
	LeaveWait = 6 * time.Second
	// HearWait is how long an instance that has started waits for the reports of all
	// others. After that, one that says nothing is taken to be like the others: most
	// likely it has ended.
	HearWait = 4 * time.Second
	// floorShare is the part of a limit that is split evenly, whatever the demand, so
	// that an instance with its first callers has something.
	floorShare = 0.25
	// demandMemory is how far back demand is averaged.
	demandMemory = 3 * time.Second
	// leastChange is by which part demand changes until it is reported anew, and
	// leastPerSecond by how many requests a second: chance alone changes small demand
	// by that.
	leastChange    = 0.2
	leastPerSecond = 0.7
	// reportEvery is the least time between two reports, for each member that they go
	// to: what an instance hears does not grow with the number of members.
	reportEvery = 20 * time.Millisecond
)

// Demand is how many requests a second an instance gets for a resource.
type Demand struct {
	Resource  string
	PerSecond float64
}

// Report is what one instance tells all others.
type Report struct {
	// Start names the start of the instance's process, and Number grows with each of
	// its reports.
	Start  string
	Number uint64
	// Demands are in the order of their resources.
	Demands []Demand
}

// Apportioner knows the demand of all instances and the parts of one of them. Used
// by one goroutine at a time.
//
// What an instance claims is the least of its reports since the last one that all
// others have confirmed. Its part is that over the sum of it and of the newest
// reports that it has of all others. The newest report that it has of another is
// never below what that one claims: a claim grows only once everybody has it.
//
// Invariant: the parts of all members together are at most the whole, unless an
// instance that starts is cut off from one that lives for longer than HearWait.
type Apportioner struct {
	self  string
	start string
	// countedUntil holds the instances among which limits are split, under their
	// names.
	countedUntil map[string]counted
	// spread holds how many members hold parts of a resource, where not all do.
	spread map[string]int
	// holders holds what Holders returned since the members or the spread changed.
	holders map[string][]string
	// reports holds the newest report of each other instance. An instance that has
	// gone silent keeps its report, and so its part.
	reports map[string]claim
	// own measures this instance's demand.
	own map[string]*meter
	// confirmed is the newest report that all others have, and pending are those
	// after it, in order.
	confirmed *claim
	pending   []claim
	// reportAt is the instant from which the next report may be made.
	reportAt time.Time
	// hearUntil is until when the reports of all others are waited for; zero before
	// this instance is a member.
	hearUntil time.Time
	// restarted says that the others count this instance among the members already.
	restarted bool
}

// claim is a report by resource.
type claim struct {
	start     string
	number    uint64
	perSecond map[string]float64
}

// meter averages how many requests a second come.
type meter struct {
	perSecond float64
	counted   uint64
	at        time.Time
	startedAt time.Time
}

// New returns an apportioner of the instance with that name. Start names the start
// of its process.
func New(self, start string) *Apportioner {
	return &Apportioner{
		start:        start,
		self:         self,
		countedUntil: map[string]counted{},
		spread:       map[string]int{},
		holders:      map[string][]string{},
		reports:      map[string]claim{},
		own:          map[string]*meter{},
	}
}

// Restart says that an instance of this name was a member when this one started, so
// that the others leave it its even part.
func (a *Apportioner) Restart() {
	a.restarted = true
}

// SetMembers says among which instances limits are split.
func (a *Apportioner) SetMembers(members []Member, now time.Time) {
	listed := make(map[string]counted, len(members))
	for _, member := range members {
		listed[member.Name] = counted{
			group: member.Group,
		}
	}
	for name, before := range a.countedUntil {
		if _, found := listed[name]; found {
			continue
		}
		if before.until.IsZero() {
			before.until = now.Add(LeaveWait)
		}
		listed[name] = before
	}
	a.countedUntil = listed
	clear(a.holders)
	if self, found := listed[a.self]; found && self.until.IsZero() && a.hearUntil.IsZero() {
		a.hearUntil = now.Add(HearWait)
	}
}

// Hear takes in the report of another instance. One that is not a member yet is
// counted on as if it had just left. An older report than the newest of the same
// start changes nothing.
func (a *Apportioner) Hear(member Member, report Report, now time.Time) {
	before, found := a.reports[member.Name]
	if found && report.Start == before.start && report.Number <= before.number {
		return
	}
	if _, known := a.countedUntil[member.Name]; !known {
		a.countedUntil[member.Name] = counted{
			group: member.Group,
			until: now.Add(LeaveWait),
		}
		clear(a.holders)
	}
	a.reports[member.Name] = newClaim(report)
}

func newClaim(report Report) claim {
	next := claim{
		start:     report.Start,
		number:    report.Number,
		perSecond: make(map[string]float64, len(report.Demands)),
	}
	for _, demand := range report.Demands {
		next.perSecond[demand.Resource] = demand.PerSecond
	}
	return next
}

// Measure takes in how many requests for a resource this instance has got so far.
func (a *Apportioner) Measure(resource string, counted uint64, now time.Time) {
	m, found := a.own[resource]
	if !found {
		m = &meter{
			counted:   counted,
			at:        now,
			startedAt: now,
		}
		a.own[resource] = m
		return
	}
	elapsed := now.Sub(m.at).Seconds()
	if elapsed <= 0 {
		return
	}
	// What came before the first measurement is not known, so the first average is
	// over the time since.
	memory := min(demandMemory.Seconds(), now.Sub(m.startedAt).Seconds())
	weight := 1 - math.Exp(-elapsed/memory)
	m.perSecond += weight * (float64(counted-m.counted)/elapsed - m.perSecond)
	m.counted = counted
	m.at = now
}

// Report returns what to tell all other members, and false if nothing has changed
// enough. It tells only of what this instance holds parts of.
func (a *Apportioner) Report(now time.Time) (Report, bool) {
	last := a.last()
	if now.Before(a.reportAt) {
		return Report{}, false
	}
	due := last == nil
	report := Report{
		Start:  a.start,
		Number: 1,
	}
	if last != nil {
		report.Number = last.number + 1
	}
	for _, resource := range slices.Sorted(maps.Keys(a.own)) {
		before := 0.0
		if last != nil {
			before = last.perSecond[resource]
		}
		if !a.holds(resource) && before == 0 {
			continue
		}
		demand := Demand{
			Resource: resource,
		}
		if a.holds(resource) {
			demand.PerSecond = a.own[resource].perSecond
		}
		report.Demands = append(report.Demands, demand)
		due = due || math.Abs(demand.PerSecond-before) > max(leastChange*before, leastPerSecond)
	}
	if !due {
		return Report{}, false
	}
	a.pending = append(a.pending, newClaim(report))
	a.reportAt = now.Add(reportEvery * time.Duration(len(a.countedUntil)))
	return report, true
}

// Confirm takes in that all other members have a report.
func (a *Apportioner) Confirm(number uint64) {
	for len(a.pending) > 0 && a.pending[0].number <= number {
		a.confirmed = &a.pending[0]
		a.pending = a.pending[1:]
	}
}

// last returns the last report made, or nil.
func (a *Apportioner) last() *claim {
	if len(a.pending) > 0 {
		return &a.pending[len(a.pending)-1]
	}
	return a.confirmed
}

// claims returns what this instance claims of a resource.
func (a *Apportioner) claims(resource string) float64 {
	least := a.confirmed.perSecond[resource]
	for _, later := range a.pending {
		least = min(least, later.perSecond[resource])
	}
	return least
}

// Part returns which part of a resource, from 0 to 1, this instance may use now.
// Before all others have its first report, that is its even part if they know of it,
// and else nothing.
func (a *Apportioner) Part(resource string, now time.Time) float64 {
	a.forget(now)
	self, listed := a.countedUntil[a.self]
	if !listed || !self.until.IsZero() || !a.holds(resource) {
		return 0
	}
	count := float64(len(a.Holders(resource)))
	switch {
	case a.confirmed == nil && a.restarted:
		return floorShare / count
	case a.confirmed == nil:
		return 0
	}
	others, all := a.othersClaim(resource, now)
	if !all {
		return floorShare / count
	}
	own := a.claims(resource)
	if own+others == 0 {
		return 1 / count
	}
	return floorShare/count + (1-floorShare)*own/(own+others)
}

// forget stops counting on members that have left long enough ago.
func (a *Apportioner) forget(now time.Time) {
	for name, member := range a.countedUntil {
		if !member.until.IsZero() && !now.Before(member.until) {
			delete(a.countedUntil, name)
			delete(a.reports, name)
			clear(a.holders)
		}
	}
}

// othersClaim returns what all others together may claim of a resource, and false
// while some holders have not reported that may yet. Who holds no part any more may
// still claim one, until it knows.
func (a *Apportioner) othersClaim(resource string, now time.Time) (float64, bool) {
	sum := 0.0
	for _, report := range a.reports {
		sum += report.perSecond[resource]
	}
	heard := 0
	missing := 0
	for _, name := range a.Holders(resource) {
		_, found := a.reports[name]
		switch {
		case name == a.self:
		case found:
			heard++
		default:
			missing++
		}
	}
	if missing == 0 {
		return sum, true
	}
	if now.Before(a.hearUntil) || heard == 0 {
		return 0, false
	}
	return sum * float64(heard+missing) / float64(heard), true
}
