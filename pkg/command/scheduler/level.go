package scheduler

import (
	"math"
	"time"
)

// Count is how many requests of one service and priority have ended in a time. It is
// immutable.
type Count struct {
	// Served were answered in time, or late for another reason than their number.
	Served int
	// Late were answered after their objective by an upstream at which requests wait.
	Late int
	// Full were refused, shed or timed out because the upstreams had no room.
	Full int
	// Turned were refused by the admission level, and Over because their team asks for more
	// than its fair share.
	Turned int
	Over   int
	// Held wait now.
	Held int
}

// plus returns the sum of two counts.
func (c Count) plus(other Count) Count {
	return Count{
		Served: c.Served + other.Served,
		Late:   c.Late + other.Late,
		Full:   c.Full + other.Full,
		Turned: c.Turned + other.Turned,
		Over:   c.Over + other.Over,
		Held:   c.Held + other.Held,
	}
}

// admitted returns how many requests the level has let through.
func (c Count) admitted() int {
	return c.Served + c.Late + c.Full
}

// offered returns how many requests there were within the fair shares of their teams.
func (c Count) offered() int {
	return c.admitted() + c.Turned
}

// crowdedLoad is the load, in requests for each slot, from which on an upstream's late answer
// counts as caused by the number of requests: a quarter of its slots have a request waiting.
const crowdedLoad = 1.25

// NewCount returns the count of one request that was answered: when, its objective, which may
// be zero, and the upstream's load at that time.
func NewCount(answeredAt, objective time.Time, load float64) Count {
	if !objective.IsZero() && answeredAt.After(objective) && load >= crowdedLoad {
		return Count{
			Late: 1,
		}
	}
	return Count{
		Served: 1,
	}
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
	// overloadShare is the share of the requests let through that are late or find no room from
	// which on a level begins to refuse.
	overloadShare = 0.5
	// steadyShare is that share at which as many requests are let through as are answered. With
	// a higher one, fewer are, down to minGrowth, so that the queues of the upstreams empty.
	// With a lower one, more are, up to maxGrowth, so that an overload that has ended is
	// forgotten within some seconds.
	steadyShare = 0.15
	minGrowth   = 0.5
	maxGrowth   = 1.5
	// floorShare is how often each priority is admitted at least, relative to all requests.
	floorShare = 0.25
	// minBudgetShare is the share of the requests that is admitted at least, so that it shows
	// when upstreams that answered nothing do so again.
	minBudgetShare = 0.05
)

// Level is the admission level of a service: the share of each priority's requests that is
// admitted (DAGOR; Zhou et al., 2018). The zero Level admits all. It is immutable, and it
// depends on the counts alone, so that instances with the same counts have the same level.
type Level struct {
	// turned is, by priority, the share that is not admitted, from 0 to 1.
	turned [Priorities]float64
	// over is the share of all requests for which there is no room, from 0 to 1. Teams share
	// the rest fairly.
	over float64
}

// NewLevel returns the level that follows from the counts of all instances in the last seconds.
// What was served, and somewhat more, is admitted, the most urgent first. Each priority keeps
// a share, so that none starves.
func NewLevel(counts Counts) Level {
	var level Level
	total := counts.total()
	if total.offered() < minOffered || total.admitted() == 0 {
		return level
	}
	bad := float64(total.Late+total.Full) / float64(total.admitted())
	if total.Turned+total.Over == 0 && bad < overloadShare {
		return level
	}
	// While requests wait at the upstreams, these answer as many as they can.
	budget := float64(total.Served+total.Late) * growth(bad)
	budget = max(budget, minBudgetShare*float64(total.offered()))
	level.over = 1 - min(budget/float64(total.offered()+total.Over), 1)
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

// growth returns how many requests are admitted for each that was answered, if that share of
// those let through was late or found no room.
func growth(bad float64) float64 {
	if bad < steadyShare {
		return maxGrowth - (maxGrowth-1)*bad/steadyShare
	}
	return max(1-(bad-steadyShare), minGrowth)
}

// AdmitsAll reports whether the level admits every request.
func (l Level) AdmitsAll() bool {
	return l == Level{}
}

// Share returns the share of a priority's requests that is admitted, from 0 to 1.
func (l Level) Share(priority int) float64 {
	return 1 - l.turned[PriorityIndex(priority)]
}

// FairShare returns the share of all requests for which there is room, from 0 to 1.
func (l Level) FairShare() float64 {
	return 1 - l.over
}

// Rounded returns a copy with shares in tenths, for comparing levels.
func (l Level) Rounded() Level {
	const tenths = 10
	for priority := range l.turned {
		l.turned[priority] = math.Round(l.turned[priority]*tenths) / tenths
	}
	l.over = math.Round(l.over*tenths) / tenths
	return l
}
