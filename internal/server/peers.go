package server

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// maintenanceInterval is the time between two updates of the state that no event
// updates.
const maintenanceInterval = time.Second

// heartbeat returns the heartbeat to send to peers.
func (s *Server) heartbeat() linker.Heartbeat {
	leaving := s.leaving.Load()
	return linker.Heartbeat{
		Revision:  s.applier.Revision(),
		Roster:    s.roster.Load().Position().Revision,
		AgeMillis: time.Since(s.freshness.ConfirmedAt()).Milliseconds(),
		Leaving:   leaving,
		Seatless:  !leaving && s.seats.own() == nil && s.applier.Revision() != 0,
	}
}

// maxHeartbeatDelayMillis is the longest time that a heartbeat is in transit, in
// milliseconds.
const maxHeartbeatDelayMillis = 1000

// heartbeatReceived records in freshness when the peer's configuration was last
// confirmed to be the newest. It does so only if the revision in force here is at least
// the peer's; then that confirmation holds for this instance too.
func (s *Server) heartbeatReceived(heartbeat linker.Heartbeat) {
	if heartbeat.Revision <= s.applier.Revision() {
		age := time.Duration(heartbeat.AgeMillis+maxHeartbeatDelayMillis) * time.Millisecond
		s.freshness.Confirm(time.Now().Add(-age))
	}
}

// peerChanged handles a peer's heartbeat that differs from the previous one. It runs
// on the goroutine that reads from the link, which must keep reading for a fetch to
// succeed; fetches therefore run on a goroutine of their own.
func (s *Server) peerChanged(peer registrar.Member, previous, heartbeat linker.Heartbeat) {
	if heartbeat.Leaving && !previous.Leaving {
		s.recordEvent("PeerLeaving", peer.Name, "")
	}
	if previous == (linker.Heartbeat{}) || heartbeat.Leaving != previous.Leaving {
		// Only these changes affect which instances lookups name.
		s.updateLocator()
	}
	if s.isBehind(heartbeat) && s.fetching.CompareAndSwap(false, true) {
		s.hub.Go(func() {
			defer s.fetching.Store(false)
			s.fetchFromPeers()
		})
	}
}

// isBehind reports whether a peer has a configuration or a roster that this instance is
// to fetch from it. A newer configuration is always fetched; a newer roster only if this
// instance does not watch the platform, since a watcher reads the seats from the store.
func (s *Server) isBehind(heartbeat linker.Heartbeat) bool {
	if heartbeat.Revision > s.applier.Revision() {
		return true
	}
	return heartbeat.Roster > s.roster.Load().Position().Revision && !s.watchesPlatform()
}

// fetchFromPeers fetches from peers that are ahead, until none is or a fetch fails.
func (s *Server) fetchFromPeers() {
	for {
		ahead := s.hub.Peers()
		ahead = slices.DeleteFunc(ahead, func(peer linker.Peer) bool { return !s.isBehind(peer.Heartbeat) })
		if len(ahead) == 0 || !s.fetchFromPeer(ahead[0]) {
			return
		}
	}
}

// fetchFromPeer fetches the configuration and the roster of a peer where they are
// newer, and reports whether this instance is no longer behind the peer.
func (s *Server) fetchFromPeer(peer linker.Peer) bool {
	if peer.Heartbeat.Revision > s.applier.Revision() {
		s.applyConfigOf(peer.Member)
	}
	if peer.Heartbeat.Roster > s.roster.Load().Position().Revision && !s.watchesPlatform() {
		s.applyRosterOf(peer.Member)
	}
	return !s.isBehind(peer.Heartbeat)
}

// watchersPerPlace is how many instances of a failure domain watch the platform.
// The others fetch changes from peers.
const watchersPerPlace = 2

// watchesPlatform reports whether this instance watches the platform: it is among the
// first watchersPerPlace available instances of its failure domain, by incarnation.
func (s *Server) watchesPlatform() bool {
	earlier := 0
	for _, peer := range s.hub.Peers() {
		if peer.Member.Place == s.self.Place && !peer.Heartbeat.Leaving && peer.Member.Incarnation < s.self.Incarnation {
			earlier++
		}
	}
	return earlier < watchersPerPlace
}

