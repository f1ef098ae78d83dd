package apportioner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// Member is an instance among which limits are split.
type Member struct {
	Name string
	// Group names instances that are near each other. Each group gets holders in
	// turn, so that a holder is near to all.
	Group string
}

// counted is a member, and until when it is counted on.
type counted struct {
	group string
	// until is zero for a member, and for one that has left the end of its counting
	// on.
	until time.Time
}

// SetSpread says how many members hold parts of a resource; all do where nothing is
// said. A part of a small limit would be too small to admit a request, so few hold
// one, and the others borrow from them.
func (a *Apportioner) SetSpread(resource string, holders int) {
	if a.spread[resource] == holders {
		return
	}
	a.spread[resource] = holders
	delete(a.holders, resource)
}

// Holders returns the names of the members that hold parts of a resource, in order.
// All instances that know of the same members name the same ones.
func (a *Apportioner) Holders(resource string) []string {
	if known, found := a.holders[resource]; found {
		return known
	}
	chosen := slices.Sorted(maps.Keys(a.countedUntil))
	if count, limited := a.spread[resource]; limited && count < len(chosen) {
		chosen = a.choose(resource, count)
	}
	a.holders[resource] = chosen
	return chosen
}

// holds says whether this instance holds a part of a resource.
func (a *Apportioner) holds(resource string) bool {
	_, found := slices.BinarySearch(a.Holders(resource), a.self)
	return found
}

// ranked is a member in the order in which a resource chooses its holders.
type ranked struct {
	name string
	// turn is how many of its group come before it.
	turn  int
	score uint64
}

// choose returns that many holders, by rendezvous hashing within each group, and of
// each group in turn.
func (a *Apportioner) choose(resource string, count int) []string {
	byGroup := map[string][]ranked{}
	for name, member := range a.countedUntil {
		byGroup[member.group] = append(byGroup[member.group], ranked{
			name:  name,
			score: hasher.Mix(hasher.Sum(resource, "/", name)),
		})
	}
	var all []ranked
	for _, group := range byGroup {
		slices.SortFunc(group, func(x, y ranked) int { return cmp.Compare(x.score, y.score) })
		for turn := range group {
			group[turn].turn = turn
		}
		all = append(all, group...)
	}
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.turn, y.turn), cmp.Compare(x.score, y.score))
	})
	chosen := make([]string, 0, count)
	for _, one := range all[:count] {
		chosen = append(chosen, one.name)
	}
	slices.Sort(chosen)
	return chosen
}
