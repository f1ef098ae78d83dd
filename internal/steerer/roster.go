package steerer

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// setRoster puts a list of instances in use.
func (s *Steerer) setRoster(listed registrar.Roster) {
	s.noteRestart(listed)
	roster := s.withLinked(listed)
	s.noteRoster(roster)
	s.enter(roster)
	s.linkPeers()
	s.seat()
	s.locate()
	s.log.Info().Int("Members", len(roster.Members())).Uint64("Revision", roster.Revision()).Msg("MembersListed")
}

// noteRestart takes in whether an earlier start of this instance is listed.
func (s *Steerer) noteRestart(listed registrar.Roster) {
	before, found := byName(listed, s.self.Name)
	if !found || before.Incarnation == s.self.Incarnation {
		return
	}
	s.planning.Lock()
	defer s.planning.Unlock()
	s.apportioner.Restart()
}

// withLinked returns a roster in which each instance that is linked under its name
// alone stands as it is linked: it has started anew, and the platform does not tell yet.
func (s *Steerer) withLinked(listed registrar.Roster) registrar.Roster {
	linked := map[string]registrar.Member{}
	incarnations := map[string]bool{}
	for _, peer := range s.hub.Peers() {
		linked[peer.Member.Name] = peer.Member
		incarnations[peer.Member.Incarnation] = true
	}
	members := listed.Members()
	for i, member := range members {
		if live, found := linked[member.Name]; found && !incarnations[member.Incarnation] {
			members[i] = live
		}
	}
	return registrar.NewRoster(listed.Revision(), members...)
}

// renewRoster takes in the instances that have linked since the last list.
func (s *Steerer) renewRoster() {
	before := s.roster.Load()
	after := s.withLinked(*before)
	if !slices.Equal(before.Members(), after.Members()) {
		s.setRoster(after)
	}
}

func (s *Steerer) noteRoster(roster registrar.Roster) {
	s.locating.Lock()
	defer s.locating.Unlock()
	s.roster.Store(&roster)
	seen := map[string]time.Time{}
	for _, member := range roster.Members() {
		at, found := s.rosterAt[member.Incarnation]
		if !found {
			at = time.Now()
		}
		seen[member.Incarnation] = at
	}
	s.rosterAt = seen
}

func byName(roster registrar.Roster, name string) (registrar.Member, bool) {
	members := roster.Members()
	at := slices.IndexFunc(members, func(member registrar.Member) bool { return member.Name == name })
	if at < 0 {
		return registrar.Member{}, false
	}
	return members[at], true
}

// others returns the other listed instances.
func (s *Steerer) others() []registrar.Member {
	var others []registrar.Member
	for _, member := range s.roster.Load().Members() {
		if member.Name != s.self.Name {
			others = append(others, member)
		}
	}
	return others
}
