package steerer

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// locatorIntervalMillis is the shortest time between two locators that follow changes of links
// and members, in milliseconds. Answers to look-ups are valid for much longer.
const locatorIntervalMillis = 100

// locatorInputs is what the latest locator was built from. It is immutable.
type locatorInputs struct {
	// revision is that of the declaration; 0 before the first locator.
	revision uint64
	members  []registrar.Member
	// blocks holds the declared client blocks of the revision.
	blocks *locator.Blocks
}

// withRevision returns a copy for the declaration of a routing table.
func (i locatorInputs) withRevision(table *router.Table) locatorInputs {
	if i.blocks == nil || i.revision != table.RevisionNumber() {
		i.blocks = locator.DeclaredBlocks(table.Set())
		i.revision = table.RevisionNumber()
	}
	return i
}

// withMembers returns a copy with other available instances.
func (i locatorInputs) withMembers(members []registrar.Member) locatorInputs {
	i.members = members
	return i
}

// equal reports whether both lead to the same answers.
func (i locatorInputs) equal(other locatorInputs) bool {
	return i.revision == other.revision && i.blocks == other.blocks && slices.Equal(i.members, other.members)
}

// updateLocator publishes a locator of the available instances for the plan in force, if it
// differs from the latest one.
func (s *Steerer) updateLocator() {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	s.publishLocator(s.plans.Load().Table())
}

// publishLocator publishes a locator of the available instances for a routing table, if it
// differs from the latest one. The caller holds locatorMu.
func (s *Steerer) publishLocator(table *router.Table) {
	inputs := s.locatorInputs.withRevision(table).withMembers(s.availableMembers())
	if s.locators.Load() != nil && inputs.equal(s.locatorInputs) {
		return
	}
	s.locatorInputs = inputs
	s.locatorGeneration++
	s.locators.Advance(*locator.New(locator.Source{
		Generation:  s.locatorGeneration,
		Revision:    inputs.revision,
		Set:         table.Set(),
		Blocks:      inputs.blocks,
		Members:     inputs.members,
		Home:        s.self.Place,
		ValidMillis: s.settings.Lookups.ValidMillis,
	}))
}

// availableMembers returns the instances that lookups may name to callers. The caller
// holds locatorMu.
func (s *Steerer) availableMembers() []registrar.Member {
	var available []registrar.Member
	if !s.leaving.Load() {
		available = append(available, s.self)
	}
	for member := range s.otherMembers() {
		if _, alive := s.isAlive(member); alive {
			available = append(available, member)
		}
	}
	return available
}

// lookup returns the instances that a caller in a failure domain should use. They are the
// same for all hosts, since each instance serves all of them.
func (s *Steerer) lookup(_, place string) (LookupResult, bool) {
	current := s.locators.Load()
	if current == nil {
		return LookupResult{}, false
	}
	answer := current.Nearest(place, time.Now())
	if len(answer.Entries) == 0 {
		return LookupResult{}, false
	}
	addresses := make([]string, 0, len(answer.Entries))
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	return LookupResult{
		Addresses:  addresses,
		ValidUntil: answer.ValidUntil,
	}, true
}
