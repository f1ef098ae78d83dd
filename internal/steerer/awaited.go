package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// maxDeclarationWait is the longest time after its start for which an instance waits for a
	// declaration that its peers have in force.
	maxDeclarationWait = 6 * time.Second
	// maxNearPeersWait is the longest time after its start for which an instance waits for links
	// to the peers of its region, which tell what they have in force.
	maxNearPeersWait = 400 * time.Millisecond
	// maxFirstPeerWait is the longest time after its start for which an instance waits for a
	// link to any listed peer. On a loaded machine the first links take longer than
	// maxNearPeersWait, and without one nothing tells whether the declaration is outdated.
	maxFirstPeerWait = 2 * time.Second
)

// offerDeclaration puts a declaration into force, unless this instance has none yet and a peer
// has a newer one or may have: the store may have returned from an older copy, and the newer
// declaration be written again soon. Until then the instance refuses requests, which other
// instances serve.
func (s *Steerer) offerDeclaration(declaration declarer.Declaration) {
	newest := s.newestAtPeers()
	if !s.awaitsDeclaration(declaration, newest, time.Now()) {
		s.applyDeclaration(declaration)
		return
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	if declaration.Revision <= s.awaiting.Revision {
		return
	}
	s.awaiting = declaration
	if declaration.Revision < newest {
		s.log.Warn().Uint64("Revision", declaration.Revision).Uint64("AtPeers", newest).Msg("ConfigOutdated")
	}
}

// awaitsDeclaration reports whether a declaration is not to come into force at a time, because a
// peer has a newer one, the newest, the peers nearby have not told yet what they have, or the
// verdicts on versions have not been read.
func (s *Steerer) awaitsDeclaration(declaration declarer.Declaration, newest uint64, now time.Time) bool {
	if s.plans.Load().Table().RevisionNumber() != 0 {
		return false
	}
	started := now.Sub(s.startedAt)
	if s.awaitsVerdicts(newest, now) {
		return true
	}
	if started < maxNearPeersWait && !s.nearPeersLinked() {
		return true
	}
	if started < maxFirstPeerWait && s.countOthers() > 0 && !s.anyPeerLinked() {
		return true
	}
	return declaration.Revision < newest && started < maxDeclarationWait
}

// nearPeersLinked reports whether all listed instances of this instance's region are linked, or
// all listed instances if the region has no other. The list may hold their earlier starts.
func (s *Steerer) nearPeersLinked() bool {
	awaited := map[string]bool{}
	for member := range s.otherMembers() {
		if s.regionOf(member.Place) == s.regionOf(s.self.Place) {
			awaited[member.Name] = true
		}
	}
	if len(awaited) == 0 {
		for member := range s.otherMembers() {
			awaited[member.Name] = true
		}
	}
	for _, peer := range s.hub.Peers() {
		delete(awaited, peer.Member.Name)
	}
	return len(awaited) == 0
}

// anyPeerLinked reports whether a peer is linked and has sent its first heartbeat.
func (s *Steerer) anyPeerLinked() bool {
	return len(s.hub.Peers()) > 0
}

// newestAtPeers returns the highest revision of a declaration in force at a linked peer.
func (s *Steerer) newestAtPeers() uint64 {
	newest := uint64(0)
	for _, peer := range s.hub.Peers() {
		newest = max(newest, peer.Heartbeat.Revision)
	}
	return newest
}

// endDeclarationWait puts the declaration into force that offerDeclaration has put off, if there is
// nothing to wait for any more.
func (s *Steerer) endDeclarationWait() {
	s.planMu.Lock()
	awaiting := s.awaiting
	s.planMu.Unlock()
	if awaiting.Revision == 0 || s.awaitsDeclaration(awaiting, s.newestAtPeers(), time.Now()) {
		return
	}
	s.applyDeclaration(awaiting)
	s.planMu.Lock()
	defer s.planMu.Unlock()
	if s.awaiting.Revision == awaiting.Revision {
		s.awaiting = declarer.Declaration{}
	}
}
