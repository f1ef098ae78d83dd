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
	Revision uint64
	Members  []registrar.Member
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
				Revision: roster.Revision(),
				Members:  roster.Members(),
			}, nil
		},
	)
	linker.Handle(s.hub, topicRoster, rosterQuery, emptyCodec, rosterCodec)
}

// headStore returns a typed view of the store for the configuration's head.
func (s *Server) headStore() storer.Typed[publisher.Head] {
	return storer.NewTyped(s.store, encoder.CBOR[publisher.Head]{})
}

// watchConfig watches the head in the store and applies the configurations that it
// names. An answer of the store confirms the configuration in force, unless a newer
// one is known to be accepted.
func (s *Server) watchConfig(ctx context.Context) error {
	return watcher.New[publisher.Head](s.headStore(), publisher.HeadName, s.isWatcher).Run(ctx, func(view watcher.View[publisher.Head]) {
		s.recordStoreSuccess()
		for _, object := range view.Objects {
			s.fetchConfig(ctx, object.Value)
		}
	}, func() {
		s.recordStoreSuccess()
		if s.acceptedRevision.Load() <= s.applier.Revision() {
			s.freshness.Confirm(time.Now())
		}
	}, s.recordStoreFailure)
}

// watchRoster watches the seats in the store and keeps the roster up to date.
func (s *Server) watchRoster(ctx context.Context) error {
	seatStore := storer.NewTyped(s.store, encoder.CBOR[registrar.Member]{})
	return watcher.New[registrar.Member](seatStore, registrar.SeatPrefix, s.isWatcher).Run(ctx, func(view watcher.View[registrar.Member]) {
		s.recordStoreSuccess()
		seated := make([]registrar.Member, 0, len(view.Objects))
		for _, object := range view.Objects {
			seated = append(seated, object.Value)
		}
		s.setRoster(registrar.NewRoster(view.Revision, seated...))
	}, s.recordStoreSuccess, s.recordStoreFailure)
}

// setRoster puts a roster in use, unless a newer one is in use, and notifies the
// peers.
func (s *Server) setRoster(roster registrar.Roster) {
	s.rosterMutex.Lock()
	defer s.rosterMutex.Unlock()
	if roster.Revision() < s.roster.Load().Revision() {
		return
	}
	s.roster.Store(&roster)
	s.applier.SetOthers(s.otherMembers())
	s.updateLinks()
	s.updateLocator()
	s.hub.HeartbeatNow()
}

// fetchRosterFromPeer fetches the roster of a peer that has a newer one.
func (s *Server) fetchRosterFromPeer(peer registrar.Member) {
	if listed, found := callPeer(s, peer, topicRoster, rosterCodec); found {
		s.setRoster(registrar.NewRoster(listed.Revision, listed.Members...))
	}
}

// callPeer queries a peer on a topic. It counts a failure and returns false.
func callPeer[R any](s *Server, peer registrar.Member, topic string, codec handler.Codec[R]) (R, bool) {
	ctx, cancel := context.WithTimeout(s.lifecycle.Work(), fetchTimeout)
	defer cancel()
	answer, err := linker.Call(ctx, s.hub, peer.Incarnation, topic, reporter.Empty{}, emptyCodec, codec)
	if err != nil {
		s.metrics.fetchFaults.Inc(1)
	}
	return answer, err == nil
}

// fetchConfigFromStore reads the head once, without waiting for the watch, and
// applies the configuration that it names.
func (s *Server) fetchConfigFromStore(ctx context.Context) {
	object, err := s.headStore().Get(ctx, publisher.HeadName)
	if err == nil {
		s.fetchConfig(ctx, object.Value)
	}
}

// fetchConfig reads the configuration that a head names and puts it in force.
func (s *Server) fetchConfig(ctx context.Context, head publisher.Head) {
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

// raiseAcceptedRevision records the highest revision known to be accepted.
func (s *Server) raiseAcceptedRevision(revision uint64) {
	for {
		accepted := s.acceptedRevision.Load()
		if accepted >= revision || s.acceptedRevision.CompareAndSwap(accepted, revision) {
			return
		}
	}
}

// fetchConfigFromPeer fetches the configuration of a peer that has a newer one.
func (s *Server) fetchConfigFromPeer(peer registrar.Member) {
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
	s.receiver.CancelWithdrawn()
	s.hub.HeartbeatNow()
	s.updateLocator()
	s.recordEvent("ConfigInForce", revisionName(bundle.Head.Revision), source)
}

// recordStoreSuccess ends an outage of the store, if there was one.
func (s *Server) recordStoreSuccess() {
	if s.storeLostNanos.Swap(0) != 0 {
		s.recordEvent("StoreBack", "Platform", "")
	}
}

// recordStoreFailure counts a failed call to the store and begins an outage, unless
// this instance is stopping.
func (s *Server) recordStoreFailure(err error) {
	s.metrics.storeFaults.Inc(1)
	if s.lifecycle.Work().Err() == nil && s.storeLostNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		s.recordEvent("StoreLost", "Platform", err.Error())
	}
}
