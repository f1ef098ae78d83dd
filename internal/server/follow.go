package server

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// topicBundle is the name under which peers are asked for their configuration.
const topicBundle = "Bundle"

// topicRoster is the name under which peers are asked for their list of seats.
const topicRoster = "Roster"

// rosterList is a registrar.Roster on a link.
type rosterList struct {
	Revision uint64
	Members  []registrar.Member
}

// fetchLimit bounds the reading of a configuration.
const fetchLimit = 5 * time.Second

var (
	nothings = encoder.CBOR[reporter.Nothing]{}
	bundles  = encoder.CBOR[publisher.Bundle]{}
	rosters  = encoder.CBOR[rosterList]{}
)

// handlePeers lets peers ask for the configuration in force here.
func (s *Server) handlePeers() {
	own := handler.QueryFunc[reporter.Nothing, publisher.Bundle](
		func(context.Context, reporter.Nothing) (publisher.Bundle, error) {
			return s.adopter.Bundle(), nil
		},
	)
	linker.Handle(s.hub, topicBundle, own, nothings, bundles)
	seats := handler.QueryFunc[reporter.Nothing, rosterList](
		func(context.Context, reporter.Nothing) (rosterList, error) {
			roster := s.roster.Load()
			return rosterList{
				Revision: roster.Revision(),
				Members:  roster.Members(),
			}, nil
		},
	)
	linker.Handle(s.hub, topicRoster, seats, nothings, rosters)
}

// heads returns the typed view of the head in the store.
func (s *Server) heads() storer.Typed[publisher.Head] {
	return storer.NewTyped(s.store, encoder.CBOR[publisher.Head]{})
}

// followConfig follows the head in the store.
func (s *Server) followConfig(ctx context.Context) error {
	return watcher.New[publisher.Head](s.heads(), publisher.HeadName, s.watches).Run(ctx, func(view watcher.View[publisher.Head]) {
		s.storeAnswered()
		for _, object := range view.Objects {
			s.fetchHead(ctx, object.Value)
		}
	}, func() {
		s.storeAnswered()
		if s.wanted.Load() <= s.adopter.Revision() {
			s.fresh.Confirm(time.Now())
		}
	}, s.storeFailed)
}

// followRoster follows the seats in the store.
func (s *Server) followRoster(ctx context.Context) error {
	members := storer.NewTyped(s.store, encoder.CBOR[registrar.Member]{})
	return watcher.New[registrar.Member](members, registrar.SeatPrefix, s.watches).Run(ctx, func(view watcher.View[registrar.Member]) {
		s.storeAnswered()
		seated := make([]registrar.Member, 0, len(view.Objects))
		for _, object := range view.Objects {
			seated = append(seated, object.Value)
		}
		s.setRoster(registrar.NewRoster(view.Revision, seated...))
	}, s.storeAnswered, s.storeFailed)
}

// setRoster puts a list of seats in use and tells the peers.
func (s *Server) setRoster(roster registrar.Roster) {
	s.seating.Lock()
	defer s.seating.Unlock()
	if roster.Revision() < s.roster.Load().Revision() {
		return
	}
	s.roster.Store(&roster)
	s.adopter.SetOthers(s.others())
	s.linkPeers()
	s.relocate()
	s.hub.Nudge()
}

// fetchRoster reads the list of seats of a peer that has a newer one.
func (s *Server) fetchRoster(peer registrar.Member) {
	if listed, found := askPeer(s, peer, topicRoster, rosters); found {
		s.setRoster(registrar.NewRoster(listed.Revision, listed.Members...))
	}
}

// askPeer asks a peer for what it has on a topic, and counts it if that fails.
func askPeer[R any](s *Server, peer registrar.Member, topic string, answers handler.Codec[R]) (R, bool) {
	ctx, cancel := context.WithTimeout(s.life.Work(), fetchLimit)
	defer cancel()
	answer, err := linker.Ask(ctx, s.hub, peer.Incarnation, topic, reporter.Nothing{}, nothings, answers)
	if err != nil {
		s.gauges.fetchFaults.Inc(1)
	}
	return answer, err == nil
}

// fetchFromStore reads the head once, without waiting for the watch.
func (s *Server) fetchFromStore(ctx context.Context) {
	object, err := s.heads().Get(ctx, publisher.HeadName)
	if err == nil {
		s.fetchHead(ctx, object.Value)
	}
}

// fetchHead reads the configuration that a head names and puts it in force.
func (s *Server) fetchHead(ctx context.Context, head publisher.Head) {
	s.raiseWanted(head.Revision)
	if head.Revision <= s.adopter.Revision() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	bundle, err := s.publisher.Ask(ctx, head)
	if err != nil {
		// The chunks of an old head may be gone; its successor is on the way.
		s.gauges.fetchFaults.Inc(1)
		return
	}
	s.adopt(bundle, "from the store")
}

// raiseWanted notes the highest revision that is known to be accepted.
func (s *Server) raiseWanted(revision uint64) {
	for {
		wanted := s.wanted.Load()
		if wanted >= revision || s.wanted.CompareAndSwap(wanted, revision) {
			return
		}
	}
}

// fetchFromPeer reads the configuration of a peer that has a newer one.
func (s *Server) fetchFromPeer(peer registrar.Member) {
	if bundle, found := askPeer(s, peer, topicBundle, bundles); found {
		s.adopt(bundle, "from "+peer.Name)
	}
}

// adopt puts a configuration in force, ends what it forbids, and tells the peers.
func (s *Server) adopt(bundle publisher.Bundle, source string) {
	now := time.Now()
	if !s.adopter.Adopt(bundle, now) {
		return
	}
	s.adoptedNanos.Store(now.UnixNano())
	s.receiver.Sweep()
	s.hub.Nudge()
	s.relocate()
	s.announce("ConfigInForce", revisionName(bundle.Head.Revision), source)
}

func (s *Server) storeAnswered() {
	if s.storeLostNanos.Swap(0) != 0 {
		s.announce("StoreBack", "Platform", "")
	}
}

func (s *Server) storeFailed(err error) {
	s.gauges.storeFaults.Inc(1)
	if s.life.Work().Err() == nil && s.storeLostNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		s.announce("StoreLost", "Platform", err.Error())
	}
}
