package steerer

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// setRoster applies a list of the instances' entries. The first list that an instance gets after
// a restart already tells whether it is to watch the platform, so that it need not wait for the
// next periodic check. At its first start the list may lack the instances that precede it.
func (s *Steerer) setRoster(listed registrar.Roster) {
	isFirst := s.roster.Load().Position().IsZero()
	restarted := s.detectRestart(listed)
	roster := s.withLinkedIncarnations(listed)
	s.storeRoster(roster)
	s.ensureEntry()
	if isFirst && restarted {
		s.updateWatching()
	}
	s.updatePeerLinks()
	s.shareRetries(len(roster.Members()))
	s.updateSeats()
	s.locatorUpdates.Request()
	s.log.Info().Int("Members", len(roster.Members())).EmbedObject(loggedPosition(roster.Position())).Msg("MembersListed")
}

// shareRetries gives this instance its part of the retries that all instances may hold together.
func (s *Steerer) shareRetries(members int) {
	retries := s.settings.Retries
	if retries.Slack == 0 {
		return
	}
	part := float64(retries.Slack) / float64(max(members, 1))
	s.budgets.SetReserve(min(part, float64(retries.Reserve)))
}

// detectRestart reports whether the list holds an earlier incarnation of this instance. If so, it
// informs the apportioner, and retries have to be earned: the earlier one may have spent the reserve.
func (s *Steerer) detectRestart(listed registrar.Roster) bool {
	before, found := memberByName(listed, s.self.Name)
	if !found || before.Incarnation == s.self.Incarnation {
		return false
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.apportioner.MarkRestarted()
	s.budgets.Empty()
	return true
}

// withLinkedIncarnations returns the roster with the incarnations that are linked. An
// instance that is linked under its name but not under its listed incarnation has
// restarted, and the platform does not list the new incarnation yet.
func (s *Steerer) withLinkedIncarnations(listed registrar.Roster) registrar.Roster {
	linked := map[string]registrar.Member{}
	incarnations := map[string]bool{}
	for _, peer := range s.hub.Peers() {
		linked[peer.Member.Name] = peer.Member
		incarnations[peer.Member.Incarnation] = true
	}
	members := listed.Members()
	for i, member := range members {
		if current, found := linked[member.Name]; found && !incarnations[member.Incarnation] {
			members[i] = current
		}
	}
	return registrar.NewRoster(listed.Position(), members...)
}

// refreshRoster updates the roster with the incarnations that have linked since the
// last list. Only refreshLoop calls it.
func (s *Steerer) refreshRoster() {
	links := s.hub.Changes()
	before := s.roster.Load()
	if links == s.refreshedLinks && before == s.refreshedRoster {
		return
	}
	s.refreshedLinks = links
	s.refreshedRoster = before
	after := s.withLinkedIncarnations(*before)
	if !slices.Equal(before.Members(), after.Members()) {
		s.setRoster(after)
	}
}

// rememberDeparted is how long an incarnation that has left the roster is remembered. It is
// longer than the age of a copy that the platform's store may return from.
const rememberDeparted = time.Minute

// storeRoster publishes a roster, and sets graceFrom for the incarnations that are new in
// it. One that has left the roster before counts as alive only once it is linked, because the
// store may have returned from a copy in which it is still listed.
func (s *Steerer) storeRoster(roster registrar.Roster) {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	s.roster.Store(&roster)
	now := time.Now()
	seen := map[string]time.Time{}
	for member := range roster.All() {
		at, found := s.graceFrom[member.Incarnation]
		if !found {
			at = s.newGraceFrom(member.Incarnation, now)
		}
		seen[member.Incarnation] = at
	}
	s.recordDeparted(seen, now)
	s.graceFrom = seen
}

// newGraceFrom returns graceFrom of an incarnation that is new in the roster. The caller holds
// locatorMu.
func (s *Steerer) newGraceFrom(incarnation string, now time.Time) time.Time {
	if _, found := s.departedUntil[incarnation]; found {
		return now.Add(-linkTimeout)
	}
	return now
}

// recordDeparted remembers the incarnations that are listed no longer; listed has those that
// are. The caller holds locatorMu.
func (s *Steerer) recordDeparted(listed map[string]time.Time, now time.Time) {
	maps.DeleteFunc(s.departedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	for incarnation := range s.graceFrom {
		if _, found := listed[incarnation]; !found {
			s.departedUntil[incarnation] = now.Add(rememberDeparted)
		}
	}
}

func memberByName(roster registrar.Roster, name string) (registrar.Member, bool) {
	for member := range roster.All() {
		if member.Name == name {
			return member, true
		}
	}
	return registrar.Member{}, false
}

// otherMembers yields the listed instances other than this one.
func (s *Steerer) otherMembers() iter.Seq[registrar.Member] {
	roster := s.roster.Load()
	return func(yield func(registrar.Member) bool) {
		for member := range roster.All() {
			if member.Name != s.self.Name && !yield(member) {
				return
			}
		}
	}
}

// countOthers returns the number of listed instances other than this one.
func (s *Steerer) countOthers() int {
	count := 0
	for range s.otherMembers() {
		count++
	}
	return count
}
