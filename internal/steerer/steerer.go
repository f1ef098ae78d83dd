package steerer

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/command/borrower"
	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/stamper"
)

// Steerer is one entry instance.
type Steerer struct {
	settings configurer.Settings
	platform Platform
	log      zerolog.Logger
	registry metrics.Registry
	journal  *journal

	self      registrar.Member
	listeners listeners
	callers   *pipeliner.Server
	plans     *holder.Cell[admitter.Plan]
	locators  *holder.Cell[locator.Locator]
	fresh     *admitter.Freshness
	hub       *linker.Hub
	borrower  *borrower.Borrower
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
	flights   *tracker.Tracker[receiver.Flight]

	// planning orders the writers of the plan and guards what it is made from. No
	// request takes it.
	planning sync.Mutex
	inputs   inputs
	// registered is what the platform last listed.
	registered []registrar.Registration
	// lapsesAt is until when upstreams are kept that the platform has not listed since
	// its return; zero if they are not.
	lapsesAt time.Time
	// apportioner splits teams' limits by demand, and demand is what the others are
	// told of it; never nil.
	apportioner *apportioner.Apportioner
	demand      *announcement

	// locating orders the writers of locators and guards their generation.
	locating   sync.Mutex
	generation uint64

	// roster is the newest list of instances; never nil.
	roster atomic.Pointer[registrar.Roster]
	// rosterAt is when each listed incarnation was first seen there. Guarded by
	// locating.
	rosterAt map[string]time.Time
	// moving holds the moves under the names of their services. Guarded by planning.
	moving map[string]*moving
	// tallies holds what is counted for the running moves, under the names of their
	// services; never nil.
	tallies atomic.Pointer[map[string]*tally]
	// followers are complete before Run.
	followers [linker.MaxFeeds]follower
	// begun is when the instance was made.
	begun time.Time
	// watching says that this instance watches the platform itself.
	watching atomic.Bool
	// sentinel says that this instance watches with short waits.
	sentinel atomic.Bool
	// unlisted asks for this instance's entry to be written.
	unlisted chan struct{}
	// leaving is set once the drain has begun.
	leaving atomic.Bool
	// storeLostNanos is when the platform stopped answering, in nanoseconds since
	// the Unix epoch, or 0 while it answers.
	storeLostNanos atomic.Int64

	// life is that of all tasks.
	life *stopper.Stopper
}

// New returns an instance with checked settings, and opens its listeners.
func New(settings configurer.Settings, platform Platform, log zerolog.Logger) (*Steerer, error) {
	opened, err := listen(settings)
	if err != nil {
		return nil, err
	}
	s := &Steerer{
		settings: settings,
		platform: platform,
		log:      log.With().Str("Instance", settings.Name).Logger(),
		registry: metrics.NewRegistry(),
		self: registrar.Member{
			Incarnation:   settings.Name + "-" + rand.Text(),
			Name:          settings.Name,
			Place:         settings.Place,
			CallerAddress: settings.Callers.Listen,
			PeerAddress:   settings.Peers.Listen,
		},
		listeners: opened,
		plans:     holder.New[admitter.Plan](),
		locators:  holder.New[locator.Locator](),
		fresh:     admitter.NewFreshness(time.Now()),
		flights:   tracker.New[receiver.Flight](settings.Callers.MaxInFlight),
		inputs: inputs{
			places: placesOf(settings),
		},
		life:     stopper.New(),
		begun:    time.Now(),
		rosterAt: map[string]time.Time{},
		unlisted: make(chan struct{}, 1),
		moving:   map[string]*moving{},
	}
	s.apportioner = apportioner.New(s.self.Name, s.self.Incarnation)
	s.demand = newAnnouncement(apportioner.Report{})
	s.roster.Store(&registrar.Roster{})
	s.tallies.Store(&map[string]*tally{})
	s.journal = newJournal(s.log, s.registry)
	s.plans.Advance(*admitter.First(s.self.Place, s.self.Incarnation).WithKeyed(admitter.Keyed{
		OtherPlace:  settings.Placing.OtherPlace,
		OtherRegion: settings.Placing.OtherRegion,
		Choices:     settings.Placing.Choices,
		FreeLoad:    settings.Placing.FreeLoad,
		LoadWeight:  settings.Placing.LoadWeight,
	}))
	s.assemble()
	return s, nil
}

