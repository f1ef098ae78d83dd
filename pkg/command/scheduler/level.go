package scheduler

import "math"

// Count is how many requests of one service and priority have ended in a time. It is
// immutable.
type Count struct {
	// Served were answered.
	Served int
	// Full were refused, shed or timed out because the upstreams had no room.
	Full int
	// Turned were refused by the admission level.
	Turned int
	// Held wait now.
	Held int
}

// plus returns the sum of two counts.
func (c Count) plus(other Count) Count {
	return Count{
		Served: c.Served + other.Served,
		Full:   c.Full + other.Full,
		Turned: c.Turned + other.Turned,
		Held:   c.Held + other.Held,
	}
}

// offered returns how many requests there were.
func (c Count) offered() int {
	return c.Served + c.Full + c.Turned
}

// Counts holds a Count for each priority of a service.
type Counts [Priorities]Count

// Plus returns the sum of two counts by priority.
func (c Counts) Plus(other Counts) Counts {
	for i := range c {
		c[i] = c[i].plus(other[i])
	}
	return c
}

// total returns the sum over all priorities.
func (c Counts) total() Count {
	var sum Count
	for _, count := range c {
		sum = sum.plus(count)
	}
	return sum
}

const (
	// minOffered is the least number of requests that a level is based on. With fewer, one
	// refusal more or less would change the level.
	minOffered = 20
	// calmShare and busyShare bound the share of the requests that were let through and found
	// no room. Below calmShare the budget grows by calmGrowth, so that an overload that has
	// ended is forgotten within some seconds; between them by busyGrowth, and above busyShare
	// not at all.
	calmShare  = 0.02
	busyShare  = 0.10
	calmGrowth = 0.4
	busyGrowth = 0.1
	// floorShare is how often each priority is admitted at least, relative to all requests.
	floorShare = 0.25
)

// Level is the admission level of a service: the share of each priority's requests that is
// admitted (DAGOR; Zhou et al., 2018). The zero Level admits all. It is immutable, and it
// depends on the counts alone, so that instances with the same counts have the same level.
type Level struct {
	// turned is, by priority, the share that is not admitted, from 0 to 1.
	turned [Priorities]float64
}

// NewLevel returns the level that follows from the counts of all instances in the last seconds.
// What was served, and somewhat more, is admitted, the most urgent first. Each priority keeps
// a share, so that none starves.
func NewLevel(counts Counts) Level {
	var level Level
	total := counts.total()
	admitted := total.Served + total.Full
	if total.offered() < minOffered || admitted == 0 {
		return level
	}
	full := float64(total.Full) / float64(admitted)
	if total.Turned == 0 && full < busyShare {
		return level
	}
	budget := float64(total.Served) * (1 + growth(full))
	floor := floorShare * min(budget/float64(total.offered()), 1)
	for _, count := range counts {
		budget -= floor * float64(count.offered())
	}
	for priority, count := range counts {
		offered := float64(count.offered())
		if offered == 0 {
			continue
		}
		share := min(floor+max(budget, 0)/offered, 1)
		budget -= (share - floor) * offered
		level.turned[priority] = 1 - share
	}
	return level.withoutInversion(counts)
}

// withoutInversion returns the level for priorities without requests as well: they are admitted
// as the next more urgent one with requests.
func (l Level) withoutInversion(counts Counts) Level {
	turned := 0.0
	for priority := range l.turned {
		if counts[priority].offered() > 0 {
			turned = max(turned, l.turned[priority])
		}
		l.turned[priority] = turned
	}
	return l
}

// growth returns by which fraction more requests are admitted than were served, if that share
// of the requests that were let through found no room.
func growth(full float64) float64 {
	switch {
	case full < calmShare:
		return calmGrowth
	case full < busyShare:
		return busyGrowth
	default:
		return 0
	}
}

// AdmitsAll reports whether the level admits every request.
func (l Level) AdmitsAll() bool {
	return l == Level{}
}

// Share returns the share of a priority's requests that is admitted, from 0 to 1.
func (l Level) Share(priority int) float64 {
	return 1 - l.turned[PriorityIndex(priority)]
}

// Rounded returns a copy with shares in tenths, for comparing levels.
func (l Level) Rounded() Level {
	const tenths = 10
	for priority := range l.turned {
		l.turned[priority] = math.Round(l.turned[priority]*tenths) / tenths
	}
	return l
}
