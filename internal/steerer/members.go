package steerer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// refreshInterval is the period of the checks for changes that no event announces.
	refreshInterval = admitter.SpilloverInterval
	// linkTimeout is how long a newly listed instance counts as alive without being
	// linked.
	linkTimeout = 3 * time.Second
	// removeAfter is the time since graceFrom after which the entry of an unlinked
	// instance is removed. An instance that was never linked has all of it, one whose link
	// was lost has removeAfter less linkTimeout. An instance that is alive writes its
	// entry again.
	removeAfter = 15 * time.Second
	// entryWriteInterval is the time between two writes of this instance's entry. Within
	// it the list with the new entry reaches this instance, if need be through a peer.
	entryWriteInterval = 2 * time.Second
)

// heartbeat returns the heartbeat to send to the peers.
func (s *Steerer) heartbeat() linker.Heartbeat {
	heartbeat := linker.Heartbeat{
		Revision:  s.plans.Load().Table().RevisionNumber(),
		Leaving:   s.leaving.Load(),
		StoreLost: s.storeLostNanos.Load() != 0,
		AgeMillis: s.contact.reportedAge(time.Now()).Milliseconds(),
		Saturated: s.saturated.Load(),
	}
	for i, reflector := range s.reflectors {
		heartbeat = heartbeat.WithPosition(i, reflector.position())
	}
	return heartbeat
}

// peerChanged handles a heartbeat of a peer that differs from the previous one. It must
// not block: it runs on the goroutine that reads the link, and a fetch from the peer
// succeeds only if that goroutine goes on reading.
func (s *Steerer) peerChanged(peer registrar.Member, previous, heartbeat linker.Heartbeat) {
	if previous == (linker.Heartbeat{}) {
		s.log.Info().Str("Peer", peer.Name).Str("Incarnation", peer.Incarnation).Msg("PeerLinked")
		// A declaration may have waited for this link.
		s.hub.Go(s.endDeclarationWait)
		s.hub.Go(func() { s.informLinkedPeer(peer) })
	}
	if heartbeat.Leaving && !previous.Leaving {
		s.log.Info().Str("Peer", peer.Name).Msg("PeerLeaving")
		s.hub.Go(func() { s.markLeft(peer) })
	}
	if previous == (linker.Heartbeat{}) || heartbeat.Leaving != previous.Leaving || heartbeat.Saturated != previous.Saturated {
		s.locatorUpdates.Request()
	}
	if s.watching.Load() || s.receivesFrom(peer) {
		s.fetchNewer(peer, heartbeat)
	}
}

// fetchNewer fetches the collections for which the peer knows a later position.
func (s *Steerer) fetchNewer(peer registrar.Member, heartbeat linker.Heartbeat) {
	for i, reflector := range s.reflectors {
		reflector.fetchIfBehind(peer, heartbeat.Position(i))
	}
}

// refreshReflectors applies what counts now of the collections after a return of the store.
func (s *Steerer) refreshReflectors(now time.Time) {
	for _, reflector := range s.reflectors {
		reflector.refresh(now)
	}
}

// fetchFromPeers fetches from the peers that still know a later position.
func (s *Steerer) fetchFromPeers() {
	for _, peer := range s.hub.Peers() {
		s.fetchNewer(peer.Member, peer.Heartbeat)
	}
}

// peerLost handles the end of a peer's link.
func (s *Steerer) peerLost(peer registrar.Member) {
	if s.lifecycle.Work().Err() == nil {
		s.log.Info().Str("Peer", peer.Name).Str("Incarnation", peer.Incarnation).Msg("PeerLost")
	}
	s.locatorUpdates.Request()
}

// memberStore returns a typed view of the instances' entries in the store.
func (s *Steerer) memberStore() storer.Typed[registrar.Member] {
	return storer.NewTyped(s.platform.Store, s.platform.Members.Codec)
}

// ensureEntry requests that this instance's entry be written if the platform's list lacks it.
func (s *Steerer) ensureEntry() {
	if s.selfListed.Load() {
		return
	}
	select {
	case s.entryMissing <- struct{}{}:
	default:
		// A write has already been requested.
	}
}

// maintainEntry writes this instance's entry whenever it is missing, until the instance
// leaves.
func (s *Steerer) maintainEntry(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.entryMissing:
		}
		if s.leaving.Load() {
			return nil
		}
		if err := s.writeEntry(ctx); err != nil {
			s.storeRefused(err)
		}
		// The platform's list needs time to show the written entry; until then the entry
		// counts as missing.
		if !sleep(ctx, entryWriteInterval) {
			return nil
		}
	}
}

// storeRefused logs a write that has failed. A store that refuses writes may answer reads, so only
// failed reads begin an outage.
func (s *Steerer) storeRefused(err error) {
	if s.lifecycle.Work().Err() == nil {
		s.log.Warn().Err(err).Msg("WriteFailed")
	}
}

