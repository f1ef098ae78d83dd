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

	"github.com/hemlockport/hemlockport/internal/coalescer"
	"github.com/hemlockport/hemlockport/internal/command/borrower"
	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/command/usagereporter"
	"github.com/hemlockport/hemlockport/internal/command/verdictkeeper"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/command/detector"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/command/rationer"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/command/surveyor"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/assessor"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// Steerer is one entry instance: it keeps its configuration up to date from the
// platform and its peers, and forwards the requests of callers to upstreams.
type Steerer struct {
	settings   configurer.Settings
	platform   Platform
	log        zerolog.Logger
	registry   metrics.Registry
	requestLog *requestLog

	self         registrar.Member
	listeners    listeners
	callerServer *pipeliner.Server
	plans        *holder.Cell[admitter.Plan]
	locators     *holder.Cell[locator.Locator]
	freshness    *admitter.Freshness
	contact      *contact
	hub          *linker.Hub
	borrower     *borrower.Borrower
	forwarder    *forwarder.Forwarder
	receiver     *receiver.Receiver
	// budgets limit the retries of each service.
	budgets *retrier.Budgets
	// usage carries out the duty to report the usage of teams; nil if there is no such duty.
	usage *usagereporter.Reporter
	// queues holds the requests that wait for an upstream with room, and queueBoard what the
	// instances tell one another of them; both are nil unless Queue.On is set.
	queues     *receiver.Queues
	queueBoard *queueBoard
	drainer    *drainer.Drainer
	inFlight   *tracker.Tracker[receiver.InFlightRequest]

	// planMu serializes the writers of the plan and guards the data that the plan is
	// computed from. It is never locked on the path of a request.
	planMu sync.Mutex
	inputs planInputs
	// awaiting is the declaration whose coming into force is put off, or the zero value.
	awaiting declarer.Declaration
	// listedRegistrations are the registrations that the platform listed last.
	listedRegistrations []registrar.Registration
	// registrationGrace decides which upstreams are kept although the platform does not list
	// them after an outage, and keepsRegistrations is set while any may be.
	registrationGrace  retainer.Grace
	keepsRegistrations bool
	// apportioner splits limits by demand, and demandBroadcast sends this instance's demand
	// to the others. rationer applies the apportioner to the limits that upstreams state.
	// None is ever nil.
	apportioner     *apportioner.Apportioner
	demandBroadcast *demandBroadcast
	rationer        *rationer.Rationer
	// surveyMu guards surveyor, which sums what the instances find. It is never locked on the
	// path of a request.
	surveyMu sync.Mutex
	surveyor *surveyor.Surveyor
	// surveyLeader is the incarnation of the leader that was logged last. Only refreshLoop uses
	// it.
	surveyLeader   string
	surveyCounters surveyCounters
	// lendersInputs is what the lenders of all limiters were last computed from. planMu
	// guards it.
	lendersInputs lendersInputs

	// locatorMu serializes the writers of locators and guards their generation and inputs.
	locatorMu         sync.Mutex
	locatorGeneration uint64
	locatorInputs     locatorInputs
	// balance moves the parts of objects that roam between regions; nil if the settings leave
	// that to Plan.AdjustSpillovers.
	balance *balance
	// lookupCrowd tells addresses that several callers share.
	lookupCrowd    locator.Crowd
	lookupCounters lookupCounters
	// saturation is the latest state of this instance's processor. Only refreshLoop uses it;
	// saturated is what it says.
	saturation detector.Saturation
	saturated  atomic.Bool
	// locatorUpdates runs updateLocator after changes of links and members.
	locatorUpdates *coalescer.Coalescer

	// roster is the latest list of the instances' entries; never nil.
	roster atomic.Pointer[registrar.Roster]
	// refreshedLinks and refreshedRoster are the links, by Hub.Changes, and the roster that
	// refreshRoster has compared last. Only refreshLoop uses them.
	refreshedLinks  uint64
	refreshedRoster *registrar.Roster
	// graceFrom is, by incarnation, the time from which linkTimeout and removeAfter
	// count: when the incarnation was first listed or, if deadMembers has seen it linked
	// since, or if it has left the roster before, linkTimeout before that. locatorMu guards
	// it.
	graceFrom map[string]time.Time
	// departedUntil is, by incarnation, the time until which it is remembered that the
	// incarnation has left the roster. locatorMu guards it.
	departedUntil map[string]time.Time
	// selfListed is set while the platform lists this incarnation's entry.
	selfListed atomic.Bool
	// moves holds the moves by the name of their service. planMu guards it.
	moves map[string]*trackedMove
	// informedPeers holds the incarnations of the linked peers that have been informed of all
	// moves and verdicts. planMu guards it.
	informedPeers map[string]bool
	// verdictKeeper reads and writes the records of verdicts, and verdictRecords is what is known of them.
	verdictKeeper  *verdictkeeper.Keeper
	verdictRecords verdictRecords
	// recordsRequested requests that all records be read. verdictsRead is set once they have
	// been. firstOffer is when the first declaration was offered while they had not, in nanoseconds
	// since the Unix epoch; 0 before.
	recordsRequested chan struct{}
	verdictsRead     atomic.Bool
	firstOffer       atomic.Int64
	// countersByService holds the counters of the running moves by the name of their
	// service; never nil.
	countersByService atomic.Pointer[map[string]*moveCounters]
	// reflectors is filled before Run.
	reflectors [linker.MaxCollections]reflector
	// startedAt is when New created the instance.
	startedAt time.Time
	// watching is set while this instance watches the platform itself.
	watching atomic.Bool
	// primaryWatcher is set while this instance is the primary watcher, whose watches
	// have a short timeout.
	primaryWatcher atomic.Bool
	// removing is set while entries of dead instances are being removed.
	removing atomic.Bool
	// entryMissing requests that this instance's entry be written.
	entryMissing chan struct{}
	// leaving is set when the drain begins.
	leaving atomic.Bool
	// storeMu guards storeAvailability, which is what the calls to the platform's store have
	// shown, and readError, the error of the last one that has failed. storeLostNanos is when the store stopped answering by that, in nanoseconds since
	// the Unix epoch, or 0 while it answers.
	storeMu           sync.Mutex
	storeAvailability assessor.Availability
	readError         error
	storeLostNanos    atomic.Int64
	// readFailures counts the calls that have failed with which the store was to be read.
	readFailures metrics.Counter
	// storeEra is the latest era of the store that a view was from; 0 before the first view.
	storeEra atomic.Uint64

	// lifecycle starts and ends all tasks of the instance.
	lifecycle *stopper.Stopper
}

