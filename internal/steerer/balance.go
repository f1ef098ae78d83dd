package steerer

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/balancer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// balanceInterval is the time between two messages on a link about the balance of regions.
const balanceInterval = time.Second

// balance carries out the decisions of package balancer.
type balance struct {
	// mu guards balancer, which refreshLoop and the handlers of links use.
	mu       sync.Mutex
	balancer *balancer.Balancer
	// regions is the region of each failure domain. It does not change.
	regions map[string]string
	// toldAt is when messages were last sent. Only refreshLoop uses it.
	toldAt   time.Time
	registry metrics.Registry
	// moves counts how often a part has begun to move by a decision of this instance, and
	// leads is 1 while it leads its region.
	moves metrics.Counter
	leads metrics.Gauge
}

// newBalance returns the balance of an instance, or nil if the settings leave it off.
func newBalance(settings configurer.Settings, registry metrics.Registry) *balance {
	if settings.Placing.ShiftPerWindow == 0 {
		return nil
	}
	regions := make(map[string]string, len(settings.Places))
	for _, place := range settings.Places {
		regions[place.Name] = place.Region
	}
	return &balance{
		balancer: balancer.New(balancer.Member{
			Name:   settings.Name,
			Region: regions[settings.Place],
			Linked: true,
		}, settings.Placing.ShiftPerWindow),
		regions:  regions,
		registry: registry,
		moves:    metrics.GetOrRegisterCounter("hemlockport_spillover_moves_total", registry),
		leads:    metrics.GetOrRegisterGauge("hemlockport_spillover_leader", registry),
	}
}

// adjustSpillovers moves the parts of the objects that may go to other regions by one step, and
// tells the peers once every balanceInterval what they need for that. Only refreshLoop calls
// it.
func (s *Steerer) adjustSpillovers(now time.Time) {
	plan := s.plans.Load()
	if s.balance == nil {
		plan.AdjustSpillovers(now)
		return
	}
	loads := plan.ServiceLoads()
	decisions := s.balance.adjust(loads, now)
	for _, decision := range decisions {
		plan.SetSpillover(decision.Service, decision.Fraction)
		s.balance.show(decision)
		if decision.Began && decision.Leads {
			s.balance.moves.Inc(1)
			s.logMove(decision)
		}
	}
	if now.Sub(s.balance.toldAt) < balanceInterval {
		return
	}
	s.balance.toldAt = now
	s.shareBalance(loads, now)
}

// adjust returns the decisions on all services.
func (b *balance) adjust(loads []admitter.ServiceLoad, now time.Time) []balancer.Decision {
	services := make([]balancer.Service, 0, len(loads))
	for _, load := range loads {
		services = append(services, load.ForBalancer())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.Adjust(services, now)
}

// show sets the gauges of a service.
func (b *balance) show(decision balancer.Decision) {
	const permille = 1000
	label := "{service=\"" + decision.Service + "\"}"
	metrics.GetOrRegisterGauge("hemlockport_spillover_permille"+label, b.registry).Update(int64(decision.Fraction * permille))
	metrics.GetOrRegisterGauge("hemlockport_spillover_target_permille"+label, b.registry).Update(int64(decision.Target * permille))
}

// logMove logs that a part has begun to move, with the figures that have decided it.
func (s *Steerer) logMove(decision balancer.Decision) {
	rooms := zerolog.Arr()
	for _, room := range decision.Rooms {
		rooms = rooms.Dict(zerolog.Dict().
			Str("Region", room.Region).
			Float64("Slots", room.Slots).
			Float64("PerSecond", room.Demand.PerSecond).
			Float64("Slope", room.Demand.Slope).
			Float64("InUse", room.Demand.InUse))
	}
	s.log.Info().
		Str("Service", decision.Service).
		Float64("Fraction", decision.Fraction).
		Float64("Target", decision.Target).
		Array("Rooms", rooms).
		Msg("SpilloverMoves")
}

// shareBalance records this instance's demand and sends the messages of one interval.
func (s *Steerer) shareBalance(loads []admitter.ServiceLoad, now time.Time) {
	members := s.balanceMembers()
	fractions := make(map[string]float64, len(loads))
	messages := map[string]balancer.Message{}
	s.balance.mu.Lock()
	if s.leaving.Load() {
		s.balance.balancer.Leave()
	}
	changed := s.balance.balancer.SetMembers(balancerMembers(members), now)
	leads := s.balance.balancer.Leads()
	for _, load := range loads {
		fractions[load.Service] = load.Fraction
		s.balance.balancer.Observe(load.Service, load.Requests, load.InUse, now)
	}
	for _, member := range members {
		if message, found := s.balance.balancer.MessageTo(member.Member, fractions, now); found {
			messages[member.incarnation] = message
		}
	}
	s.balance.mu.Unlock()
	if changed {
		s.balance.leads.Update(0)
		if leads {
			s.balance.leads.Update(1)
		}
		s.log.Info().Bool("Leads", leads).Msg("SpilloverLeader")
	}
	for incarnation, message := range messages {
		err := linker.Send(s.hub, incarnation, topicBalance, newBalanceReport(message), balanceCodec)
		if err != nil {
			s.log.Debug().Str("Incarnation", incarnation).Err(err).Msg("BalanceUntold")
		}
	}
}

// balanceMember is another instance with its incarnation.
type balanceMember struct {
	balancer.Member
	incarnation string
}

// balanceMembers returns the other listed instances.
func (s *Steerer) balanceMembers() []balanceMember {
	var members []balanceMember
	for other := range s.otherMembers() {
		peer, linked := s.hub.Peer(other.Incarnation)
		members = append(members, balanceMember{
			Member: balancer.Member{
				Name:   other.Name,
				Region: s.balance.regions[other.Place],
				Linked: linked && !peer.Heartbeat.Leaving,
			},
			incarnation: other.Incarnation,
		})
	}
	return members
}

func balancerMembers(members []balanceMember) []balancer.Member {
	result := make([]balancer.Member, 0, len(members))
	for _, member := range members {
		result = append(result, member.Member)
	}
	return result
}

// registerBalanceHandler records what peers tell about the balance of regions.
func (s *Steerer) registerBalanceHandler() {
	if s.balance == nil {
		return
	}
	linker.Receive(s.hub, topicBalance, balanceCodec, func(peer registrar.Member, report balanceReport) {
		s.balance.receive(peer, report, time.Now())
	})
}

func (b *balance) receive(peer registrar.Member, report balanceReport, now time.Time) {
	message := report.message(b.regions[peer.Place])
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Receive(peer.Name, message, now)
}
