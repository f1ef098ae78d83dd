package apportioner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Demand is the rate of requests that an instance receives for a resource.
type Demand struct {
	Resource string
	// PerSecond is the rate, in requests per second.
	PerSecond float64
}

// Report is what one instance sends to all others.
type Report struct {
	// Incarnation identifies one start of the instance's process. Number
	// increases with each report of that start.
	Incarnation string
	Number      uint64
	// Demands are sorted by resource.
	Demands []Demand
}

// indexedReport is a report with its demands by resource.
type indexedReport struct {
	incarnation string
	number      uint64
	perSecond   map[string]float64
}

// Receive handles the report of another instance. An instance that is not a member yet is
// treated as one that has just left, so that it counts until SetMembers lists it or
// DrainWait has passed. A report that is not newer than the last one of the same start
// changes nothing.
func (a *Apportioner) Receive(member Member, report Report, now time.Time) {
	previous, found := a.reports[member.Name]
	if found && report.Incarnation == previous.incarnation && report.Number <= previous.number {
		return
	}
	if _, known := a.members[member.Name]; !known {
		a.members[member.Name] = memberState{
			group:    member.Group,
			removeAt: now.Add(DrainWait),
		}
		a.scheduleRemoval(now.Add(DrainWait))
		a.dropHolders()
	}
	a.endReservation(member.Name, now)
	a.setReport(member.Name, indexReport(report))
}

// setReport replaces the report of another instance.
func (a *Apportioner) setReport(member string, next indexedReport) {
	a.forgetReport(member)
	a.reports[member] = next
	for resource, perSecond := range next.perSecond {
		byMember, found := a.demands[resource]
		if !found {
			byMember = map[string]float64{}
			a.demands[resource] = byMember
		}
		byMember[member] = perSecond
	}
}

// forgetReport drops the report of another instance, if there is one.
func (a *Apportioner) forgetReport(member string) {
	for resource := range a.reports[member].perSecond {
		delete(a.demands[resource], member)
		if len(a.demands[resource]) == 0 {
			delete(a.demands, resource)
		}
	}
	delete(a.reports, member)
}

// indexReport returns a report with its demands by resource.
func indexReport(report Report) indexedReport {
	next := indexedReport{
		incarnation: report.Incarnation,
		number:      report.Number,
		perSecond:   make(map[string]float64, len(report.Demands)),
	}
	for _, demand := range report.Demands {
		next.perSecond[demand.Resource] = demand.PerSecond
	}
	return next
}

// NextReport makes the next report, to be sent to all other members, and records it as not
// confirmed. It returns false, and makes none, if demand has not changed enough or the
// last report is too recent. A report covers only the resources of which this instance
// is a holder, and those with demand in the last report of which it no longer is one:
// their demand is reported as 0.
func (a *Apportioner) NextReport(now time.Time) (Report, bool) {
	last := a.lastReport()
	if now.Before(a.nextReportAt) {
		return Report{}, false
	}
	due := last == nil || a.reportsAgain()
	report := Report{
		Incarnation: a.incarnation,
		Number:      1,
	}
	if last != nil {
		report.Number = last.number + 1
	}
	for _, resource := range slices.Sorted(maps.Keys(a.meters)) {
		previous := 0.0
		if last != nil {
			previous = last.perSecond[resource]
		}
		if !a.isHolder(resource) && previous == 0 {
			continue
		}
		demand := Demand{
			Resource: resource,
		}
		if a.isHolder(resource) {
			demand.PerSecond = min(a.meters[resource].perSecond, MaxDemand)
		}
		report.Demands = append(report.Demands, demand)
		due = due || math.Abs(demand.PerSecond-previous) > max(minRelativeChange*previous, a.minChange(resource))
	}
	if !due {
		return Report{}, false
	}
	a.pending = append(a.pending, indexReport(report))
	a.nextReportAt = now.Add(reportInterval(len(a.members)))
	return report, true
}

// reportInterval returns the minimum time between two reports of an instance.
func reportInterval(members int) time.Duration {
	interval := reportIntervalPerMember * time.Duration(members)
	return interval * time.Duration(max(members, fullRateMembers)) / fullRateMembers
}

// MarkDelivered records that all other members have confirmed the report with this
// number.
func (a *Apportioner) MarkDelivered(number uint64) {
	for len(a.pending) > 0 && a.pending[0].number <= number {
		a.confirmed = &a.pending[0]
		a.pending = a.pending[1:]
	}
	a.endLapse(number)
}

// lastReport returns the last report made, or nil.
func (a *Apportioner) lastReport() *indexedReport {
	if len(a.pending) > 0 {
		return &a.pending[len(a.pending)-1]
	}
	return a.confirmed
}