// New opens the listeners of an instance and returns it. The settings must have passed
// their validation.
func New(settings configurer.Settings, platform Platform, log zerolog.Logger) (*Steerer, error) {
	log = log.With().Str("Instance", settings.Name).Logger()
	registry := metrics.NewRegistry()
	opened, err := openListeners(settings, registry, log)
	if err != nil {
		return nil, err
	}
	s := &Steerer{
		settings: settings,
		platform: platform,
		log:      log,
		registry: registry,
		self: registrar.Member{
			Incarnation:   settings.Name + "-" + rand.Text(),
			Name:          settings.Name,
			Place:         settings.Place,
			CallerAddress: settings.Callers.Listen,
			PeerAddress:   settings.Peers.Listen,
			Capacity:      statedCapacity(settings.Capacity),
		},
		listeners: opened,
		plans:     holder.New[admitter.Plan](),
		locators:  holder.New[locator.Locator](),
		freshness: admitter.NewFreshness(time.Now()),
		contact:   newContact(time.Now()),
		inFlight:  tracker.New[receiver.InFlightRequest](fronter.MaxInFlight(settings)),
		inputs: planInputs{
			places: placesOf(settings),
		},
		lifecycle:     stopper.New(),
		drainer:       drainer.New(time.Now()),
		startedAt:     time.Now(),
		graceFrom:     map[string]time.Time{},
		entryMissing:  make(chan struct{}, 1),
		moves:         map[string]*trackedMove{},
		departedUntil: map[string]time.Time{},
		verdictKeeper: verdictkeeper.New(platform.Store, platform.VerdictPrefix),
		verdictRecords: verdictRecords{
			stored: map[string]verdictkeeper.Stored{},
			turns:  map[string]time.Time{},
		},
		recordsRequested: make(chan struct{}, 1),

		registrationGrace: retainer.NewGrace(settings.Upstreams.LapseMillis),
	}
	s.locatorUpdates = coalescer.New(locatorIntervalMillis, s.updateLocator)
	s.apportioner = apportioner.New(s.self.Name, s.self.Incarnation)
	s.rationer = rationer.New(s.apportioner)
	s.surveyor = surveyor.New()
	s.surveyCounters = newSurveyCounters(s.registry)
	s.demandBroadcast = newDemandBroadcast(apportioner.Report{})
	s.roster.Store(&registrar.Roster{})
	s.countersByService.Store(&map[string]*moveCounters{})
	s.readFailures = metrics.GetOrRegisterCounter("hemlockport_store_faults_total", s.registry)
	s.requestLog = newRequestLog(s.log, s.registry)
	s.lookupCounters = newLookupCounters(s.registry)
	s.balance = newBalance(settings, s.registry)
	s.plans.Advance(*admitter.InitialPlan(s.self.Place, s.self.Incarnation).WithAffinity(admitter.Affinity{
		OtherPlace:  settings.Placing.OtherPlace,
		OtherRegion: settings.Placing.OtherRegion,
		Choices:     settings.Placing.Choices,
		FreeLoad:    settings.Placing.FreeLoad,
		LoadWeight:  settings.Placing.LoadWeight,
		Balanced:    settings.Placing.ShiftPerWindow > 0,

		ObjectsPerUpstream: settings.Affinity.ObjectsPerUpstream,
		MaxCopies:          settings.Affinity.MaxCopies,
		CountedObjects:     settings.Affinity.CountedObjects,
	}))
	s.assemble()
	if err := s.assembleUsage(); err != nil {
		return nil, err
	}
	return s, nil
}