// writeEntry creates this instance's entry, or replaces the one of an earlier start.
func (s *Steerer) writeEntry(ctx context.Context) error {
	if _, listed := memberByName(*s.roster.Load(), s.self.Name); !listed {
		_, err := s.memberStore().Put(ctx, s.entryName(s.self.Name), s.self, storer.Absent())
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	_, err := s.memberStore().Put(ctx, s.entryName(s.self.Name), s.self, storer.Always())
	return err
}

func (s *Steerer) entryName(member string) string {
	return s.platform.Members.Prefix + member
}

// updatePeerLinks makes the hub keep links to all listed instances and to the seeds.
func (s *Steerer) updatePeerLinks() {
	addresses := slices.Clone(s.settings.Peers.Seeds)
	for member := range s.roster.Load().All() {
		addresses = append(addresses, member.PeerAddress)
	}
	slices.Sort(addresses)
	_, listed := memberByName(*s.roster.Load(), s.self.Name)
	s.hub.SetPeers(slices.Compact(addresses), !listed)
}

// isAlive reports whether a listed instance is linked and not leaving, or is not linked
// and its graceFrom is less than linkTimeout ago. It also returns the instance's last
// heartbeat. The caller holds locatorMu.
func (s *Steerer) isAlive(member registrar.Member) (linker.Heartbeat, bool) {
	if peer, linked := s.hub.Peer(member.Incarnation); linked {
		return peer.Heartbeat, !peer.Heartbeat.Leaving
	}
	return linker.Heartbeat{}, time.Since(s.graceFrom[member.Incarnation]) < linkTimeout
}

// countLinkedBefore returns how many linked instances precede this one in the order of
// names, counting only those whose last heartbeat include accepts.
func (s *Steerer) countLinkedBefore(include func(heartbeat linker.Heartbeat) bool) int {
	before := 0
	for other := range s.otherMembers() {
		peer, linked := s.hub.Peer(other.Incarnation)
		if linked && other.Name < s.self.Name && include(peer.Heartbeat) {
			before++
		}
	}
	return before
}

func anyHeartbeat(linker.Heartbeat) bool { return true }

// refreshLoop checks periodically for changes that no event announces, until ctx ends.
func (s *Steerer) refreshLoop(ctx context.Context) error {
	s.updatePeerLinks()
	rounds := 0
	for s.sleepMeasured(ctx, refreshInterval) {
		s.refreshAvailability(time.Now())
		s.refreshKeptRegistrations(time.Now())
		s.endDeclarationWait()
		s.refreshReflectors(time.Now())
		s.refreshRoster()
		s.updateContact(time.Now())
		s.updateWatching()
		s.reportDemand()
		s.shareAdvertisements()
		s.adjustSpillovers(time.Now())
		s.plans.Load().UpdateCaches(time.Now())
		s.advanceMoves(ctx)
		s.recordVerdicts(time.Now())
		rounds++
		if rounds%int(time.Second/refreshInterval) == 0 {
			s.updateLocator()
			s.removeDead(ctx)
			s.updatePrimaryWatcher()
			if !s.roster.Load().Position().IsZero() {
				s.ensureEntry()
			}
			s.fetchFromPeers()
			s.refreshLenders()
			s.shareSurvey(time.Now())
			s.shareQueueCounts()
		}
	}
	return nil
}

// removeDead removes the entries of dead instances. Only the first by name, of this
// instance and those linked to it, does so, unless it is leaving or the platform does not
// answer it. It does not wait for the platform.
func (s *Steerer) removeDead(ctx context.Context) {
	now := time.Now()
	if s.storeLostNanos.Load() != 0 || s.contact.storeAge(now) > maxRemoverStoreAge {
		s.contact.distrustLinks(now)
	}
	// The links are observed by all, so that the next first one knows for how long each has
	// been missing.
	dead := s.deadMembers(now, func(incarnation string) bool {
		_, linked := s.hub.Peer(incarnation)
		return linked
	})
	if len(dead) == 0 || s.leaving.Load() || s.countLinkedBefore(anyHeartbeat) > 0 {
		return
	}
	if !s.removing.CompareAndSwap(false, true) {
		return
	}
	s.hub.Go(func() {
		defer s.removing.Store(false)
		s.removeEntries(ctx, dead)
	})
}

// removeEntries removes the entries of instances, once it is recorded what is reserved for them.
func (s *Steerer) removeEntries(ctx context.Context, members []registrar.Member) {
	for _, member := range members {
		if err := s.recordReservation(ctx, member.Name); err != nil {
			s.storeRefused(err)
			return
		}
		err := s.memberStore().Delete(ctx, s.entryName(member.Name), storer.Always())
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			s.storeRefused(err)
			return
		}
		s.log.Info().Str("Peer", member.Name).Str("Incarnation", member.Incarnation).Msg("EntryRemoved")
	}
}

// deadMembers returns the listed instances that are not linked and whose removeAfter has
// passed, and sets graceFrom of those that are linked by isLinked. The time for which this
// instance was itself paused or cut off does not count.
func (s *Steerer) deadMembers(now time.Time, isLinked func(incarnation string) bool) []registrar.Member {
	s.locatorMu.Lock()
	defer s.locatorMu.Unlock()
	var dead []registrar.Member
	for member := range s.otherMembers() {
		if isLinked(member.Incarnation) {
			// The time is set back so that the instance does not count as newly listed
			// once its link is lost.
			s.graceFrom[member.Incarnation] = now.Add(-linkTimeout)
			continue
		}
		if now.Sub(later(s.graceFrom[member.Incarnation], s.contact.linksTrustedFrom)) > removeAfter {
			dead = append(dead, member)
		}
	}
	return dead
}
