package steerer

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// setRoster applies a list of the instances' entries.
func (s *Steerer) setRoster(listed registrar.Roster) {
	s.detectRestart(listed)
	roster := s.withLinkedIncarnations(listed)
	s.storeRoster(roster)
	s.ensureEntry()
	s.updatePeerLinks()
	s.updateSeats()
	s.updateLocator()
	s.log.Info().Int("Members", len(roster.Members())).EmbedObject(loggedPosition(roster.Position())).Msg("MembersListed")
}

// detectRestart informs the apportioner if the list holds an earlier incarnation of
// this instance.
func (s *Steerer) detectRestart(listed registrar.Roster) {
	before, found := memberByName(listed, s.self.Name)
	if !found || before.Incarnation == s.self.Incarnation {
		return
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.apportioner.MarkRestarted()
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
// last list.
func (s *Steerer) refreshRoster() {
	before := s.roster.Load()
	after := s.withLinkedIncarnations(*before)
	if !slices.Equal(before.Members(), after.Members()) {
		s.setRoster(after)
	}
}

// storeRoster publishes a roster, and sets graceFrom for the incarnations that are new in
// it.
func (s *Steerer) storeRoster(roster registrar.Roster) {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	s.roster.Store(&roster)
	seen := map[string]time.Time{}
	for _, member := range roster.Members() {
		at, found := s.graceFrom[member.Incarnation]
		if !found {
			at = time.Now()
		}
		seen[member.Incarnation] = at
	}
	s.graceFrom = seen
}

func memberByName(roster registrar.Roster, name string) (registrar.Member, bool) {
	members := roster.Members()
	index := slices.IndexFunc(members, func(member registrar.Member) bool { return member.Name == name })
	if index < 0 {
		return registrar.Member{}, false
	}
	return members[index], true
}

// otherMembers returns the listed instances other than this one.
func (s *Steerer) otherMembers() []registrar.Member {
	var others []registrar.Member
	for _, member := range s.roster.Load().Members() {
		if member.Name != s.self.Name {
			others = append(others, member)
		}
	}
	return others
}
