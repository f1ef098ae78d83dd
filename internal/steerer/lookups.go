package steerer

import (
	"net/netip"
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
	// saturated holds the incarnations of the members that report that they are saturated.
	saturated []string
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
func (i locatorInputs) withMembers(members []registrar.Member, saturated []string) locatorInputs {
	i.members = members
	i.saturated = saturated
	return i
}

// equal reports whether both lead to the same answers.
func (i locatorInputs) equal(other locatorInputs) bool {
	return i.revision == other.revision && i.blocks == other.blocks &&
		slices.Equal(i.members, other.members) && slices.Equal(i.saturated, other.saturated)
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
		Saturated:   inputs.saturated,
		Home:        s.self.Place,
		ValidMillis: s.settings.Lookups.ValidMillis,
	}))
}

// availableMembers returns the instances that lookups may name to callers, and the
// incarnations of those that report that they are saturated. The caller holds locatorMu.
func (s *Steerer) availableMembers() (available []registrar.Member, saturated []string) {
	if !s.leaving.Load() {
		available = append(available, s.self)
		if s.saturated.Load() {
			saturated = append(saturated, s.self.Incarnation)
		}
	}
	for member := range s.otherMembers() {
		heartbeat, alive := s.isAlive(member)
		if !alive {
			continue
		}
		available = append(available, member)
		if heartbeat.Saturated {
			saturated = append(saturated, member.Incarnation)
		}
	}
	return available, saturated
}

// lookup returns the instances that a caller in a failure domain should use. They are the
// same for all hosts, since each instance serves all of them. Callers that share an address
// get all of the nearest instances.
func (s *Steerer) lookup(question Lookup) (LookupResult, bool) {
	current := s.locators.Load()
	if current == nil {
		s.lookupCounters.notReady.Inc(1)
		return LookupResult{}, false
	}
	now := time.Now()
	caller := question.Caller
	if s.self.Capacity.IsKnown() && caller.IsValid() && s.lookupCrowd.Record(caller, now) {
		s.lookupCounters.shared.Inc(1)
		caller = netip.Addr{}
	}
	answer := current.Nearest(question.Place, caller, now)
	if len(answer.Entries) == 0 {
		s.lookupCounters.empty.Inc(1)
		return LookupResult{}, false
	}
	addresses := make([]string, 0, len(answer.Entries))
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	s.lookupCounters.answered.Inc(1)
	return LookupResult{
		Addresses:  addresses,
		ValidUntil: answer.ValidUntil,
	}, true
}
