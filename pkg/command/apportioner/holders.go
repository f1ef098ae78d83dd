package apportioner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Member is one of the instances between which limits are split.
type Member struct {
	Name string
	// Group names the set of instances that are near each other. The holders are
	// distributed evenly over the groups, so that every instance has one nearby.
	Group string
}

// memberState is the group of a member and the time of its removal.
type memberState struct {
	group string
	// removeAt is the instant at which a member that has left is removed. It is zero
	// for a present member.
	removeAt time.Time
}

// Split says how a resource is split between the members.
type Split struct {
	// Holders is how many members hold parts of the resource at most. If a small limit were
	// split between all members, each part would be too small to admit a request. Therefore
	// only a few members hold parts of it.
	Holders int
	// MinChange is the change of the demand, in requests per second, that is reported.
	MinChange float64
}

// SetSplit sets how a resource is split. By default, all members hold parts of it, and
// MinChange is DefaultMinChange.
func (a *Apportioner) SetSplit(resource string, split Split) {
	previous, found := a.splits[resource]
	a.splits[resource] = split
	if !found || previous.Holders != split.Holders {
		delete(a.cachedHolders, resource)
		a.holdersVersion++
	}
}

// HoldersVersion returns a number that differs from an earlier one if Holders may return other
// members.
func (a *Apportioner) HoldersVersion() uint64 {
	return a.holdersVersion
}

// dropHolders drops the cached results of Holders.
func (a *Apportioner) dropHolders() {
	clear(a.cachedHolders)
	a.holdersVersion++
}

// sameGroups reports whether two sets of members have the same names in the same groups.
func sameGroups(a, b map[string]memberState) bool {
	return maps.EqualFunc(a, b, func(x, y memberState) bool { return x.group == y.group })
}

// minChange returns the change of the demand for a resource that is reported.
func (a *Apportioner) minChange(resource string) float64 {
	if split, found := a.splits[resource]; found {
		return split.MinChange
	}
	return DefaultMinChange
}

// Holders returns the names of the members that hold parts of a resource, sorted. All
// instances with the same list of members get the same result.
func (a *Apportioner) Holders(resource string) []string {
	if cached, found := a.cachedHolders[resource]; found {
		return cached
	}
	var chosen []string
	if split, limited := a.splits[resource]; limited && split.Holders < len(a.members) {
		chosen = a.chooseHolders(resource, split.Holders)
	} else {
		chosen = slices.Sorted(maps.Keys(a.members))
	}
	a.cachedHolders[resource] = chosen
	return chosen
}

// isHolder reports whether this instance holds a part of a resource.
func (a *Apportioner) isHolder(resource string) bool {
	_, found := slices.BinarySearch(a.Holders(resource), a.self)
	return found
}

// candidate is a member with its position in the order in which the holders of a
// resource are chosen.
type candidate struct {
	name string
	// rank is the number of members of its group that come before it.
	rank int
	// score is the rendezvous hash of the resource and the name.
	score uint64
}

// chooseHolders returns the names of count holders. It orders the members of each group
// by rendezvous hashing and takes the first of every group, then the second of every
// group, and so on.
func (a *Apportioner) chooseHolders(resource string, count int) []string {
	byGroup := map[string][]candidate{}
	for name, member := range a.members {
		byGroup[member.group] = addCandidate(byGroup[member.group], count, candidate{
			name:  name,
			score: hasher.Mix(hasher.Sum(resource, "/", name)),
		})
	}
	var candidates []candidate
	for _, group := range byGroup {
		for rank := range group {
			group[rank].rank = rank
		}
		candidates = append(candidates, group...)
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.score, y.score))
	})
	chosen := make([]string, 0, count)
	for _, c := range candidates[:count] {
		chosen = append(chosen, c.name)
	}
	slices.Sort(chosen)
	return chosen
}

// addCandidate adds a candidate to those of its group, which are sorted by score, and keeps at
// most count of them.
func addCandidate(group []candidate, count int, added candidate) []candidate {
	at, _ := slices.BinarySearchFunc(group, added, func(x, y candidate) int { return cmp.Compare(x.score, y.score) })
	if at >= count {
		return group
	}
	group = slices.Insert(group, at, added)
	return group[:min(len(group), count)]
}
