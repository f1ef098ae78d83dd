package steerer

import (
	"math"
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicQueues is the topic on which instances tell one another how requests have ended.
const topicQueues = "Queues"

// queueScope says what the figures of a message are the sum of.
type queueScope uint8

const (
	// queueScopeMember is one instance, which tells the leader of its failure domain.
	queueScopeMember queueScope = iota
	// queueScopeDomain is a failure domain, whose leader tells the other leaders.
	queueScopeDomain
	// queueScopeFleet is all failure domains. A leader tells the members of its own.
	queueScopeFleet
)

// queueFigures is the encoding of scheduler.Figures on a link.
type queueFigures struct {
	_        struct{} `cbor:",toarray"`
	Scope    queueScope
	Services []queueService
}

// queueService holds the counts of a service.
type queueService struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Priorities []queuePriority
}

// queuePriority is the encoding of a scheduler.Count. Priorities without requests are left out.
type queuePriority struct {
	_        struct{} `cbor:",toarray"`
	Priority uint8
	Served   uint32
	Late     uint32
	Full     uint32
	Turned   uint32
	Over     uint32
	Held     uint32
}

var queueFiguresCodec = encoder.CBOR[queueFigures]{}

// newQueueFigures converts figures to their encoding on a link.
func newQueueFigures(scope queueScope, figures scheduler.Figures) queueFigures {
	message := queueFigures{
		Scope: scope,
	}
	for service, counts := range figures {
		encoded := queueService{
			Service: service,
		}
		for priority, count := range counts {
			if count == (scheduler.Count{}) {
				continue
			}
			encoded.Priorities = append(encoded.Priorities, queuePriority{
				Priority: uint8(priority),
				Served:   uint32(count.Served),
				Late:     uint32(count.Late),
				Full:     uint32(count.Full),
				Turned:   uint32(count.Turned),
				Over:     uint32(count.Over),
				Held:     uint32(count.Held),
			})
		}
		if len(encoded.Priorities) > 0 {
			message.Services = append(message.Services, encoded)
		}
	}
	return message
}

// figures converts a received message to the scheduler's form. Priorities out of range, which
// no instance of this version sends, count as the last one.
func (q queueFigures) figures() scheduler.Figures {
	decoded := scheduler.Figures{}
	for _, service := range q.Services {
		counts := decoded[service.Service]
		for _, received := range service.Priorities {
			var one scheduler.Counts
			one[scheduler.PriorityIndex(int(received.Priority))] = scheduler.Count{
				Served: int(received.Served),
				Late:   int(received.Late),
				Full:   int(received.Full),
				Turned: int(received.Turned),
				Over:   int(received.Over),
				Held:   int(received.Held),
			}
			counts = counts.Plus(one)
		}
		decoded[service.Service] = counts
	}
	return decoded
}

// queueBoard is what the instance knows of how requests have ended at all instances.
type queueBoard struct {
	// mu guards the fields below. No request takes it.
	mu    sync.Mutex
	board scheduler.Board
	// last holds this instance's counts of the last interval. Figures are those of two
	// intervals, so that one without requests does not change the level.
	last scheduler.Figures
	// logged holds the levels that were logged last, with shares in tenths. A service that is
	// not in it admits all.
	logged map[string]scheduler.Level
}

// openQueues creates the queues if the settings have them on.
func (s *Steerer) openQueues() {
	if !s.settings.Queue.On {
		return
	}
	s.queues = receiver.NewQueues(s.settings.Queue.Limits(), exporter.NewQueueCounters(s.registry))
	s.queueBoard = &queueBoard{
		logged: map[string]scheduler.Level{},
	}
	s.registerQueuesHandler()
}

// wakeQueues lets waiting requests look at a new plan, and at whether the instance stops.
func (s *Steerer) wakeQueues() {
	if s.queues != nil {
		s.queues.WakeAll()
	}
}

// registerQueuesHandler applies the figures of peers.
func (s *Steerer) registerQueuesHandler() {
	linker.Receive(s.hub, topicQueues, queueFiguresCodec, func(peer registrar.Member, received queueFigures) {
		s.queueBoard.receive(peer, s.self.Place, received, time.Now())
	})
}

// receive applies the figures of a peer. Those of a member of another failure domain have no
// effect.
func (b *queueBoard) receive(peer registrar.Member, home string, message queueFigures, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	figures := message.figures()
	switch isHome := peer.Place == home; {
	case message.Scope == queueScopeMember && isHome:
		b.board = b.board.WithMember(peer.Incarnation, figures, now)
	case message.Scope == queueScopeDomain && !isHome:
		b.board = b.board.WithDomain(peer.Place, figures, now)
	case message.Scope == queueScopeFleet && isHome:
		b.board = b.board.WithFleet(figures, now)
	}
}

