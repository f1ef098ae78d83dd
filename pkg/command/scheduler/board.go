package scheduler

import (
	"maps"
	"time"
)

// Figures holds the counts of each service, by its name.
type Figures map[string]Counts

// plus returns the sum of two figures.
func (f Figures) plus(other Figures) Figures {
	sum := maps.Clone(f)
	if sum == nil {
		sum = Figures{}
	}
	for service, counts := range other {
		sum[service] = sum[service].Plus(counts)
	}
	return sum
}

// figuresValidity is how long figures count after they were received: three of the intervals
// of a second at which they are sent, so that one that is lost changes nothing.
const figuresValidity = 3 * time.Second

// received is figures with the time of their receipt.
type received struct {
	figures Figures
	at      time.Time
}

// isValid reports whether the figures still count.
func (r received) isValid(now time.Time) bool {
	return r.figures != nil && now.Sub(r.at) < figuresValidity
}

// Board holds what an instance knows of how requests have ended in the last seconds: at the
// members of its failure domain, in other failure domains, and in the whole fleet. The members
// tell the leader of their domain, the leaders tell one another the sums of their domains, and
// each leader tells its members the sum of all. A Board is immutable.
type Board struct {
	members map[string]received
	domains map[string]received
	fleet   received
}

// WithMember returns a board with the figures of a member of the instance's own domain.
func (b Board) WithMember(incarnation string, figures Figures, at time.Time) Board {
	b.members = with(b.members, incarnation, figures, at)
	return b
}

// WithDomain returns a board with the sum of another domain.
func (b Board) WithDomain(domain string, figures Figures, at time.Time) Board {
	b.domains = with(b.domains, domain, figures, at)
	return b
}

// WithFleet returns a board with the sum of all domains, as the leader has told it.
func (b Board) WithFleet(figures Figures, at time.Time) Board {
	b.fleet = received{
		figures: figures,
		at:      at,
	}
	return b
}

// with returns a copy of a map with another entry, and without those that count no more.
func with(before map[string]received, name string, figures Figures, at time.Time) map[string]received {
	next := map[string]received{}
	for other, present := range before {
		if present.isValid(at) {
			next[other] = present
		}
	}
	next[name] = received{
		figures: figures,
		at:      at,
	}
	return next
}

// DomainSum returns the sum over the members of the instance's own domain.
func (b Board) DomainSum(now time.Time) Figures {
	return sum(b.members, now)
}

// FleetSum returns the sum over all domains, as a leader knows it.
func (b Board) FleetSum(now time.Time) Figures {
	return b.DomainSum(now).plus(sum(b.domains, now))
}

// sum returns the sum of the figures that still count.
func sum(all map[string]received, now time.Time) Figures {
	total := Figures{}
	for _, one := range all {
		if one.isValid(now) {
			total = total.plus(one.figures)
		}
	}
	return total
}

// Levels returns the admission level of each service: by the sum of the leader, or, for an
// instance that leads or has heard from no leader lately, by what it knows itself.
func (b Board) Levels(leads bool, now time.Time) map[string]Level {
	figures := b.fleet.figures
	if leads || !b.fleet.isValid(now) {
		figures = b.FleetSum(now)
	}
	levels := make(map[string]Level, len(figures))
	for service, counts := range figures {
		levels[service] = NewLevel(counts)
	}
	return levels
}
