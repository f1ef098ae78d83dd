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

// topicBundle is the topic of queries for a peer's configuration.
const topicBundle = "Bundle"

// topicRoster is the topic of queries for a peer's roster.
const topicRoster = "Roster"

// rosterList is the encoded form of a registrar.Roster on a link.
type rosterList struct {
	// Revision is the store's revision of the roster.
	Revision uint64
	Members  []registrar.Member
}

// position returns the point in the store's history of the roster. This project's own platform
// has one era only.
func (l rosterList) position() storer.Position {
	return storer.Position{
		Revision: l.Revision,
	}
}

// fetchTimeout bounds one fetch of a configuration or a roster.
const fetchTimeout = 5 * time.Second

var (
	emptyCodec  = encoder.CBOR[reporter.Empty]{}
	bundleCodec = encoder.CBOR[publisher.Bundle]{}
	rosterCodec = encoder.CBOR[rosterList]{}
)

// registerTopics registers the queries by which peers fetch the configuration and
// the roster of this instance.
func (s *Server) registerTopics() {
	bundleQuery := handler.QueryFunc[reporter.Empty, publisher.Bundle](
		func(context.Context, reporter.Empty) (publisher.Bundle, error) {
			return s.applier.Bundle(), nil
		},
	)
	linker.Handle(s.hub, topicBundle, bundleQuery, emptyCodec, bundleCodec)
	rosterQuery := handler.QueryFunc[reporter.Empty, rosterList](
		func(context.Context, reporter.Empty) (rosterList, error) {
			roster := s.roster.Load()
			return rosterList{
				Revision: roster.Position().Revision,
				Members:  roster.Members(),
			}, nil
		},
	)
	linker.Handle(s.hub, topicRoster, rosterQuery, emptyCodec, rosterCodec)
}

// headStore returns a typed view of the store for the head: the object that names the
// published configuration. The configuration itself is stored in chunks, which the head
// lists. A bundle holds both.
func (s *Server) headStore() storer.Typed[publisher.Head] {
	return storer.NewTyped(s.store, encoder.CBOR[publisher.Head]{})
}

// watchConfig watches the head in the store and applies the configurations that it
// names. An answer of the store confirms that the configuration in force is the newest,
// unless this instance has seen a newer one published.
func (s *Server) watchConfig(ctx context.Context) error {
	return watcher.New[publisher.Head](s.headStore(), publisher.HeadName, s.watchesPlatform).Run(ctx, func(view watcher.View[publisher.Head]) {
		s.storeAnswered()
		for _, object := range view.Objects {
			s.applyHead(ctx, object.Value)
		}
	}, func() {
		s.storeAnswered()
		if s.acceptedRevision.Load() <= s.applier.Revision() {
			s.freshness.Confirm(time.Now())
		}
	}, s.storeFailed)
}

// watchRoster watches the seats in the store and keeps the roster up to date.
func (s *Server) watchRoster(ctx context.Context) error {
	seatStore := storer.NewTyped(s.store, encoder.CBOR[registrar.Member]{})
	return watcher.New[registrar.Member](seatStore, registrar.SeatPrefix, s.watchesPlatform).Run(ctx, func(view watcher.View[registrar.Member]) {
		s.storeAnswered()
		seated := make([]registrar.Member, 0, len(view.Objects))
		for _, object := range view.Objects {
			seated = append(seated, object.Value)
		}
		s.setRoster(registrar.NewRoster(view.Position(), seated...))
	}, s.storeAnswered, s.storeFailed)
}

// setRoster puts a roster in use, unless a newer one is in use, and notifies the
// peers.
func (s *Server) setRoster(roster registrar.Roster) {
	s.rosterMutex.Lock()
	defer s.rosterMutex.Unlock()
	if s.roster.Load().Position().IsAfter(roster.Position()) {
		return
	}
	s.roster.Store(&roster)
	s.applier.SetOthers(s.otherMembers())
	s.updateLinks()
	s.updateLocator()
	s.hub.HeartbeatNow()
}

// applyRosterOf fetches the roster of a peer that has a newer one, and puts it in use.
func (s *Server) applyRosterOf(peer registrar.Member) {
	if listed, found := callPeer(s, peer, topicRoster, rosterCodec); found {
		s.setRoster(registrar.NewRoster(listed.position(), listed.Members...))
	}
}

// callPeer queries a peer on a topic. If the call fails, it counts the failure and
// returns false.
func callPeer[R any](s *Server, peer registrar.Member, topic string, codec handler.Codec[R]) (R, bool) {
	ctx, cancel := context.WithTimeout(s.lifecycle.Work(), fetchTimeout)
	defer cancel()
	answer, err := linker.Call(ctx, s.hub, peer.Incarnation, topic, reporter.Empty{}, emptyCodec, codec)
	if err != nil {
		s.metrics.fetchFaults.Inc(1)
	}
	return answer, err == nil
}

// applyPublished reads the head once, without waiting for the watch, and applies the
// configuration that it names. It does nothing if the store does not answer;
// the watch or a peer then brings the configuration.
func (s *Server) applyPublished(ctx context.Context) {
	object, err := s.headStore().Get(ctx, publisher.HeadName)
	if err == nil {
		s.applyHead(ctx, object.Value)
	}
}

// applyHead reads the configuration that a head names from the store and puts it in
// force, unless the one in force is at least as new.
func (s *Server) applyHead(ctx context.Context, head publisher.Head) {
	s.raiseAcceptedRevision(head.Revision)
	if head.Revision <= s.applier.Revision() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	bundle, err := s.publisher.Ask(ctx, head)
	if err != nil {
		// The chunks of an outdated head may already be deleted; the watch delivers
		// the newer head.
		s.metrics.fetchFaults.Inc(1)
		return
	}
	s.applyConfig(bundle, "from the store")
}

// raiseAcceptedRevision raises acceptedRevision to revision, unless it is higher already.
func (s *Server) raiseAcceptedRevision(revision uint64) {
	for {
		accepted := s.acceptedRevision.Load()
		if accepted >= revision || s.acceptedRevision.CompareAndSwap(accepted, revision) {
			return
		}
	}
}

// applyConfigOf fetches the configuration of a peer that has a newer one, and puts it in
// force.
func (s *Server) applyConfigOf(peer registrar.Member) {
	if bundle, found := callPeer(s, peer, topicBundle, bundleCodec); found {
		s.applyConfig(bundle, "from "+peer.Name)
	}
}

// applyConfig puts a configuration in force, ends the requests that it forbids, and
// notifies the peers.
func (s *Server) applyConfig(bundle publisher.Bundle, source string) {
	now := time.Now()
	if !s.applier.Apply(bundle, now) {
		return
	}
	s.inForceNanos.Store(now.UnixNano())
	s.receiver.CancelInvalid()
	s.hub.HeartbeatNow()
	s.updateLocator()
	s.recordEvent("ConfigInForce", revisionName(bundle.Head.Revision), source)
}

// storeAnswered handles an answer of the store, and ends an outage if there was one.
func (s *Server) storeAnswered() {
	if s.storeLostNanos.Swap(0) != 0 {
		s.recordEvent("StoreBack", "Platform", "")
	}
}

// storeFailed counts a failed call to the store and begins an outage, unless this
// instance is stopping.
func (s *Server) storeFailed(err error) {
	s.metrics.storeFaults.Inc(1)
	if s.lifecycle.Work().Err() == nil && s.storeLostNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		s.recordEvent("StoreLost", "Platform", err.Error())
	}
}