// takeOwn adds this instance's counts since the last call to its board, and returns its figures.
func (b *queueBoard) takeOwn(incarnation string, counts scheduler.Figures, now time.Time) scheduler.Figures {
	figures := scheduler.Figures{}
	for service, count := range counts {
		figures[service] = b.last[service].Plus(count)
	}
	b.last = counts
	b.board = b.board.WithMember(incarnation, figures, now)
	return figures
}

// shareQueueCounts tells other instances how the requests of the last seconds have ended, and
// puts the admission levels in force that follow from what is known of all.
func (s *Steerer) shareQueueCounts() {
	if s.queues == nil || !s.settings.Queue.Level {
		return
	}
	now := time.Now()
	leaders := s.queueLeaders()
	leader := leaders[s.self.Place]
	leads := leader.Incarnation == s.self.Incarnation
	s.queueBoard.mu.Lock()
	own := s.queueBoard.takeOwn(s.self.Incarnation, s.queues.TakeCounts(), now)
	board := s.queueBoard.board
	s.queueBoard.mu.Unlock()
	if leads {
		s.sendQueueSums(board, leaders, now)
	} else {
		s.sendQueueFigures(leader, newQueueFigures(queueScopeMember, own))
	}
	levels := board.Levels(leads, now)
	s.queues.SetLevels(levels)
	s.logLevels(levels)
}

// queueLeaders returns the leader of each failure domain: the first by name of its instances
// that are linked, or this one.
func (s *Steerer) queueLeaders() map[string]registrar.Member {
	leaders := map[string]registrar.Member{
		s.self.Place: s.self,
	}
	for other := range s.otherMembers() {
		if !s.hub.IsLinked(other.Incarnation) {
			continue
		}
		if first, found := leaders[other.Place]; !found || other.Name < first.Name {
			leaders[other.Place] = other
		}
	}
	return leaders
}

// sendQueueSums tells the leaders of other failure domains the sum of this one, and the
// members of this one the sum of all.
func (s *Steerer) sendQueueSums(board scheduler.Board, leaders map[string]registrar.Member, now time.Time) {
	domain := newQueueFigures(queueScopeDomain, board.DomainSum(now))
	for place, leader := range leaders {
		if place != s.self.Place {
			s.sendQueueFigures(leader, domain)
		}
	}
	fleet := newQueueFigures(queueScopeFleet, board.FleetSum(now))
	for other := range s.otherMembers() {
		if other.Place == s.self.Place && s.hub.IsLinked(other.Incarnation) {
			s.sendQueueFigures(other, fleet)
		}
	}
}

// sendQueueFigures sends figures to an instance. Figures that are lost are followed by newer
// ones.
func (s *Steerer) sendQueueFigures(other registrar.Member, message queueFigures) {
	if err := linker.Send(s.hub, other.Incarnation, topicQueues, message, queueFiguresCodec); err != nil {
		s.log.Debug().Str("Peer", other.Name).Err(err).Msg("QueuesUntold")
	}
}

// logLevels logs the levels that have changed by a tenth or more. A service without figures, of
// which no instance has had a request lately, has the level that admits all.
func (s *Steerer) logLevels(levels map[string]scheduler.Level) {
	s.queueBoard.mu.Lock()
	defer s.queueBoard.mu.Unlock()
	logged := s.queueBoard.logged
	for service := range logged {
		if _, found := levels[service]; !found {
			s.logLevel(service, scheduler.Level{})
			delete(logged, service)
		}
	}
	for service, level := range levels {
		if rounded := level.Rounded(); rounded != logged[service] {
			s.logLevel(service, rounded)
			logged[service] = rounded
			if rounded.AdmitsAll() {
				delete(logged, service)
			}
		}
	}
}

// logLevel logs a level with shares in tenths.
func (s *Steerer) logLevel(service string, level scheduler.Level) {
	const tenths = 10
	shares := make([]float64, 0, scheduler.Priorities)
	for priority := range scheduler.Priorities {
		shares = append(shares, math.Round(level.Share(priority)*tenths)/tenths)
	}
	s.log.Info().
		Str("Service", service).
		Floats64("Shares", shares).
		Float64("FairShare", math.Round(level.FairShare()*tenths)/tenths).
		Msg("LevelChanged")
}
