// Package locator answers lookups of callers: which entry instances are nearest to them.
package locator

import (
	"net/netip"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// MaxEntries is the highest number of entry instances in the answer of Locate.
	MaxEntries = 4
	// maxRotations bounds the precomputed rankings of one site. Callers are spread over
	// these rankings.
	maxRotations = 16
)

// Entry is an entry instance that a caller may use.
type Entry struct {
	// Address is the IP address and the port of the instance.
	Address string
	// Place is the failure domain of the instance.
	Place string
	// Incarnation identifies the start of the instance that the caller reaches at Address.
	Incarnation string
}

// Question is one lookup.
type Question struct {
	// Service is the service's name or one of its host names.
	Service string
	// Client is the caller's address.
	Client netip.Addr
	// Now is the time of the lookup.
	Now time.Time
	// Random is a random number, which spreads callers over equally near instances.
	Random uint64
}

// Answer lists entry instances, the nearest first.
type Answer struct {
	// Entries is shared with other answers: readers must not change it. Locate returns at
	// most MaxEntries.
	Entries []Entry
	// ValidUntil is the time after which the caller must repeat the lookup.
	ValidUntil time.Time
	// Revision is the revision of the configuration.
	Revision uint64
}

// Locator answers lookups from one immutable snapshot, without allocation.
type Locator struct {
	// generation grows with each locator of a process, and revision is the revision of
	// the configuration.
	generation uint64
	revision   uint64
	// validMillis is how long an answer is valid, in milliseconds.
	validMillis int
	// services holds the names and host names of all services.
	services map[string]bool
	// blocks maps client addresses to indexes of sites.
	blocks *Blocks
	// sites holds the site of each failure domain, in the order of names.
	sites []site
	// siteNumbers maps the name of each failure domain to the index of its site.
	siteNumbers map[string]int
	// homeSite is the index of the site for clients that no declared block contains.
	homeSite int
}

// Source holds the data that a locator is built from.
type Source struct {
	// Generation grows with each locator of a process.
	Generation uint64
	// Revision is the revision of the configuration.
	Revision uint64
	// Set is the declaration in force.
	Set declarer.Set
	// Blocks holds the client blocks of the set, from DeclaredBlocks. The table is built
	// only once for each revision, because there may be millions of blocks.
	Blocks *Blocks
	// Members holds the instances that answers may name: those that are present and not
	// leaving.
	Members []registrar.Member
	// Saturated holds the incarnations of those members that report that they are saturated.
	// They are named to fewer callers.
	Saturated []string
	// Home is the failure domain that counts as the location of clients that no declared
	// block contains. If it is not declared, the first failure domain by name is used.
	Home string
	// ValidMillis is how long an answer is valid, in milliseconds.
	ValidMillis int
}

// New returns the locator that is built from a source.
func New(source Source) *Locator {
	places := source.Set.Places.Rows()
	entries := entriesByPlace(source.Members)
	known := instancesOf(source)
	locator := &Locator{
		generation:  source.Generation,
		revision:    source.Revision,
		validMillis: source.ValidMillis,
		services:    map[string]bool{},
		siteNumbers: map[string]int{},
		blocks:      source.Blocks,
	}
	for service := range source.Set.Services.All() {
		locator.services[service.Name] = true
		for _, host := range service.HostNames() {
			locator.services[host] = true
		}
	}
	for i, place := range places {
		locator.siteNumbers[place.Name] = i
		locator.sites = append(locator.sites, newSite(place, source.Set.Places, entries, known))
		if place.Name == source.Home {
			locator.homeSite = i
		}
	}
	return locator
}

// RevisionNumber returns the generation, by which holder.Cell tells newer locators from
// older ones.
func (l Locator) RevisionNumber() uint64 {
	return l.generation
}

// Locate answers a lookup. It returns false if the service is not declared.
func (l *Locator) Locate(question Question) (Answer, bool) {
	if !l.services[question.Service] {
		return Answer{}, false
	}
	answer := Answer{
		ValidUntil: question.Now.Add(time.Duration(l.validMillis) * time.Millisecond),
		Revision:   l.revision,
	}
	number := int(l.blocks.Site(question.Client))
	if number >= len(l.sites) {
		number = l.homeSite
	}
	rankings := l.sites[number].rankings
	if len(rankings) > 0 {
		answer.Entries = rankings[question.Random%uint64(len(rankings))]
	}
	return answer, true
}

// Nearest returns instances at the shortest distance from a failure domain that the caller
// names. For a failure domain that is not declared it uses Source.Home. If the capacities of
// these instances differ, a caller gets DrawnEntries of them, chosen by its address so that it
// keeps them, in proportion to the capacities. Otherwise, or if the caller's address is not
// valid, it gets all of them.
func (l *Locator) Nearest(place string, caller netip.Addr, now time.Time) Answer {
	answer := Answer{
		ValidUntil: now.Add(time.Duration(l.validMillis) * time.Millisecond),
		Revision:   l.revision,
	}
	number, found := l.siteNumbers[place]
	if !found {
		number = l.homeSite
	}
	if number >= len(l.sites) {
		return answer
	}
	answer.Entries = l.sites[number].nearest
	if draw := l.sites[number].draw; draw != nil && caller.IsValid() {
		answer.Entries = draw.forCaller(caller)
	}
	return answer
}

// DeclaredBlocks returns the lookup table of the client blocks that a set declares. The
// number of a site is the index of its failure domain in the order of names.
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
