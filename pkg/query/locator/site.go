package locator

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// site holds the precomputed answers for the clients of one failure domain.
type site struct {
	// rankings holds rankings of instances by distance, which differ in the order of
	// equally near instances. None is longer than MaxEntries.
	rankings [][]Entry
	// nearest holds all instances at the shortest distance.
	nearest []Entry
	// draw chooses among nearest by the caller's address; nil if each caller gets all.
	draw *draw
}

// group holds the entries of failure domains at one distance, in the order of the names of the
// failure domains.
type group struct {
	distance int
	places   [][]Entry
}

// entriesByPlace returns the entries of each failure domain, in the order of incarnations.
func entriesByPlace(members []registrar.Member) map[string][]Entry {
	entries := map[string][]Entry{}
	for _, member := range members {
		entries[member.Place] = append(entries[member.Place], Entry{
			Address:     member.CallerAddress,
			Place:       member.Place,
			Incarnation: member.Incarnation,
		})
	}
	for _, ofPlace := range entries {
		slices.SortFunc(ofPlace, func(a, b Entry) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	}
	return entries
}

// newSite returns the site of a failure domain. Its rankings begin with the instances of
// the same failure domain, followed by those of the same region and then by the others in
// the order of latency. Equally near instances rotate from one ranking to the next.
func newSite(
	from declarer.Place,
	places declarer.Table[declarer.Place],
	entries map[string][]Entry,
	known map[string]instance,
) site {
	groups := groupByDistance(from, places, entries)
	if len(groups) == 0 {
		return site{}
	}
	result := site{
		nearest: groups[0].entries(),
	}
	result.draw = newDraw(result.nearest, known)
	rotations := 0
	for _, group := range groups {
		rotations = max(rotations, min(group.size(), maxRotations))
	}
	for rotation := range rotations {
		result.rankings = append(result.rankings, ranking(groups, rotation))
	}
	return result
}

// groupByDistance returns the groups of the failure domains that have entries, by ascending
// distance.
func groupByDistance(from declarer.Place, places declarer.Table[declarer.Place], entries map[string][]Entry) []group {
	byDistance := map[int]*group{}
	for place, ofPlace := range entries {
		distance := from.Distance(places, place)
		found, known := byDistance[distance]
		if !known {
			found = &group{
				distance: distance,
			}
			byDistance[distance] = found
		}
		found.places = append(found.places, ofPlace)
	}
	groups := make([]group, 0, len(byDistance))
	for _, found := range byDistance {
		slices.SortFunc(found.places, func(a, b []Entry) int { return strings.Compare(a[0].Place, b[0].Place) })
		groups = append(groups, *found)
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.distance, b.distance) })
	return groups
}

// size returns the number of entries.
func (g group) size() int {
	size := 0
	for _, ofPlace := range g.places {
		size += len(ofPlace)
	}
	return size
}

// entries returns all entries.
func (g group) entries() []Entry {
	all := make([]Entry, 0, g.size())
	for _, ofPlace := range g.places {
		all = append(all, ofPlace...)
	}
	return all
}

// at returns the entry at an index below size.
func (g group) at(index int) Entry {
	for _, ofPlace := range g.places {
		if index < len(ofPlace) {
			return ofPlace[index]
		}
		index -= len(ofPlace)
	}
	return Entry{}
}

// ranking returns the first MaxEntries entries, with the entries of each group rotated.
func ranking(groups []group, rotation int) []Entry {
	ranked := make([]Entry, 0, MaxEntries)
	for _, group := range groups {
		size := group.size()
		for i := range size {
			if len(ranked) == MaxEntries {
				return ranked
			}
			ranked = append(ranked, group.at((i+rotation)%size))
		}
	}
	return ranked
}
