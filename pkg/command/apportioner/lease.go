package apportioner

import (
	"slices"
	"time"
)

const (
	// keptFraction is how much of its fractions an instance keeps that is cut off from the
	// others. They never use that while they reserve it, because they cannot tell a cut from
	// a death. Teams commonly use some two thirds of their limits, so that neither side has
	// to refuse what they usually send.
	keptFraction = 0.8
	// reserveTime is how long the others reserve keptFraction of the fractions of an instance
	// that they have removed. keepTime is how long the instance uses it. It is shorter, as the
	// instance lapses before it is removed, and clocks run at slightly different speeds.
	reserveTime = 10 * time.Minute
	keepTime    = reserveTime - time.Minute
)

// A lapse is the time during which an instance uses keptFraction of its fractions, because the
// others may have removed it without its knowing. It ends when all others have confirmed a
// report that was made after contact was regained.
type lapse struct {
	// until is the end of keepTime. From then on the instance uses nothing.
	until time.Time
	// fractions holds the fractions at the beginning, by resource.
	fractions map[string]float64
	// lastNumber is the number of the last report made before contact was regained.
	lastNumber uint64
	// regained is set while this instance has contact again.
	regained bool
}

// Lapse records that this instance has lost contact with the others, so that they may remove
// it unnoticed. It must be called before they can have split its fractions between them.
func (a *Apportioner) Lapse(now time.Time) {
	if a.lapse == nil {
		a.lapse = &lapse{
			until:     now.Add(keepTime),
			fractions: a.ownFractions(now),
		}
	}
	a.lapse.regained = false
	a.lapse.lastNumber = a.lastNumber()
}

// Regain records that this instance has contact with the others. After a lapse it reports
// its demand to them again.
func (a *Apportioner) Regain() {
	if a.lapse != nil {
		a.lapse.regained = true
	}
}

// Lapsed reports whether this instance has lost contact with the others and has not been
// counted by all of them again.
func (a *Apportioner) Lapsed() bool {
	return a.lapse != nil
}

// lastNumber returns the number of the last report made, or 0.
func (a *Apportioner) lastNumber() uint64 {
	if last := a.lastReport(); last != nil {
		return last.number
	}
	return 0
}

// reportsAgain reports whether a report is due because contact was regained after a lapse.
func (a *Apportioner) reportsAgain() bool {
	return a.lapse != nil && a.lapse.regained && a.lastNumber() <= a.lapse.lastNumber
}

// endLapse ends the lapse once all others have confirmed a report with this number.
func (a *Apportioner) endLapse(number uint64) {
	if a.lapse != nil && a.lapse.regained && number > a.lapse.lastNumber {
		a.lapse = nil
	}
}

// fraction returns the fraction of a resource that this instance uses during a lapse.
func (l *lapse) fraction(resource string, now time.Time) float64 {
	if !now.Before(l.until) {
		return 0
	}
	return keptFraction * l.fractions[resource]
}

// ownFractions returns this instance's fractions of all resources.
func (a *Apportioner) ownFractions(now time.Time) map[string]float64 {
	fractions := map[string]float64{}
	for resource := range a.meters {
		fractions[resource] = a.Fraction(resource, now)
	}
	return fractions
}

// MarkLost records that the link to another instance has been lost, and what the instance may
// use of each resource: it does not learn of changes from now on.
func (a *Apportioner) MarkLost(member string) {
	if _, known := a.members[member]; !known {
		return
	}
	if _, found := a.lost[member]; !found {
		a.lost[member] = a.fractionsOf(member)
	}
}

// MarkLinked records that another instance is linked.
func (a *Apportioner) MarkLinked(member string) {
	delete(a.lost, member)
	delete(a.left, member)
}

// MarkLeft records that another instance has announced that it stops. Nothing is reserved
// for it.
func (a *Apportioner) MarkLeft(member string) {
	if _, known := a.members[member]; known {
		a.left[member] = true
	}
}

// HasLeft reports whether another instance has announced that it stops.
func (a *Apportioner) HasLeft(member string) bool {
	return a.left[member]
}

// fractionsOf returns the most that another instance may use of each resource.
func (a *Apportioner) fractionsOf(member string) map[string]float64 {
	fractions := map[string]float64{}
	for resource := range a.meters {
		holders := a.Holders(resource)
		if _, found := slices.BinarySearch(holders, member); !found {
			continue
		}
		count := float64(len(holders))
		claim := a.demands[resource][member]
		sum := a.ownDemand(resource)
		for _, perSecond := range a.demands[resource] {
			sum += perSecond
		}
		if sum == 0 {
			fractions[resource] = 1 / count
			continue
		}
		fractions[resource] = evenSplitFraction/count + (1-evenSplitFraction)*claim/sum
	}
	return fractions
}

// ownDemand returns this instance's claim to a resource, or 0 before the first is confirmed.
func (a *Apportioner) ownDemand(resource string) float64 {
	if a.confirmed == nil {
		return 0
	}
	return a.ownClaim(resource)
}