func (s *Server) peerLost(peer registrar.Member) {
	if s.lifecycle.Work().Err() == nil {
		s.recordEvent("PeerLost", peer.Name, "")
	}
	s.updateLocator()
}

// updateLinks sets the addresses to keep links to: those of all instances that hold
// seats, and the seeds.
func (s *Server) updateLinks() {
	addresses := append([]string{}, s.settings.Peers.Seeds...)
	for _, member := range s.roster.Load().Members() {
		addresses = append(addresses, member.PeerAddress)
	}
	// Without a seat this instance is in no roster, so its peers do not know it and it
	// dials all of them.
	s.hub.SetPeers(addresses, s.seats.own() == nil)
}

// updateLocator makes lookups use the current configuration and the available instances.
func (s *Server) updateLocator() {
	s.locatorMutex.Lock()
	defer s.locatorMutex.Unlock()
	table := s.plans.Load().Table()
	revision := table.RevisionNumber()
	if revision == 0 {
		return
	}
	if s.blocks == nil || s.blocksRevision != revision {
		s.blocks = locator.DeclaredBlocks(table.Set())
		s.blocksRevision = revision
	}
	s.generation++
	s.locators.Advance(*locator.New(locator.Source{
		Generation:  s.generation,
		Revision:    revision,
		Set:         table.Set(),
		Blocks:      s.blocks,
		Members:     s.availableMembers(),
		Home:        s.settings.Place,
		ValidMillis: s.settings.Lookups.ValidMillis,
	}))
}

// availableMembers returns the instances that lookups may name: this one and the linked
// ones, without those that are leaving.
func (s *Server) availableMembers() []registrar.Member {
	var members []registrar.Member
	if !s.leaving.Load() {
		members = append(members, s.self)
	}
	for _, peer := range s.hub.Peers() {
		if !peer.Heartbeat.Leaving {
			members = append(members, peer.Member)
		}
	}
	return members
}

// otherMembers returns the roster's members other than this instance, once for each
// seat that they hold.
func (s *Server) otherMembers() []registrar.Member {
	return slices.DeleteFunc(s.roster.Load().Members(), func(member registrar.Member) bool {
		return member.Incarnation == s.self.Incarnation
	})
}

// increaseInterval is the time between two checks whether larger parts of limits can
// be put in force.
const increaseInterval = 50 * time.Millisecond

// applyLimitIncreases puts larger parts of limits in force once every instance that
// holds a seat has the configuration that assigns them, and so has given up what other
// instances gain. An unreachable instance delays the increases until it is reachable
// again, or until the platform has dropped it and its seat is taken over.
func (s *Server) applyLimitIncreases(ctx context.Context) error {
	for retrier.Sleep(ctx, increaseInterval) == nil {
		revision := s.applier.Revision()
		if !s.applier.IncreasesInForce() && s.allPeersHave(revision) {
			s.applier.Confirm(revision, time.Now())
		}
	}
	return nil
}

// allPeersHave reports whether every other instance that holds a seat has at least the
// given revision.
func (s *Server) allPeersHave(revision uint64) bool {
	for _, other := range s.otherMembers() {
		peer, linked := s.hub.Peer(other.Incarnation)
		if !linked || peer.Heartbeat.Revision < revision {
			return false
		}
	}
	return true
}

// runMaintenance keeps the gauges and the links up to date, repeats fetches that
// have failed, and ends requests whose key no longer works.
func (s *Server) runMaintenance(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	s.updateLinks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.updateLinks()
			s.repeatFetches(ctx)
			s.receiver.CancelInvalid()
			s.metrics.revision.Update(int64(s.applier.Revision()))
			s.metrics.inFlight.Update(int64(s.inFlight.Count()))
			sentFrames, sentBytes := s.hub.Sent()
			s.metrics.sentFrames.Update(int64(sentFrames))
			s.metrics.sentBytes.Update(int64(sentBytes))
			s.metrics.peers.Update(int64(len(s.hub.Peers())))
			s.metrics.storeLost.Update(s.storeLostNanos.Load() / int64(time.Second))
		}
	}
}

// repeatFetches repeats fetches that may have failed: from peers that are ahead, and
// from the store if a newer configuration is published there.
func (s *Server) repeatFetches(ctx context.Context) {
	s.fetchFromPeers()
	if s.acceptedRevision.Load() > s.applier.Revision() {
		s.applyPublished(ctx)
	}
}
