package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// maxDeclarationWait is the longest time after its start for which an instance waits for a
// declaration that its peers have in force.
const maxDeclarationWait = 6 * time.Second

// offerDeclaration puts a declaration into force, unless this instance has none yet and a peer
// has a newer one: the store may have returned from an older copy, and the newer declaration be
// written again soon. Until then the instance refuses requests, which other instances serve.
func (s *Steerer) offerDeclaration(declaration declarer.Declaration) {
	newest := s.newestAtPeers()
	if !s.awaitsDeclaration(declaration, newest, time.Now()) {
		s.applyDeclaration(declaration)
		return
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	if declaration.Revision > s.awaiting.Revision {
		s.awaiting = declaration
		s.log.Warn().Uint64("Revision", declaration.Revision).Uint64("AtPeers", newest).Msg("ConfigOutdated")
	}
}

// awaitsDeclaration reports whether a declaration is not to come into force at a time, because a
// peer has the newest one.
func (s *Steerer) awaitsDeclaration(declaration declarer.Declaration, newest uint64, now time.Time) bool {
	if s.plans.Load().Table().RevisionNumber() != 0 {
		return false
	}
	return declaration.Revision < newest && now.Sub(s.startedAt) < maxDeclarationWait
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
