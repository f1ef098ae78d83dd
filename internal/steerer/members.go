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
	// refreshInterval is the time between two looks at what no event tells.
	refreshInterval = admitter.SpillEvery
	// linkLimit is how long a newly listed instance is taken to live until it is
	// linked.
	linkLimit = 3 * time.Second
	// buryAfter is how long a listed instance is left unlinked before its entry is
	// removed. One that lives enters itself again.
	buryAfter = 15 * time.Second
	// enterInterval is the time between two writes of this instance's entry, in which
	// the list comes back over a peer.
	enterInterval = 2 * time.Second
)

// beat returns what to tell the peers.
func (s *Steerer) beat() linker.Beat {
	beat := linker.Beat{
		Revision:  s.plans.Load().Table().RevisionNumber(),
		Leaving:   s.leaving.Load(),
		StoreLost: s.storeLostNanos.Load() != 0,
	}
	for i, follower := range s.followers {
		beat.Feeds[i] = follower.changedAt()
	}
	return beat
}

// heard takes nothing from a beat that peerChanged does not.
func (s *Steerer) heard(linker.Beat) {}

// peerChanged takes in a peer's beat that differs from its last. It is called on
// the link's reading goroutine, which must go on reading for a fetch to succeed.
func (s *Steerer) peerChanged(peer registrar.Member, before, beat linker.Beat) {
	if before == (linker.Beat{}) {
		s.log.Info().Str("Peer", peer.Name).Str("Incarnation", peer.Incarnation).Msg("PeerLinked")
	}
	if beat.Leaving && !before.Leaving {
		s.log.Info().Str("Peer", peer.Name).Msg("PeerLeaving")
	}
	if before == (linker.Beat{}) || beat.Leaving != before.Leaving {
		s.locate()
	}
	if s.watching.Load() || s.follows(peer) {
		s.catchUp(peer, beat)
	}
}

// catchUp asks a peer for what it is ahead in.
func (s *Steerer) catchUp(peer registrar.Member, beat linker.Beat) {
	for i, follower := range s.followers {
		follower.catchUp(peer, beat.Feeds[i])
	}
}

// catchUpWithAll asks the peers that are ahead still.
func (s *Steerer) catchUpWithAll() {
	for _, peer := range s.hub.Peers() {
		s.catchUp(peer.Member, peer.Beat)
	}
}

func (s *Steerer) peerLost(peer registrar.Member) {
	if s.life.Work().Err() == nil {
		s.log.Info().Str("Peer", peer.Name).Str("Incarnation", peer.Incarnation).Msg("PeerLost")
	}
	s.locate()
}

// members returns the typed view of the instances' entries.
func (s *Steerer) members() storer.Typed[registrar.Member] {
	return storer.NewTyped(s.platform.Store, s.platform.Members.Codec)
}

// enter asks for this instance's entry to be written if a list lacks it.
func (s *Steerer) enter(roster registrar.Roster) {
	entered, found := byName(roster, s.self.Name)
	if found && entered.Incarnation == s.self.Incarnation {
		return
	}
	select {
	case s.unlisted <- struct{}{}:
	default:
		// It is asked for already.
	}
}

// keepEntry writes this instance's entry each time it is missing, until the
// instance leaves.
func (s *Steerer) keepEntry(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.unlisted:
		}
		if s.leaving.Load() {
			return nil
		}
		if _, err := s.members().Put(ctx, s.entryName(s.self.Name), s.self, storer.Always()); err != nil {
			s.storeFailed(err)
		}
		// The entry is to come back from the platform before it is missed again.
		if !sleep(ctx, enterInterval) {
			return nil
		}
	}
}

func (s *Steerer) entryName(member string) string {
	return s.platform.Members.Prefix + member
}

// linkPeers keeps links to all listed instances and to the seeds.
func (s *Steerer) linkPeers() {
	addresses := slices.Clone(s.settings.Peers.Seeds)
	for _, member := range s.roster.Load().Members() {
		addresses = append(addresses, member.PeerAddress)
	}
	slices.Sort(addresses)
	_, entered := byName(*s.roster.Load(), s.self.Name)
	s.hub.SetPeers(slices.Compact(addresses), !entered)
}

// live returns the instances that callers may be sent to. The caller holds
// locating.
func (s *Steerer) live() []registrar.Member {
	var live []registrar.Member
	if !s.leaving.Load() {
		live = append(live, s.self)
	}
	for _, member := range s.others() {
		if _, alive := s.alive(member); alive {
			live = append(live, member)
		}
	}
	return live
}

// alive says whether a listed instance is linked and stays, or has been listed just
// now, and returns its last beat. The caller holds locating.
func (s *Steerer) alive(member registrar.Member) (linker.Beat, bool) {
	if peer, linked := s.hub.Peer(member.Incarnation); linked {
		return peer.Beat, !peer.Beat.Leaving
	}
	return linker.Beat{}, time.Since(s.rosterAt[member.Incarnation]) < linkLimit
}

// linkedBefore returns how many linked instances come before this one, in the order of
// names, of those whose last beat counts.
func (s *Steerer) linkedBefore(counts func(beat linker.Beat) bool) int {
	before := 0
	for _, other := range s.others() {
		peer, linked := s.hub.Peer(other.Incarnation)
		if linked && other.Name < s.self.Name && counts(peer.Beat) {
			before++
		}
	}
	return before
}

func anyBeat(linker.Beat) bool { return true }

// refresh looks again and again at what no event tells.
func (s *Steerer) refresh(ctx context.Context) error {
	s.linkPeers()
	rounds := 0
	for sleep(ctx, refreshInterval) {
		s.endLapse()
		s.renewRoster()
		s.chooseWatching()
		s.share()
		s.plans.Load().AdjustSpills(time.Now())
		s.advanceMoves(ctx)
		rounds++
		if rounds%int(time.Second/refreshInterval) == 0 {
			s.locate()
			s.bury(ctx)
			s.chooseSentinel()
			if roster := s.roster.Load(); roster.Revision() != 0 {
				s.enter(*roster)
			}
			s.catchUpWithAll()
			s.repointDesks()
		}
	}
	return nil
}

// bury removes the entries of instances that nobody has reached for long, if it
// falls to this instance: the first that lives, in the order of names.
func (s *Steerer) bury(ctx context.Context) {
	if s.leaving.Load() || s.storeLostNanos.Load() != 0 {
		return
	}
	if s.linkedBefore(anyBeat) > 0 {
		return
	}
	for _, member := range s.dead() {
		err := s.members().Delete(ctx, s.entryName(member.Name), storer.Always())
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			s.storeFailed(err)
			continue
		}
		s.log.Info().Str("Peer", member.Name).Str("Incarnation", member.Incarnation).Msg("EntryRemoved")
	}
}

// dead returns the listed instances that have not been linked for long.
func (s *Steerer) dead() []registrar.Member {
	s.locating.Lock()
	defer s.locating.Unlock()
	now := time.Now()
	var dead []registrar.Member
	for _, member := range s.others() {
		if _, linked := s.hub.Peer(member.Incarnation); linked {
			// Once the link is lost, the instance does not count as newly listed.
			s.rosterAt[member.Incarnation] = now.Add(-linkLimit)
			continue
		}
		if now.Sub(s.rosterAt[member.Incarnation]) > buryAfter {
			dead = append(dead, member)
		}
	}
	return dead
}