// statedCapacity returns the capacity that the instance states to the others, which is unknown
// unless the settings ask for it.
func statedCapacity(capacity configurer.Capacity) registrar.Capacity {
	if !capacity.StatesCapacity() {
		return registrar.Capacity{}
	}
	return registrar.Capacity{
		Cores:       capacity.Cores,
		LinkMbits:   capacity.LinkMbits,
		MemoryMB:    capacity.MemoryMB,
		Descriptors: capacity.Descriptors,
	}
}

// placesOf returns the failure domains in the settings.
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

// assemble creates the components that call back into the instance.
func (s *Steerer) assemble() {
	s.hub = linker.New(linker.Options{
		Self:        s.self,
		Secret:      s.settings.Peers.Secret,
		Clock:       timestamper.New(time.Now),
		Heartbeat:   s.heartbeat,
		OnHeartbeat: s.heartbeatReceived,
		OnChange:    s.peerChanged,
		OnLinkLost:  s.peerLost,
		FrameBytes:  fronter.BoundsOf(s.settings).FrameBytes,
		OnRefused:   func() { s.listeners.peers.Count(fronter.RefusedFrame) },
	})
	s.registerDemandHandler()
	s.registerMoveHandler()
	s.registerVerdictsHandler()
	s.registerVerdictRecordHandler()
	s.registerReservationsHandler()
	s.registerAdvertisementsHandler()
	s.registerSurveyHandlers()
	s.registerBalanceHandler()
	s.reflectors = s.newReflectors()
	s.borrower = borrower.New(s.hub, s.plans, s.registry)
	s.forwarder = forwarder.New(
		forwarder.WithDialMillis(s.settings.Upstreams.DialMillis),
		forwarder.WithConnections(s.settings.Upstreams.MaxConnections),
		forwarder.WithIdleMillis(s.settings.Upstreams.IdleMillis),
		forwarder.WithIdleConnections(fronter.BoundsOf(s.settings).IdleUpstream),
		forwarder.WithTranslator(s.platform.Translator),
	)
	s.budgets = retrier.NewBudgets(s.settings.Retries.Ratio, s.settings.Retries.Reserve)
	s.openQueues()
	s.receiver = receiver.New(receiver.Options{
		Admitter:           admitter.New(s.plans, s.freshness),
		Forwarder:          s.forwarder,
		InFlight:           s.inFlight,
		Budgets:            s.budgets,
		Drainer:            s.drainer,
		Attempts:           s.settings.Retries.Attempts,
		FinishMillis:       s.settings.Callers.FinishMillis,
		RetryFailures:      true,
		Metrics:            exporter.NewRequestCounters(s.registry),
		Translator:         s.platform.Translator,
		RequestEnded:       s.requestLog.requestEnded,
		AttemptBegins:      s.attemptBegins,
		WaitingForRate:     s.borrower.PollNow,
		UpstreamSuspected:  s.logSuspect,
		UpstreamAdvertised: s.upstreamAdvertised,
		Queues:             s.queues,
	})
}

// Halt stops the instance immediately; Run returns stopper.ErrHalted.
func (s *Steerer) Halt() {
	s.lifecycle.Halt()
}

// Reload logs whether the settings have changed. New settings take effect at the next
// start, so that a reload interrupts no request of a running instance.
func (s *Steerer) Reload(settings configurer.Settings) {
	s.log.Info().Bool("Changed", !settings.Equal(s.settings)).Msg("Reloaded")
}

// Run serves until ctx ends, then drains and returns nil. It returns stopper.ErrHalted
// if Halt was called before the drain was done.
func (s *Steerer) Run(ctx context.Context) error {
	err := s.lifecycle.Run(ctx, s.start, s.drain)
	s.forwarder.Close()
	s.log.Info().Str("Incarnation", s.self.Incarnation).Msg("Stopped")
	return err
}

// start starts the listeners and all background tasks.
func (s *Steerer) start(group *errgroup.Group, work context.Context) stopper.StopServing {
	stopServing := s.startListeners(group, work)
	tasks := []func(context.Context) error{
		s.hub.Run,
		s.borrower.Run,
		s.refreshLoop,
		s.locatorUpdates.Run,
		s.maintainEntry,
		s.loadRecords,
	}
	s.requestRecords()
	if s.usage != nil {
		tasks = append(tasks, s.usage.Exchange, s.usage.Run)
	}
	for _, reflector := range s.reflectors {
		tasks = append(tasks, reflector.run)
	}
	for _, task := range tasks {
		group.Go(func() error { return task(work) })
	}
	s.log.Info().
		Str("Incarnation", s.self.Incarnation).
		Str("Callers", s.self.CallerAddress).
		EmbedObject(loggedProgram{}).
		Msg("Started")
	return stopServing
}

// logSuspect logs that a live upstream has become suspect, because an attempt at it has
// failed.
func (s *Steerer) logSuspect(upstream *admitter.Upstream, refusal *arbiter.Refusal) {
	s.log.Info().
		Str("Upstream", upstream.Declared().Name).
		Str("Address", upstream.Address()).
		Str("Reason", string(refusal.Reason)).
		Str("Detail", refusal.Detail).
		Msg("UpstreamSuspect")
}
