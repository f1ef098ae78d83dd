package balancer

import "time"

const (
	// homeLoad is the load of a region's slots up to which its requests stay there. Beyond it
	// requests queue at upstreams, because demand and durations vary.
	homeLoad = 0.7
	// returnLoad is the load up to which requests return. The distance to homeLoad keeps
	// objects from moving with each wave of demand: the part that a region needs for a peak
	// rises faster than it may move if it begins at 0.
	returnLoad = 0.45
	// distanceLoad is how much higher than the load of all regions together that of one may be
	// before its requests leave, because a request to another region takes longer.
	distanceLoad = 0.15
	// returnDistance is what distanceLoad is for requests that return. Above 0, the regions
	// have room for what the level takes from one.
	returnDistance = 0.02
	// horizon is how far ahead demand is reckoned. It makes up for the time in which figures
	// are smoothed and sent and the part moves. A quarter of a wave, 9 s of 36 s, is the most
	// that a slope says something about; a straight line over it overshoots by half.
	horizon = 4 * time.Second
	// minPerSecond is the rate of requests of all regions below which figures say nothing.
	minPerSecond = 2.0
	// levelRounds bounds the iteration that finds the load by roaming requests. Each round
	// reduces the error by the share of the slots in overloaded regions at least.
	levelRounds = 60
)

// Room is the slots and the demand of one region for one service. It is immutable.
type Room struct {
	// Region is the name of the region.
	Region string
	// Slots is the number of slots of the live upstreams there.
	Slots float64
	// Demand is that of the region's instances.
	Demand Demand
}

// Load returns the load that the region would have if all of its requests ran there, relative
// to its slots, for a time of work per request in seconds.
func (r Room) Load(work float64) float64 {
	return r.Demand.Ahead(horizon) * work / r.Slots
}

// Range is a part of requests by its bounds, from 0 to 1. It is immutable.
type Range struct {
	Least float64
	Most  float64
}

// Roaming returns the bounds of the part of a region's requests that should be free to run in
// any region: with the least part no region's load exceeds homeLoad, with the most part
// returnLoad, or a load somewhat above that of all regions together if it is higher
// (water-filling). The free requests spread over the slots of all regions evenly. Roaming
// returns false if the figures say nothing.
func Roaming(rooms []Room, home string) (roaming Range, ok bool) {
	slots, perSecond, inUse, ahead := 0.0, 0.0, 0.0, 0.0
	for _, room := range rooms {
		slots += room.Slots
		perSecond += room.Demand.PerSecond
		inUse += room.Demand.InUse
		ahead += room.Demand.Ahead(horizon)
	}
	if slots == 0 || perSecond < minPerSecond || inUse <= 0 {
		return Range{}, false
	}
	work := inUse / perSecond
	mean := ahead * work / slots
	return Range{
		Least: roamingAtLevel(rooms, home, work, max(homeLoad, mean+distanceLoad)),
		Most:  roamingAtLevel(rooms, home, work, max(returnLoad, mean+returnDistance)),
	}, true
}

// roamingAtLevel returns the part of the home region's requests that must roam for no load to
// exceed a level.
func roamingAtLevel(rooms []Room, home string, work, level float64) float64 {
	slots := 0.0
	for _, room := range rooms {
		slots += room.Slots
	}
	roamingLoad := levelRoamingLoad(rooms, work, level, slots)
	for _, room := range rooms {
		if room.Region == home {
			return room.roaming(work, level, roamingLoad)
		}
	}
	return 0
}

// levelRoamingLoad returns the load that the roaming requests of all regions make everywhere.
// More of them leave less room for requests that stay, so that it is a fixed point.
func levelRoamingLoad(rooms []Room, work, level, slots float64) float64 {
	load := 0.0
	for range levelRounds {
		roaming := 0.0
		for _, room := range rooms {
			roaming += room.Demand.Ahead(horizon) * work * room.roaming(work, level, load)
		}
		load = roaming / slots
	}
	return load
}

// roaming returns the part of the region's requests that must roam for the load of the rest and
// the roaming load to stay under a level. All requests of a region without slots roam.
func (r Room) roaming(work, level, roamingLoad float64) float64 {
	if r.Slots == 0 {
		return 1
	}
	load := r.Load(work)
	if load <= 0 {
		return 0
	}
	return min(max(1-(level-roamingLoad)/load, 0), 1)
}
