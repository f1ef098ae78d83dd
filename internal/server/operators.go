package server

import (
	"context"
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// operatorOptions returns the commands and queries that operators may send.
func (s *Server) operatorOptions(hash declarer.KeyHash) responder.Options {
	return responder.Options{
		KeyHash:  hash,
		Health:   handler.QueryFunc[reporter.Empty, responder.Health](s.health),
		Change:   handler.CommandFunc[publisher.Change, publisher.Accepted](s.publishChange),
		Objects:  reporter.NewObjectReader(s.applier),
		Status:   handler.QueryFunc[reporter.Empty, reporter.Status](s.status),
		Timeline: s.timeliner,
		Route:    previewer.New(s.self.Name, admitter.New(s.plans, s.freshness)),
		Registry: s.registry,
		Changes:  bounder.NewBudget(fronter.BoundsOf(s.settings).ChangeBytes),

		OnRefused: func() { s.listeners.operators.Count(fronter.RefusedCommand) },
	}
}

// publishChange publishes an operator's change, and tries to put it in force at this
// instance at once. If that fails, the change is accepted all the same, and the watch, a
// peer or runMaintenance brings it into force.
func (s *Server) publishChange(ctx context.Context, change publisher.Change) (publisher.Accepted, error) {
	change.AtMillis = time.Now().UnixMilli()
	change.Above = s.applier.Revision()
	accepted, err := s.publisher.Do(ctx, change)
	if err != nil {
		s.metrics.failedChanges.Inc(1)
		return accepted, err
	}
	if !accepted.Unchanged {
		s.recordEvent("ChangeAccepted", revisionName(accepted.Revision), "by "+change.By)
	}
	s.applyPublished(ctx)
	return accepted, nil
}

func (s *Server) health(context.Context, reporter.Empty) (responder.Health, error) {
	return responder.Health{
		Incarnation: s.self.Incarnation,
		Leaving:     s.leaving.Load(),
	}, nil
}

func (s *Server) status(context.Context, reporter.Empty) (reporter.Status, error) {
	status := reporter.Status{
		Name:           s.self.Name,
		Incarnation:    s.self.Incarnation,
		Place:          s.self.Place,
		Seat:           -1,
		Leaving:        s.leaving.Load(),
		Revision:       s.applier.Revision(),
		InForceSince:   timeFromNanos(s.inForceNanos.Load()),
		StoreLostSince: timeFromNanos(s.storeLostNanos.Load()),
		ConfirmedAt:    s.freshness.ConfirmedAt().UTC(),
		InFlight:       s.inFlight.Count(),
	}
	if own := s.seats.own(); own != nil {
		status.Seat = own.Member.Seat
	}
	seen := map[string]bool{}
	for _, member := range s.otherMembers() {
		if !seen[member.Incarnation] {
			status.Peers = append(status.Peers, s.peerStatus(member))
		}
		seen[member.Incarnation] = true
	}
	for _, upstream := range s.plans.Load().Upstreams() {
		status.Upstreams = append(status.Upstreams, upstreamStatus(upstream))
	}
	return status, nil
}

func (s *Server) peerStatus(member registrar.Member) reporter.PeerStatus {
	status := reporter.PeerStatus{
		Name:          member.Name,
		Place:         member.Place,
		CallerAddress: member.CallerAddress,
		Leaving:       member.Leaving,
	}
	peer, linked := s.hub.Peer(member.Incarnation)
	if !linked {
		return status
	}
	status.Linked = true
	status.Leaving = status.Leaving || peer.Heartbeat.Leaving
	status.Revision = peer.Heartbeat.Revision
	age := time.Duration(peer.Heartbeat.AgeMillis) * time.Millisecond
	status.ConfirmedAt = time.Now().Add(-age).UTC()
	return status
}

func upstreamStatus(upstream *admitter.Upstream) reporter.UpstreamStatus {
	declared := upstream.Declared()
	return reporter.UpstreamStatus{
		Name:    declared.Name,
		Place:   declared.Place,
		Address: declared.Address,
		Health:  upstream.Health().String(),
		InUse:   upstream.InUse(),
		Slots:   declared.Slots,
	}
}

func revisionName(revision uint64) string {
	return fmt.Sprintf("Revision %d", revision)
}

// timeFromNanos converts nanoseconds since the Unix epoch to a time; 0 becomes the
// zero time.
func timeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
