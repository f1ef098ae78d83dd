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

// refreshInterval is the time between two looks at what no event tells.
const refreshInterval = time.Second

// beat returns what to tell the peers.
func (s *Server) beat() linker.Beat {
	leaving := s.leaving.Load()
	return linker.Beat{
		Revision:  s.adopter.Revision(),
		Roster:    s.roster.Load().Revision(),
		AgeMillis: time.Since(s.fresh.At()).Milliseconds(),
		Leaving:   leaving,
		Seatless:  !leaving && s.seats.own() == nil && s.adopter.Revision() != 0,
	}
}

// wayMillis is the longest that a beat is under way, in milliseconds.
const wayMillis = 1000

// heard takes over a peer's confirmation of the configuration, if this instance
// has as new a one.
func (s *Server) heard(beat linker.Beat) {
	if beat.Revision <= s.adopter.Revision() {
		age := time.Duration(beat.AgeMillis+wayMillis) * time.Millisecond
		s.fresh.Confirm(time.Now().Add(-age))
	}
}

// peerChanged takes in a peer's beat that differs from its last. It is called on
// the link's reading goroutine, which must go on reading for a fetch to succeed.
func (s *Server) peerChanged(peer registrar.Member, before, beat linker.Beat) {
	if beat.Leaving && !before.Leaving {
		s.announce("PeerLeaving", peer.Name, "")
	}
	if before == (linker.Beat{}) || beat.Leaving != before.Leaving {
		// Only then do look-ups name other instances.
		s.relocate()
	}
	if s.behind(beat) && s.fetching.CompareAndSwap(false, true) {
		s.hub.Go(func() {
			defer s.fetching.Store(false)
			s.fetchFromPeers()
		})
	}
}

// behind says whether a peer has something newer that this instance is to fetch.
func (s *Server) behind(beat linker.Beat) bool {
	if beat.Revision > s.adopter.Revision() {
		return true
	}
	return beat.Roster > s.roster.Load().Revision() && !s.watches()
}

// fetchFromPeers fetches from whoever is ahead, until nobody is or a fetch fails.
func (s *Server) fetchFromPeers() {
	for {
		ahead := s.hub.Peers()
		ahead = slices.DeleteFunc(ahead, func(peer linker.Peer) bool { return !s.behind(peer.Beat) })
		if len(ahead) == 0 || !s.fetchFrom(ahead[0]) {
			return
		}
	}
}

// fetchFrom fetches what a peer has newer, and says whether all of it came.
func (s *Server) fetchFrom(peer linker.Peer) bool {
	if peer.Beat.Revision > s.adopter.Revision() {
		s.fetchFromPeer(peer.Member)
	}
	if peer.Beat.Roster > s.roster.Load().Revision() && !s.watches() {
		s.fetchRoster(peer.Member)
	}
	return !s.behind(peer.Beat)
}

// watchers is how many instances of a failure domain watch the platform. The
// others learn from them.
const watchers = 2

// watches says whether it falls to this instance to watch the platform: to the
// first ones that live in its failure domain.
func (s *Server) watches() bool {
	before := 0
	for _, peer := range s.hub.Peers() {
		if peer.Member.Place == s.self.Place && !peer.Beat.Leaving && peer.Member.Incarnation < s.self.Incarnation {
			before++
		}
	}
	return before < watchers
}

func (s *Server) peerLost(peer registrar.Member) {
	if s.life.Work().Err() == nil {
		s.announce("PeerLost", peer.Name, "")
	}
	s.relocate()
}

// linkPeers keeps links to all seated instances and to the seeds.
func (s *Server) linkPeers() {
	addresses := append([]string{}, s.settings.Peers.Seeds...)
	for _, member := range s.roster.Load().Members() {
		addresses = append(addresses, member.PeerAddress)
	}
	s.hub.SetPeers(addresses, s.seats.own() == nil)
}

// relocate makes look-ups follow what is known now.
func (s *Server) relocate() {
	s.locating.Lock()
	defer s.locating.Unlock()
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
		Members:     s.present(),
		Home:        s.settings.Place,
		ValidMillis: s.settings.Lookups.ValidMillis,
	}))
}

// present returns the instances that look-ups may name: this one and the linked
// ones, without those that are leaving.
func (s *Server) present() []registrar.Member {
	var members []registrar.Member
	if !s.leaving.Load() {
		members = append(members, s.self)
	}
	for _, peer := range s.hub.Peers() {
		if !peer.Beat.Leaving {
			members = append(members, peer.Member)
		}
	}
	return members
}

// others returns the other seated instances.
func (s *Server) others() []registrar.Member {
	return slices.DeleteFunc(s.roster.Load().Members(), func(member registrar.Member) bool {
		return member.Incarnation == s.self.Incarnation
	})
}

// confirmInterval is the time between two looks at whether larger parts of limits
// can be put in force.
const confirmInterval = 50 * time.Millisecond

// confirmParts puts larger parts of limits in force once every seated instance has
// the configuration that gives them, and so has given up what they take over. An
// instance that cannot be reached holds them up until it can, or until the
// platform has dropped it.
func (s *Server) confirmParts(ctx context.Context) error {
	for retrier.Sleep(ctx, confirmInterval) == nil {
		revision := s.adopter.Revision()
		if !s.adopter.Confirmed() && s.allHave(revision) {
			s.adopter.Confirm(revision, time.Now())
		}
	}
	return nil
}

// allHave says whether every other seated instance has at least a revision.
func (s *Server) allHave(revision uint64) bool {
	for _, other := range s.others() {
		peer, linked := s.hub.Peer(other.Incarnation)
		if !linked || peer.Beat.Revision < revision {
			return false
		}
	}
	return true
}

// refresh keeps the gauges and the links up to date.
func (s *Server) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	s.linkPeers()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.linkPeers()
			s.catchUp(ctx)
			s.receiver.Sweep()
			s.gauges.revision.Update(int64(s.adopter.Revision()))
			s.gauges.inFlight.Update(int64(s.flights.Count()))
			sentFrames, sentBytes := s.hub.Sent()
			s.gauges.sentFrames.Update(int64(sentFrames))
			s.gauges.sentBytes.Update(int64(sentBytes))
			s.gauges.peers.Update(int64(len(s.hub.Peers())))
			s.gauges.storeLost.Update(s.storeLostNanos.Load() / int64(time.Second))
		}
	}
}

// catchUp fetches the newest configuration, should the fetch that followed a beat
// or a change in the store have failed.
func (s *Server) catchUp(ctx context.Context) {
	s.fetchFromPeers()
	if s.wanted.Load() > s.adopter.Revision() {
		s.fetchFromStore(ctx)
	}
}
