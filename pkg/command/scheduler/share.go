package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// demandHalfLife is the time after which a request counts half in the demand of its team.
	demandHalfLife = 2 * time.Second
	// minDemand is the demand below which a team is forgotten.
	minDemand = 0.05
	// burstFactor is how much more than the mean of the others a team may ask for. An instance
	// sees few requests of each team, so that equal teams often differ by less than that.
	burstFactor = 2
	// minTeamShare is how often a team's requests are admitted at least, relative to all.
	minTeamShare = 0.25
)

// TeamDemand is how many requests the teams of one service have sent lately,
// with weights that halve every demandHalfLife. It is used by one goroutine at a time.
type TeamDemand struct {
	byTeam  map[string]float64
	decayed time.Time
}

// NewTeamDemand returns a demand without requests.
func NewTeamDemand() *TeamDemand {
	return &TeamDemand{
		byTeam: map[string]float64{},
	}
}

// Add counts a request of a team.
func (d *TeamDemand) Add(team string, now time.Time) {
	factor := math.Exp2(-max(now.Sub(d.decayed).Seconds(), 0) / demandHalfLife.Seconds())
	for known, demand := range d.byTeam {
		d.byTeam[known] = demand * factor
		if demand*factor < minDemand {
			delete(d.byTeam, known)
		}
	}
	d.decayed = now
	d.byTeam[team]++
}

// Share returns the share of a team's requests that is admitted if there is room for a share of
// all. Each team gets as much as it asks for up to a bound that is the same for all (max-min
// fairness), so that a team at several times its usual rate takes nothing from the others. Teams
// that ask for up to burstFactor times the mean of the others are left to the priorities.
func (d *TeamDemand) Share(team string, share float64) float64 {
	own := d.byTeam[team]
	others := len(d.byTeam) - 1
	if own == 0 || share >= 1 || others < 1 {
		return 1
	}
	total := 0.0
	for _, demand := range d.byTeam {
		total += demand
	}
	usual := burstFactor * max((total-own)/float64(others), 1)
	fair := max(d.bound(share), usual) / own
	return min(max(fair, share*minTeamShare), 1)
}

// bound returns the demand of each team up to which there is room.
func (d *TeamDemand) bound(share float64) float64 {
	demands := make([]float64, 0, len(d.byTeam))
	left := 0.0
	for _, demand := range d.byTeam {
		demands = append(demands, demand)
		left += demand * share
	}
	slices.Sort(demands)
	for i, demand := range demands {
		equal := left / float64(len(demands)-i)
		if demand >= equal {
			return equal
		}
		left -= demand
	}
	return math.Inf(1)
}