// placesOf returns the places of the settings.
func placesOf(settings configurer.Settings) []declarer.Place {
	places := make([]declarer.Place, 0, len(settings.Places))
	for _, place := range settings.Places {
		places = append(places, declarer.Place{
			Name:   place.Name,
			Region: place.Region,
		})
	}
	return places
}

// assemble makes the parts that call back into the instance.
func (s *Steerer) assemble() {
	s.hub = linker.New(linker.Parts{
		Self:    s.self,
		Secret:  s.settings.Peers.Secret,
		Clock:   stamper.New(time.Now),
		Beat:    s.beat,
		Heard:   s.heard,
		Changed: s.peerChanged,
		Lost:    s.peerLost,
	})
	s.handleDemand()
	s.handleMoves()
	s.followers = s.follow()
	s.borrower = borrower.New(s.hub, s.plans, s.registry)
	s.forwarder = forwarder.New(
		forwarder.WithDialMillis(s.settings.Upstreams.DialMillis),
		forwarder.WithConnections(s.settings.Upstreams.MaxConnections),
		forwarder.WithIdleMillis(s.settings.Upstreams.IdleMillis),
		forwarder.WithTranslator(s.platform.Translator),
	)
	s.receiver = receiver.New(receiver.Parts{
		Admitter:      admitter.New(s.plans, s.fresh),
		Forwarder:     s.forwarder,
		Flights:       s.flights,
		Budgets:       retrier.NewBudgets(s.settings.Retries.Ratio, s.settings.Retries.Reserve),
		Attempts:      s.settings.Retries.Attempts,
		FinishMillis:  s.settings.Callers.FinishMillis,
		RetryFailures: true,
		Metrics:       exporter.NewRequests(s.registry),
		Translator:    s.platform.Translator,
		Ended:         s.journal.ended,
		Observed:      s.observed,
		Waiting:       s.borrower.Wake,
		Suspected:     s.suspected,
	})
}

// Halt ends the instance at once; Run returns stopper.ErrHalted.
func (s *Steerer) Halt() {
	s.life.Halt()
}

// Reload says in the log whether the settings have changed. They come into force at
// the next start; a running instance loses no request over them.
func (s *Steerer) Reload(settings configurer.Settings) {
	s.log.Info().Bool("Changed", !settings.Equal(s.settings)).Msg("Reloaded")
}

// Run serves until ctx ends, then drains and returns nil, or stopper.ErrHalted if Halt
// came first.
func (s *Steerer) Run(ctx context.Context) error {
	err := s.life.Run(ctx, s.start, s.drain)
	s.forwarder.Close()
	s.log.Info().Str("Incarnation", s.self.Incarnation).Msg("Stopped")
	return err
}

// start starts the listeners and all that runs beside them.
func (s *Steerer) start(group *errgroup.Group, work context.Context) stopper.StopServing {
	stopServing := s.startListeners(group, work)
	tasks := []func(context.Context) error{
		s.hub.Run,
		s.borrower.Run,
		s.refresh,
		s.keepEntry,
	}
	for _, follower := range s.followers {
		tasks = append(tasks, follower.run)
	}
	for _, task := range tasks {
		group.Go(func() error { return task(work) })
	}
	s.log.Info().Str("Incarnation", s.self.Incarnation).Str("Callers", s.self.CallerAddress).Msg("Started")
	return stopServing
}

// suspected is told of an upstream that has just failed a request.
func (s *Steerer) suspected(upstream *admitter.Upstream, refusal *arbiter.Refusal) {
	s.log.Info().
		Str("Upstream", upstream.Declared().Name).
		Str("Address", upstream.Address()).
		Str("Reason", string(refusal.Reason)).
		Str("Detail", refusal.Detail).
		Msg("UpstreamSuspect")
}
