// Package locator answers look-ups: which entry instances a caller is to use.
package locator

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// MaxEntries is how many entry instances an answer names.
	MaxEntries = 4
	// maxRotations bounds the prepared orders of one site. Callers are spread over
	// them.
	maxRotations = 16
)

// Entry is an entry instance that a caller may use.
type Entry struct {
	// Address is an IP number and a port.
	Address string
	// Place is the failure domain of the instance.
	Place string
	// Incarnation names the home that the caller gets.
	Incarnation string
}

// Question is one look-up.
type Question struct {
	// Service is the service's name or one of its host names.
	Service string
	// Client is the caller's address.
	Client netip.Addr
	// Now is the instant of the look-up.
	Now time.Time
	// Random spreads callers over instances that are equally near.
	Random uint64
}

// Answer names entry instances, the best first.
type Answer struct {
	// Entries holds at most MaxEntries and is shared: readers do not change it.
	Entries []Entry
	// ValidUntil is the instant after which the caller asks again.
	ValidUntil time.Time
	// Revision is the revision of the configuration.
	Revision uint64
}

// Locator answers look-ups from one immutable snapshot, without allocation.
type Locator struct {
	generation uint64
	revision   uint64
	// validMillis is how long an answer is valid, in milliseconds.
	validMillis int
	// services holds the names and host names of all services.
	services map[string]bool
	blocks   *Blocks
	// sites holds the prepared orders of each place, in the order of names.
	sites []site
	// places holds the number of each place's site under its name.
	places map[string]int
	// fallback serves clients that no block is declared for.
	fallback int
}

// site holds the orders of instances as seen from one place.
//
// Invariant: no order is longer than MaxEntries.
type site struct {
	orders [][]Entry
	// nearest are all instances that are as near as the nearest one.
	nearest []Entry
}

// Source is what a locator is made from.
type Source struct {
	// Generation grows with each locator of a process.
	Generation uint64
	// Revision is the revision of the configuration.
	Revision uint64
	// Set is the declaration in force.
	Set declarer.Set
	// Blocks are the client blocks of the set, from DeclaredBlocks. They are made
	// once for each revision, because they may be millions.
	Blocks *Blocks
	// Members are the instances that may be named: present, and not leaving.
	Members []registrar.Member
	// Home is the place that answers for clients of no declared block.
	Home string
	// ValidMillis is how long an answer is valid, in milliseconds.
	ValidMillis int
}

// New returns the locator of a source.
func New(source Source) *Locator {
	places := source.Set.Places.Rows()
	locator := &Locator{
		generation:  source.Generation,
		revision:    source.Revision,
		validMillis: source.ValidMillis,
		services:    map[string]bool{},
		places:      map[string]int{},
		blocks:      source.Blocks,
	}
	for service := range source.Set.Services.All() {
		locator.services[service.Name] = true
		for _, host := range service.HostNames() {
			locator.services[host] = true
		}
	}
	for i, place := range places {
		locator.places[place.Name] = i
		locator.sites = append(locator.sites, newSite(place, source.Set.Places, source.Members))
		if place.Name == source.Home {
			locator.fallback = i
		}
	}
	return locator
}

// RevisionNumber returns the generation.
func (l Locator) RevisionNumber() uint64 {
	return l.generation
}

// Locate answers a look-up, and returns false if there is no such service.
func (l *Locator) Locate(question Question) (Answer, bool) {
	if !l.services[question.Service] {
		return Answer{}, false
	}
	answer := Answer{
		ValidUntil: question.Now.Add(time.Duration(l.validMillis) * time.Millisecond),
		Revision:   l.revision,
	}
	at := int(l.blocks.Site(question.Client))
	if at >= len(l.sites) {
		at = l.fallback
	}
	orders := l.sites[at].orders
	if len(orders) > 0 {
		answer.Entries = orders[question.Random%uint64(len(orders))]
	}
	return answer, true
}

// Nearest answers a caller who names the place where it is. All entries are
// equally good. A place that is not declared counts as the home.
func (l *Locator) Nearest(place string, now time.Time) Answer {
	answer := Answer{
		ValidUntil: now.Add(time.Duration(l.validMillis) * time.Millisecond),
		Revision:   l.revision,
	}
	at, found := l.places[place]
	if !found {
		at = l.fallback
	}
	if at < len(l.sites) {
		answer.Entries = l.sites[at].nearest
	}
	return answer
}

// DeclaredBlocks returns the table of the client blocks that a set declares. A
// site's number is its place's, in the order of names.
func DeclaredBlocks(set declarer.Set) *Blocks {
	var blocks []Block
	for i, place := range set.Places.Rows() {
		for _, text := range place.ClientBlocks {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				continue
			}
			blocks = append(blocks, Block{
				Prefix: prefix,
				Site:   uint16(i),
			})
		}
	}
	return NewBlocks(blocks)
}

// newSite prepares the orders as seen from a place: own place first, then own
// region, then by latency. Instances that are equally near take turns.
func newSite(from declarer.Place, places declarer.Table[declarer.Place], members []registrar.Member) site {
	distances := map[string]int{}
	for place := range places.All() {
		distances[place.Name] = from.Distance(places, place.Name)
	}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b registrar.Member) int {
		return cmp.Or(
			cmp.Compare(distances[a.Place], distances[b.Place]),
			strings.Compare(a.Place, b.Place),
			strings.Compare(a.Incarnation, b.Incarnation),
		)
	})
	groups := groupBy(sorted, func(member registrar.Member) int { return distances[member.Place] })
	turns := 0
	for _, group := range groups {
		turns = max(turns, min(len(group), maxRotations))
	}
	prepared := site{}
	if len(groups) > 0 {
		prepared.nearest = entriesOf(groups[0])
	}
	for turn := range turns {
		prepared.orders = append(prepared.orders, order(groups, turn))
	}
	return prepared
}

// groupBy cuts sorted members into runs of equal distance.
func groupBy(sorted []registrar.Member, distance func(registrar.Member) int) [][]registrar.Member {
	var groups [][]registrar.Member
	start := 0
	for at := range sorted {
		if at+1 == len(sorted) || distance(sorted[at+1]) != distance(sorted[start]) {
			groups = append(groups, sorted[start:at+1])
			start = at + 1
		}
	}
	return groups
}

// order returns the first entries, with the members of each group turned.
func order(groups [][]registrar.Member, turn int) []Entry {
	entries := make([]Entry, 0, MaxEntries)
	for _, group := range groups {
		for i := range group {
			if len(entries) == MaxEntries {
				return entries
			}
			entries = append(entries, entryOf(group[(i+turn)%len(group)]))
		}
	}
	return entries
}

func entriesOf(members []registrar.Member) []Entry {
	entries := make([]Entry, 0, len(members))
	for _, member := range members {
		entries = append(entries, entryOf(member))
	}
	return entries
}

func entryOf(member registrar.Member) Entry {
	return Entry{
		Address:     member.CallerAddress,
		Place:       member.Place,
		Incarnation: member.Incarnation,
	}
}
